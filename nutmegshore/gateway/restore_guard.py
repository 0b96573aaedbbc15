"""What a restore of the store took away or brought back."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.store import Change, StoredObject

__all__ = ('HeldBack', 'RestoreGuard')

#: Seconds for which a removed object that a restore brought back is ignored;
#: the store drops an upstream that is silent for a few seconds.
_REVIVED_TTL_S = 15
#: Seconds that stand for any greater age; ages in messages are finite.
_MAX_AGE_S = 3600


@attrs.frozen
class HeldBack:
    """What a restore of the store took away or brought back, not believed yet.

    The store lacks the objects in `kept`, or has an earlier one of the same
    key; they are in use. It has those in `revived`, which are not. The answer
    that showed the restore is `age_s` seconds old.
    """

    kept: tuple[StoredObject, ...] = ()
    revived: tuple[StoredObject, ...] = ()
    age_s: float = _MAX_AGE_S


class RestoreGuard:
    """Keeps to what was known until its owners have written it again.

    A restored store lacks the objects created since its copy, and has those
    removed since. Their owners repeat what they wrote. Until they can have
    done so, lost objects are kept in use and revived ones are ignored. If an
    object was replaced by a later one since the copy, the later one is kept in
    its place. A change to an object is its owner's word and ends both for it.

        guard.begin(before, known, age_s=0.4)
        replica.replace(guard.visible(known.by_key))
        guard.end_overdue()  # often
    """

    def __init__(
        self,
        clock: Clock,
        rewrite_s: float,
        find_start: Callable[[StoredObject], int | None],
    ) -> None:
        """Give owners `rewrite_s` seconds to write lost objects again.

        `find_start` returns a number that grows with each start of an owner,
        or None where there is none.
        """
        self._clock = clock
        self._find_start = find_start
        self._rewrite_s = rewrite_s
        self._begun_at = float('-inf')
        self._kept: dict[str, StoredObject] = {}
        self._revived: dict[str, StoredObject] = {}

    def begin(
        self, before: Iterable[StoredObject], known: KnownObjects, age_s: float
    ) -> None:
        """Compare the objects in use before a restore with those after it.

        The answer that showed the restore is `age_s` seconds old: owners have
        had that time already.
        """
        in_use = {stored.key: stored for stored in before}
        self._begun_at = self._clock.now() - age_s
        self._revived = {
            key: stored
            for key, stored in known.by_key.items()
            if self._is_revived(stored, known, in_use.get(key))
        }
        self._kept = {
            key: stored
            for key, stored in in_use.items()
            if key not in known.by_key or key in self._revived
        }

    @property
    def is_holding(self) -> bool:
        """Whether anything is held back."""
        return bool(self._kept or self._revived)

    def held(self) -> HeldBack:
        """Return what is held back, for a gateway that starts."""
        return HeldBack(
            tuple(self._kept.values()),
            tuple(self._revived.values()),
            min(self._clock.now() - self._begun_at, _MAX_AGE_S),
        )

    def adopt(self, held: HeldBack) -> None:
        """Hold back what another gateway does."""
        self._begun_at = self._clock.now() - held.age_s
        self._kept = {stored.key: stored for stored in held.kept}
        self._revived = {stored.key: stored for stored in held.revived}

    def visible(self, by_key: Mapping[str, StoredObject]) -> list[StoredObject]:
        """Return the objects to use, after all objects were listed.

        What the listing shows differently by now is not held back any more.
        """
        self._revived = {
            key: stored
            for key, stored in self._revived.items()
            if by_key.get(key) == stored
        }
        self._kept = {
            key: stored
            for key, stored in self._kept.items()
            if key not in by_key or key in self._revived
        }
        used = {
            key: stored
            for key, stored in by_key.items()
            if key not in self._revived
        }
        return list((used | self._kept).values())

    def holds(self, key: str) -> bool:
        """Whether what the store says of an object is not used yet."""
        return key in self._kept or key in self._revived

    def accept(self, change: Change) -> None:
        """End the guard for an object that was written again or removed."""
        self._kept.pop(change.key, None)
        self._revived.pop(change.key, None)

    def end_overdue(self) -> list[Change]:
        """End the guard when its time is over; return what changes by that."""
        since_s = self._clock.now() - self._begun_at
        changes: list[Change] = []
        if since_s > self._rewrite_s:
            changes.extend(self._end_kept())
        if since_s > _REVIVED_TTL_S:
            changes.extend(self._end_revived())
        return changes

    def _is_revived(
        self,
        stored: StoredObject,
        known: KnownObjects,
        before: StoredObject | None,
    ) -> bool:
        """Whether the store shows an earlier start, or one that was removed."""
        removed = known.find_removed(stored.key)
        latest = before or removed
        if latest is None:
            return False
        start = self._find_start(stored)
        latest_start = self._find_start(latest)
        if start is None or latest_start is None:
            return False
        return start < latest_start or (
            before is None and start == latest_start
        )

    def _end_kept(self) -> list[Change]:
        """Let go of kept objects that have no earlier one in their place."""
        keys = self._kept.keys() - self._revived.keys()
        self._kept = {
            key: stored
            for key, stored in self._kept.items()
            if key in self._revived
        }
        return [Change(key, None) for key in keys]

    def _end_revived(self) -> list[Change]:
        changes = [Change(key, stored) for key, stored in self._revived.items()]
        self._revived = {}
        self._kept = {}
        return changes
