"""Local copy of the objects of one kind, with their change history."""

import hashlib

from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StorePosition,
)

__all__ = ('KnownObjects',)

_DIGEST_BYTES = 8
#: Tombstones kept in addition to one for each present object.
_EXTRA_TOMBSTONES = 512
_START = StorePosition()


class KnownObjects:
    """Objects by key, as of a position in the store.

    Copies with the same objects have the same `digest`. A bounded number of
    tombstones records removals, so that a peer can be sent the changes after
    its own position.

    If the store is restored from an older copy, a listing or the changes of a
    peer lead to its next era. Revisions of two eras are not compared. A listing
    of an earlier era leads back to it.

        known.apply(changes)
        known.changes_since(StorePosition(2, 16))
    """

    def __init__(self) -> None:
        """Start without objects, at position 0."""
        self.by_key: dict[str, StoredObject] = {}
        self.digest = 0
        self.position = _START
        self._changed_at: dict[str, StorePosition] = {}
        self._history_start = _START
        self._last_of_previous_era = _START
        self._era_began_at = _START
        self._first_era = 0
        self._removed: dict[str, StoredObject] = {}

    def apply(self, changes: Changes) -> list[Change]:
        """Apply changes; return those that are not outdated."""
        is_same_era = changes.era == self.position.era
        self._move_to(changes.read_at)
        applied: list[Change] = []
        for change in changes.changes:
            if not (is_same_era and self._is_outdated(change)):
                self._apply_change(change)
                applied.append(change)
        self._prune()
        return applied

    def replace(self, listing: Listing) -> None:
        """Replace all objects by those of a listing."""
        before = self.by_key
        if self.position == _START:
            # What was removed before the first listing is not known here.
            self._history_start = listing.read_at
        self.by_key = {stored.key: stored for stored in listing.listed}
        self.digest = 0
        for stored in listing.listed:
            self.digest ^= _digest(stored)
        read_at = listing.read_at
        if read_at.era == self.position.era:
            read_at = max(self.position, read_at)
        self._move_to(read_at)
        for key in before.keys() | self.by_key.keys():
            if before.get(key) != self.by_key.get(key):
                self._record_change(key, before.get(key))
        self._prune()

    def locate(self, revision: int, era: int | None) -> StorePosition:
        """Return the position that a gateway names.

        A gateway that names no era does not notice restores of the store. Its
        position counts for the first era that was known here.
        """
        return StorePosition(self._first_era if era is None else era, revision)

    def find_removed(self, key: str) -> StoredObject | None:
        """Return the last object with a key if it was removed.

        An object that a restore has brought back counts as removed.
        """
        return self._removed.get(key)

    def changes_since(self, position: StorePosition) -> Changes | None:
        """Changes after a position; None if the history is too short.

        Of an earlier era only positions that were known here can be continued
        from.
        """
        if position < self._history_start or not self._was_here(position):
            return None
        changes = tuple(
            Change(key, self.by_key.get(key))
            for key, changed_at in self._changed_at.items()
            if changed_at > position
        )
        return Changes(self.position.revision, changes, self.position.era)

    def _was_here(self, position: StorePosition) -> bool:
        """Whether this history leads through a position."""
        if position.era == self.position.era:
            return position >= self._era_began_at
        last = self._last_of_previous_era
        return position.era == last.era and position <= last

    def _move_to(self, position: StorePosition) -> None:
        if position.era != self.position.era:
            self._last_of_previous_era = self.position
            # What was written again at its lost revision is no change here.
            self._era_began_at = position if self.position.era else _START
        if position.era < self.position.era:
            self._forget_after(position)
        self.position = position
        self._first_era = self._first_era or position.era

    def _forget_after(self, position: StorePosition) -> None:
        """Have what changed in a later era count as changed at a position."""
        self._last_of_previous_era = _START
        self._first_era = min(self._first_era, position.era)
        self._history_start = min(self._history_start, position)
        self._changed_at = {
            key: min(changed_at, position)
            for key, changed_at in self._changed_at.items()
        }

    def _is_outdated(self, change: Change) -> bool:
        known = self.by_key.get(change.key)
        if change.stored is None or known is None:
            return False
        return known.version > change.stored.version

    def _apply_change(self, change: Change) -> None:
        known = self.by_key.pop(change.key, None)
        if change.stored is not None:
            self.by_key[change.key] = change.stored
        self.digest ^= _digest(known) ^ _digest(change.stored)
        self._record_change(change.key, known)

    def _record_change(self, key: str, before: StoredObject | None) -> None:
        # Reinsert the key, so that keys stay ordered by their last change.
        self._changed_at.pop(key, None)
        self._changed_at[key] = self.position
        if before is not None and key not in self.by_key:
            self._removed[key] = before

    def _prune(self) -> None:
        """Drop the oldest tombstones beyond the limit."""
        removed = [key for key in self._changed_at if key not in self.by_key]
        excess = len(removed) - len(self.by_key) - _EXTRA_TOMBSTONES
        for key in removed[: max(excess, 0)]:
            dropped_at = self._changed_at.pop(key)
            self._removed.pop(key, None)
            self._history_start = max(self._history_start, dropped_at)


def _digest(stored: StoredObject | None) -> int:
    """Digest of one object; digests of several are combined by XOR.

    A checksum that is linear would let changes cancel each other: two objects
    that go from revisions 100 and 101 to 436 and 437.
    """
    if stored is None:
        return 0
    text = f'{stored.key} {stored.version}'
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
