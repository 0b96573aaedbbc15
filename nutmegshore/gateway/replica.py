"""Replicas of the store's objects, and how they are updated."""

import abc
from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.gateway.peer_word import PeerWord
from nutmegshore.gateway.replica_view import ReplicaView
from nutmegshore.gateway.restore_guard import HeldBack, RestoreGuard
from nutmegshore.store import Change, Changes, Listing, StoredObject

__all__ = ('Replica', 'ReplicaFeed')


class Replica(abc.ABC):
    """Local copy of one kind of object, updated by a follower.

    `has_leases` says whether the store removes objects whose owners have not
    written them again in time.
    """

    has_leases = False

    @abc.abstractmethod
    def replace(
        self,
        listed: Iterable[StoredObject],
        *,
        is_after_outage: bool,
    ) -> None:
        """Replace all objects by those of a listing."""

    @abc.abstractmethod
    def change(self, change: Change, *, is_after_outage: bool) -> None:
        """Apply one change."""

    def expire(self) -> None:
        """Remove what was kept because it might have come back."""

    def find_start(self, stored: StoredObject) -> int | None:
        """Return a number that grows with each start of an object's owner.

        None if owners have none: a restored store is then believed, and whoever
        removed the object does so again.
        """


class ReplicaFeed:
    """Keeps the known objects of one kind, and updates the replica by them.

    When a listing or changes lead to another era of the store, what the
    restore took away or brought back reaches the replica only after its
    owners could have written it again.

    Before or after the first listing the word of another gateway says what a
    restore before it has changed; `awaits_word` is true until there is one.

        feed = ReplicaFeed(replica, clock, 2.3, ReplicaView(clock))
        feed.apply_listing(listing, is_after_outage=False)
        feed.expire(is_after_outage=False)  # often
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        rewrite_s: float,
        view: ReplicaView,
    ) -> None:
        """Start without objects; `view` tells how old the known ones are."""
        self._view = view
        self.known = KnownObjects()
        self._replica = replica
        self._guard = RestoreGuard(clock, rewrite_s, replica.find_start)
        self._word: PeerWord | None = None
        self._is_listed = False
        self._is_settled = False

    @property
    def awaits_word(self) -> bool:
        """Whether a restore before the first listing may have gone unseen."""
        return not self._is_settled and self._word is None

    def apply_listing(self, listing: Listing, *, is_after_outage: bool) -> None:
        """Replace all objects by those of a listing."""
        before = None
        if self._is_restored(listing.era):
            before = self._guard.visible(self.known.by_key)
        self.known.replace(listing)
        self._is_listed = True
        self._use_word()
        self._replace_all(before, is_after_outage=is_after_outage)

    def held(self) -> HeldBack:
        """Return what is not used as the store has it, since a restore."""
        return self._guard.held()

    def hear(self, word: PeerWord, *, is_after_outage: bool) -> None:
        """Hold back what another gateway does, from the first listing on."""
        self._word = word
        if self._is_listed and self._use_word():
            self._replace_all(None, is_after_outage=is_after_outage)

    def apply_changes(self, changes: Changes, *, is_after_outage: bool) -> None:
        """Apply changes, which start at the position of the known objects."""
        if self._is_restored(changes.era):
            before = self._guard.visible(self.known.by_key)
            self.known.apply(changes)
            self._replace_all(before, is_after_outage=is_after_outage)
            return
        repeated = {
            change.key
            for change in changes.changes
            if self.known.by_key.get(change.key) == change.stored
        }
        for change in self.known.apply(changes):
            # A peer repeats what the restore changed; its owner did not.
            if change.key in repeated and self._guard.holds(change.key):
                continue
            self._guard.accept(change)
            self._replica.change(change, is_after_outage=is_after_outage)

    def expire(self, *, is_after_outage: bool) -> None:
        """Let go of what is kept or ignored for too long."""
        for change in self._guard.end_overdue():
            self._replica.change(change, is_after_outage=False)
        if not is_after_outage:
            self._replica.expire()

    def _is_restored(self, era: int) -> bool:
        """Whether an era replaces the known one; the first one does not."""
        return self.known.position.era not in {0, era}

    def _use_word(self) -> bool:
        """Use what another gateway told; whether that holds anything back."""
        word = self._word
        self._word = None
        era = self.known.position.era
        if word is None or not _is_comparable(word.found.era, era):
            return False
        self._is_settled = True
        if word.found.era == era:
            self._guard.adopt(word.held)
        else:
            self._guard.begin(word.in_use(), self.known, self._view.known_age_s)
        return self._guard.is_holding

    def _replace_all(
        self, before: list[StoredObject] | None, *, is_after_outage: bool
    ) -> None:
        if before is not None:
            self._is_settled = True
            self._guard.begin(before, self.known, self._view.known_age_s)
        self._replica.replace(
            self._guard.visible(self.known.by_key),
            is_after_outage=is_after_outage,
        )


def _is_comparable(told_era: int, known_era: int) -> bool:
    """Whether objects of an era may show what a restore has changed since.

    A gateway that reads no era does not notice restores.
    """
    return told_era == known_era or 0 < told_era < known_era
