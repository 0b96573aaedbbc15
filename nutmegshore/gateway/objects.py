"""Local copy of the objects of one kind, with their change history."""

import zlib

from nutmegshore.store import Change, Changes, Listing, StoredObject

__all__ = ('KnownObjects',)

#: Tombstones kept in addition to one for each present object.
_EXTRA_TOMBSTONES = 512


class KnownObjects:
    """Objects by key, as of a position in the store.

    Copies with the same objects have the same `digest`. A bounded number of
    tombstones records removals, so that a peer can be sent the changes after
    its own position.

        known.apply(changes)
        known.changes_since(16)
    """

    def __init__(self) -> None:
        """Start without objects, at position 0."""
        self.by_key: dict[str, StoredObject] = {}
        self.digest = 0
        self.position = 0
        self._changed_at: dict[str, int] = {}
        self._history_start = 0

    def apply(self, changes: Changes) -> list[Change]:
        """Apply changes; return those that are not outdated."""
        self.position = changes.position
        applied = [
            change for change in changes.changes if self._apply_change(change)
        ]
        self._prune()
        return applied

    def replace(self, listing: Listing) -> None:
        """Replace all objects by those of a listing."""
        before = self.by_key
        self.by_key = {stored.key: stored for stored in listing.listed}
        self.digest = 0
        for stored in listing.listed:
            self.digest ^= _digest(stored)
        self.position = max(self.position, listing.position)
        for key in before.keys() | self.by_key.keys():
            if before.get(key) != self.by_key.get(key):
                self._record_change(key)
        self._prune()

    def changes_since(self, position: int) -> Changes | None:
        """Changes after a position; None if the history is too short."""
        if position < self._history_start:
            return None
        changes = tuple(
            Change(key, self.by_key.get(key))
            for key, changed_at in self._changed_at.items()
            if changed_at > position
        )
        return Changes(self.position, changes)

    def _apply_change(self, change: Change) -> bool:
        known = self.by_key.get(change.key)
        if change.stored is None:
            self.by_key.pop(change.key, None)
        elif known is not None and known.version > change.stored.version:
            return False
        else:
            self.by_key[change.key] = change.stored
        self.digest ^= _digest(known) ^ _digest(change.stored)
        self._record_change(change.key)
        return True

    def _record_change(self, key: str) -> None:
        # Reinsert the key, so that keys stay ordered by their last change.
        self._changed_at.pop(key, None)
        self._changed_at[key] = self.position

    def _prune(self) -> None:
        """Drop the oldest tombstones beyond the limit."""
        removed = [key for key in self._changed_at if key not in self.by_key]
        excess = len(removed) - len(self.by_key) - _EXTRA_TOMBSTONES
        for key in removed[: max(excess, 0)]:
            dropped_at = self._changed_at.pop(key)
            self._history_start = max(self._history_start, dropped_at)


def _digest(stored: StoredObject | None) -> int:
    """Digest of one object; digests of several are combined by XOR."""
    if stored is None:
        return 0
    return zlib.crc32(f'{stored.key} {stored.version}'.encode())
