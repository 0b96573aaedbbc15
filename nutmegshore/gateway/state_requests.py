"""Requests to other gateways for the objects that they know."""

from collections.abc import Iterable

import attrs

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
#: Round trips after which an answer counts as lost, and the bounds of that
#: time in seconds.
_ROUND_TRIPS = 4
_MIN_ANSWER_WAIT_S = 0.2
_MAX_ANSWER_WAIT_S = 1


@attrs.frozen
class _Due:
    """A request whose answer is due."""

    name: str
    sent_at: float


class StateRequests:
    """Sends state requests, each only while no answer to another is due.

    An answer holds all that its sender is ahead by, so that a second request
    would be answered with the same objects once more.

    requests.send_paced('gateway-3', follower, is_full=False)
    requests.record_answer('gateway-3', 'servers/')
    """

    def __init__(
        self, dependencies: PeeringDependencies, roster: Roster
    ) -> None:
        """Send requests for one gateway."""
        self._dependencies = dependencies
        self._roster = roster
        self._sent_at: dict[str, float] = {}
        self._due: dict[str, _Due] = {}
        self._round_trip_s = float(0)
        self._unreachable_at = float('-inf')

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
        """Request all objects of a kind, or what changed since they are known.

        Nothing is sent while an answer for the kind is due, or a moment after
        the last request. The request names the position that is known here.
        """
        now = self._dependencies.clock.now()
        last_at = self._sent_at.get(follower.prefix, float('-inf'))
        is_early = now - last_at < _CATCH_UP_INTERVAL_S
        if is_early or self._is_due(follower.prefix, now):
            return
        self._sent_at[follower.prefix] = now
        self._due[follower.prefix] = _Due(name, now)
        known_at = follower.known.position
        request = StateRequest(
            follower.prefix, known_at.revision, is_full, known_at.era
        )
        self._dependencies.peers.send(name, request)
        self._dependencies.counters.add('state_questions', kind=follower.prefix)

    def record_answer(self, name: str, prefix: str) -> None:
        """Record an answer; the next request may leave."""
        due = self._due.get(prefix)
        if due is None or due.name != name:
            return
        self._due.pop(prefix)
        self._round_trip_s = self._dependencies.clock.now() - due.sent_at

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
            self.send_paced(name, follower, is_full=not follower.is_listed)

    def _is_due(self, prefix: str, now: float) -> bool:
        """Whether an answer may still arrive."""
        due = self._due.get(prefix)
        if due is None:
            return False
        wait_s = max(_ROUND_TRIPS * self._round_trip_s, _MIN_ANSWER_WAIT_S)
        return now - due.sent_at < min(wait_s, _MAX_ANSWER_WAIT_S)
