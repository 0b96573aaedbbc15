"""The choice of an upstream for each request, joined from its parts."""

from collections.abc import Iterator

import attrs

from nutmegshore.balancing.admission import Admission
from nutmegshore.balancing.candidate_builder import (
    BalancerDependencies,
    CandidateBuilder,
)
from nutmegshore.balancing.choice import (
    Candidate,
    Choice,
    RoutingRequest,
    best_of,
)
from nutmegshore.balancing.outcome import AttemptOutcome, AttemptResult
from nutmegshore.balancing.shift_bound import ShiftBound
from nutmegshore.balancing.spill import SpillTable
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.route import Configuration
from nutmegshore.gateway.state import FleetState

__all__ = ('Balancer', 'InFlightRequest')

#: Outcomes of requests that an upstream has not begun to work on.
_NOT_BEGUN = frozenset((AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE))
_HOME = 'home'
_SPILL = 'spill'
_AWAY = 'away'
#: Least part of its target that a request is taken to spare for waiting.
_LEAST_SPARE_PART = 0.25
#: Queue in another region, as a part of the time that a request may wait,
#: up to which that region has room.
_ROOM_PART = 0.25


@attrs.define
class InFlightRequest:
    """A request that is in flight at an upstream."""

    choice: Choice
    wanted: RoutingRequest
    token: int
    was_handled: bool


class Balancer:
    """Chooses upstreams, and learns from how the attempts end.

    choice = balancer.choose(wanted)  # raises RefusedError
    sent = balancer.begin(wanted, choice)
    balancer.end(sent, AttemptResult(AttemptOutcome.ANSWERED, took_s))
    """

    def __init__(self, state: FleetState, around: BalancerDependencies) -> None:
        """Choose among the upstreams of the state."""
        self.known = CandidateBuilder(state, around)
        self.spills = SpillTable(around.clock)
        self.shift_bound = ShiftBound(
            around.clock,
            around.max_shift,
            around.rng,
        )
        self._admission = Admission(around.clock, around.rng)
        self._region = around.region
        self._gateways = around.gateways
        self._ranks: tuple[Configuration | None, dict[str, int]] = (None, {})
        self._state = state

    def choose(self, wanted: RoutingRequest) -> Choice:
        """The best upstream, or `RefusedError` if the request is refused."""
        found = self.known.candidates(wanted)
        count = len(found.home) + len(found.away)
        home = best_of(found.home)
        away = best_of(found.away)
        chosen, reason = self._home_or_away(wanted, home, away)
        if chosen is None:
            raise self._no_upstream(wanted)
        if not self._is_admitted(wanted, chosen):
            raise self._overloaded(wanted, chosen, count)
        return Choice(chosen, reason, count)

    def begin(self, wanted: RoutingRequest, choice: Choice) -> InFlightRequest:
        """Count a request that is sent now."""
        known = self.known
        name = choice.upstream.instance
        if self._state.is_cold(name):
            known.cold.take(name, known.cold_rate(wanted.service))
        known.load.get(name).in_flight += 1
        is_away = choice.upstream.region != self._region
        is_moving = self.spills.part(wanted.service) > 0
        self.shift_bound.record(is_away=is_away, is_moving=is_moving)
        token = known.pace.begin(name, choice.candidate.expected_s)
        was_handled = known.affinity.has_handled(name, wanted.key)
        if wanted.key:
            # An upstream warms up with the start of the work, not its end.
            known.affinity.record(name, wanted.key)
        return InFlightRequest(choice, wanted, token, was_handled)

    def end(self, sent: InFlightRequest, ended: AttemptResult) -> float:
        """Learn from the end of an attempt; returns seconds of avoidance."""
        name = sent.choice.upstream.instance
        self.known.load.get(name).in_flight -= 1
        self.known.pace.end(name, sent.token)
        if name not in self._state.by_id:
            # It has left while the request ran; nothing more is learnt.
            self.known.forget(name)
            return 0
        if ended.outcome is AttemptOutcome.ANSWERED:
            self._learn(sent, ended)
        elif ended.outcome in _NOT_BEGUN and not sent.was_handled:
            self.known.affinity.discard(name, sent.wanted.key)
        elif ended.outcome is AttemptOutcome.SILENT:
            expected_s = sent.choice.candidate.expected_s
            self.known.pace.learn(name, ended.took_s, expected_s)
        return self.known.health.record(name, ended.outcome)

    def _home_or_away(
        self,
        wanted: RoutingRequest,
        home: Candidate | None,
        away: Candidate | None,
    ) -> tuple[Candidate | None, str]:
        if home is None:
            return away, _AWAY
        if away is None:
            return home, _HOME
        self._record_pressure(wanted, home, away)
        if not self._is_admitted(wanted, away):
            return home, _HOME
        if self._goes_away(wanted, home, away):
            return away, _SPILL
        return home, _HOME

    def _goes_away(
        self,
        wanted: RoutingRequest,
        home: Candidate,
        away: Candidate,
    ) -> bool:
        """Whether a request that could run at home runs elsewhere.

        What home has no room for goes only where the object is warm: the
        work of cold objects would use up the room of the other regions too.
        """
        if not self.shift_bound.allows_home():
            return True
        if not self.shift_bound.allows_away():
            return False
        key = wanted.key if wanted.route.is_sticky else ''
        if self.spills.takes(wanted.service, key):
            return True
        return away.has_handled and not self._is_admitted(wanted, home)

    def _record_pressure(
        self,
        wanted: RoutingRequest,
        home: Candidate,
        away: Candidate,
    ) -> None:
        """Tell the spill how long the queue at home is."""
        target_s = wanted.route.target_latency_s
        spare_s = target_s - home.work_s - home.delay_s
        spare_s = max(spare_s, _LEAST_SPARE_PART * target_s)
        pressure = home.wait_s / spare_s
        # Where all regions are full, moved objects only add cold work.
        has_room = away.wait_s <= _ROOM_PART * spare_s
        self.spills.record(wanted.service, pressure, has_room=has_room)

    def _is_admitted(self, wanted: RoutingRequest, chosen: Candidate) -> bool:
        return self._admission.allows(
            wanted.route,
            chosen,
            wanted.remaining_s,
            self._lowest_rank(wanted.service),
        )

    def _lowest_rank(self, service: str) -> int:
        """Rank of the most urgent route to a service."""
        configuration = self._state.configuration
        if self._ranks[0] is not configuration:
            self._ranks = (configuration, dict(_iter_ranks(configuration)))
        return self._ranks[1].get(service, 0)

    def _learn(self, sent: InFlightRequest, ended: AttemptResult) -> None:
        candidate = sent.choice.candidate
        upstream = candidate.upstream
        wanted = sent.wanted
        work_s = max(ended.took_s - candidate.delay_s, 0)
        times = self.known.times(wanted)
        expected_s = times.expect(is_warm=candidate.is_warm) + candidate.wait_s
        self.known.pace.learn(upstream.instance, work_s, expected_s)
        if self._is_plain(candidate):
            is_presumed = candidate.is_warm and not sent.was_handled
            is_warm = candidate.is_warm
            if is_presumed:
                is_warm = times.seems_warm(work_s)
            times.learn(work_s, is_warm=is_warm)

    def _is_plain(self, candidate: Candidate) -> bool:
        """Whether the time of a request is that of its work alone.

        It did not wait, and the upstream had long started.
        """
        is_cold = self._state.is_cold(candidate.upstream.instance)
        return not (candidate.wait_s or is_cold)

    def _no_upstream(self, wanted: RoutingRequest) -> RefusedError:
        retry_s = self._admission.no_upstream_retry_s()
        return RefusedError(ErrorKind.NO_UPSTREAM, wanted.service, retry_s)

    def _overloaded(
        self,
        wanted: RoutingRequest,
        chosen: Candidate,
        candidates: int,
    ) -> RefusedError:
        retry_s = self._admission.retry_after_s(
            wanted,
            chosen,
            self._gap_s(wanted, chosen),
        )
        refusal = RefusedError(ErrorKind.OVERLOADED, wanted.service, retry_s)
        refusal.candidates = candidates
        refusal.best = self.known.describe(chosen)
        return refusal

    def _gap_s(self, wanted: RoutingRequest, chosen: Candidate) -> float:
        """Seconds between two requests that this gateway may send.

        The gateways of the region share its upstreams.
        """
        usable = self._state.usable(wanted.service)
        region = chosen.upstream.region
        slots = sum(one.slots for one in usable if one.region == region)
        members = max(len(self._gateways(region)), 1)
        return chosen.work_s * members / max(slots, 1)


def _iter_ranks(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Services with the rank of their most urgent route."""
    ranks: dict[str, int] = {}
    for route in configuration.routes:
        for share in route.shares:
            known = ranks.get(share.service, route.rank)
            ranks[share.service] = min(known, route.rank)
    yield from ranks.items()
