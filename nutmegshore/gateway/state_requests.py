"""Requests to other gateways for the objects that they know."""

from collections.abc import Iterable

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import StateRequest
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.store import StorePosition

__all__ = ('StateRequests',)

#: Seconds between requests to peers while the store is unreachable.
_UNREACHABLE_INTERVAL_S = 0.4
#: Seconds between requests to peers that are ahead, which all report it.
_CATCH_UP_INTERVAL_S = 0.2


class StateRequests:
    """Sends state requests, at most a few a second for each kind.

    requests.send('gateway-3', follower, is_full=False)
    requests.catch_up('gateway-3', follower, position)
    """

    def __init__(
        self, dependencies: PeeringDependencies, roster: Roster
    ) -> None:
        """Send requests for one gateway."""
        self._dependencies = dependencies
        self._roster = roster
        self._caught_up_at: dict[str, float] = {}
        self._unreachable_at = float('-inf')

    def send(self, name: str, follower: KindFollower, *, is_full: bool) -> None:
        """Request all objects of a kind, or what changed since they are known.

        The request names the position that is known here.
        """
        known_at = follower.known.position
        request = StateRequest(
            follower.prefix, known_at.revision, is_full, known_at.era
        )
        self._dependencies.peers.send(name, request)
        self._dependencies.counters.add('state_questions', kind=follower.prefix)

    def catch_up(
        self, name: str, follower: KindFollower, position: StorePosition
    ) -> None:
        """Request what a peer is ahead by; the own watch may not deliver it."""
        is_comparable = position.era == follower.known.position.era
        if is_comparable and follower.is_listed:
            self.send_paced(name, follower, is_full=False)

    def send_paced(
        self, name: str, follower: KindFollower, *, is_full: bool
    ) -> None:
        """Send a request unless one for the kind has left a moment ago."""
        now = self._dependencies.clock.now()
        last_at = self._caught_up_at.get(follower.prefix, float('-inf'))
        if now - last_at >= _CATCH_UP_INTERVAL_S:
            self._caught_up_at[follower.prefix] = now
            self.send(name, follower, is_full=is_full)

    def send_unreachable(self, followers: Iterable[KindFollower]) -> None:
        """Request the kinds whose store is unreachable, each from a peer."""
        now = self._dependencies.clock.now()
        unreachable = [
            one
            for one in followers
            if not (one.is_store_reachable or one.is_relayed)
        ]
        names = self._roster.in_contact()
        if (
            not unreachable
            or not names
            or now - self._unreachable_at < _UNREACHABLE_INTERVAL_S
        ):
            return
        self._unreachable_at = now
        for follower in unreachable:
            name = self._dependencies.rng.choice(names)
            self.send(name, follower, is_full=True)
