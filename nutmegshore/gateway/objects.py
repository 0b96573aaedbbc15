"""The objects of one kind as they are known, and when each changed."""

import zlib

from nutmegshore.store import Change, Changes, Listing, StoredObject

__all__ = ('KnownObjects',)

#: Removed objects that are remembered beyond as many as there are objects.
_KEPT_REMOVED = 512


class KnownObjects:
    """Objects by key, as of a position in the store.

    `digest` is the same wherever the same objects are known. What was removed
    is remembered too, up to a number, so that others can be told what changed
    after a position that they have reached.

        known.apply(changes)
        known.changes_since(16)
    """

    def __init__(self) -> None:
        """Know of no object."""
        self.by_key: dict[str, StoredObject] = {}
        self.digest = 0
        self.position = 0
        self._changed_at: dict[str, int] = {}
        self._reaches_to = 0

    def apply(self, changes: Changes) -> list[Change]:
        """Take changes; returns those that are not older than what is known."""
        self.position = changes.position
        taken = [change for change in changes.changes if self._take(change)]
        self._prune()
        return taken

    def replace(self, listing: Listing) -> None:
        """Take a whole listing in place of what was known."""
        before = self.by_key
        self.by_key = {stored.key: stored for stored in listing.listed}
        self.digest = 0
        for stored in listing.listed:
            self.digest ^= _digest(stored)
        self.position = max(self.position, listing.position)
        for key in before.keys() | self.by_key.keys():
            if before.get(key) != self.by_key.get(key):
                self._record(key)
        self._prune()

    def changes_since(self, position: int) -> Changes | None:
        """What changed after a position; None if that is too long ago."""
        if position < self._reaches_to:
            return None
        changes = tuple(
            Change(key, self.by_key.get(key))
            for key, changed_at in self._changed_at.items()
            if changed_at > position
        )
        return Changes(self.position, changes)

    def _take(self, change: Change) -> bool:
        known = self.by_key.get(change.key)
        if change.stored is None:
            self.by_key.pop(change.key, None)
        elif known is not None and known.version > change.stored.version:
            return False
        else:
            self.by_key[change.key] = change.stored
        self.digest ^= _digest(known) ^ _digest(change.stored)
        self._record(change.key)
        return True

    def _record(self, key: str) -> None:
        # The newest changes stand last, also of objects that changed before.
        self._changed_at.pop(key, None)
        self._changed_at[key] = self.position

    def _prune(self) -> None:
        """Drop the oldest removed objects if there are many."""
        removed = [key for key in self._changed_at if key not in self.by_key]
        excess = len(removed) - len(self.by_key) - _KEPT_REMOVED
        for key in removed[: max(excess, 0)]:
            dropped_at = self._changed_at.pop(key)
            self._reaches_to = max(self._reaches_to, dropped_at)


def _digest(stored: StoredObject | None) -> int:
    """Digest of one object; those of several are combined by exclusive or."""
    if stored is None:
        return 0
    return zlib.crc32(f'{stored.key} {stored.version}'.encode())
