"""Listings by which gateways find what no watch delivers."""

import bisect
from collections.abc import Iterable

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.store_outages import EXPIRING_S
from nutmegshore.gateway.sync_dependencies import PeeringDependencies

__all__ = ('StoreChecks',)

#: Fraction of a kind's bound after which some gateway lists it again, to find
#: changes that no watch delivers. The rest is for their way to all gateways:
#: 0.25 s to the round, 0.1 s for the call, and for each of two hops a notice
#: (0.25 s), a request and an answer. docs/platform.md has the sums.
_CHECK_FRACTION = 0.5
#: Seconds after which the next gateway checks in place of one that did not; a
#: check becomes known with the notice after it.
_TURN_S = 0.4
_MAX_TURNS = 4
#: Time of a listing that never was; ages in messages are finite.
_NEVER_S = -1_000_000


class StoreChecks:
    """Lists the kinds that no gateway has listed recently.

    Gateways take turns in the order of their names, so that usually the first
    one that reaches the store checks for all.

        checks.record(follower, age_s=1.2)  # another gateway has listed it
        checks.check_due(followers)  # with each report
    """

    def __init__(
        self, dependencies: PeeringDependencies, roster: Roster
    ) -> None:
        """Check for one gateway."""
        self._dependencies = dependencies
        self._roster = roster
        self._checked_at: dict[str, float] = {}

    def record(self, follower: KindFollower, age_s: float) -> None:
        """Record that some gateway listed a kind `age_s` seconds ago."""
        checked_at = self._dependencies.clock.now() - age_s
        before = self._checked_at.get(follower.prefix, checked_at)
        self._checked_at[follower.prefix] = max(before, checked_at)

    def age_s(self, follower: KindFollower) -> float:
        """Seconds since the last known listing of a kind by any gateway."""
        now = self._dependencies.clock.now()
        checked_at = self._checked_at.get(follower.prefix, _NEVER_S)
        return min(follower.age_s, now - checked_at)

    def check_due(self, followers: Iterable[KindFollower]) -> None:
        """List the kinds whose last listing is too long ago."""
        turn_s = self._turn() * _TURN_S
        for follower in followers:
            wait_s = _CHECK_FRACTION * _answered_within_s(follower) + turn_s
            if self.age_s(follower) > wait_s:
                follower.check()

    def _turn(self) -> int:
        """Position of this gateway in the order of checks.

        In a large fleet the aggregators come first, since they learn of each
        other's checks before the other gateways.
        """
        peers = self._dependencies.peers
        checking = [
            name
            for region in peers.regions()
            for name in peers.aggregators(region)
        ]
        if not checking:
            in_contact = self._roster.in_contact()
            return min(bisect.bisect(in_contact, peers.local.name), _MAX_TURNS)
        if peers.local.name not in checking:
            return _MAX_TURNS
        return min(checking.index(peers.local.name), _MAX_TURNS)


def _answered_within_s(follower: KindFollower) -> float:
    """Seconds within which some gateway must hear of a kind again.

    In a longer silence entries may have expired, whether the store was away or
    nobody called it.
    """
    if follower.has_leases:
        return min(follower.bound_s, EXPIRING_S)
    return follower.bound_s
