"""A model of a fleet under load in which upstreams ask for pauses.

Gateways, upstreams and callers of one region live on one clock, without a
network. While an upstream wants no requests it answers each with the time that
is left, so that all gateways are told the same end.
"""

import collections
import functools
import random
from collections.abc import Iterator
from types import MappingProxyType

import attrs

from bench.event_clock import EventClock
from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Balancer,
    BalancerDependencies,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.errors import RefusedError
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import (
    Configuration,
    Route,
    RouteKind,
    ServiceRules,
    ServiceShare,
)
from nutmegshore.gateway.state import FleetState

__all__ = ('PauseFleet', 'PauseResult', 'PauseSpan', 'play')

_REGION = 'west'
_SERVICE = 'orders'
_WORK_S = 0.15
_SLOTS = 8
_KEYS = 100
_DEADLINE_S = 3
_TARGET_S = 0.6
#: Part of the time that is left within which callers heed Retry-After.
_HEEDED_FRACTION = 1 / 3
_MAX_ATTEMPTS = 4
_MAX_SHIFT = 0.15


@attrs.frozen
class PauseSpan:
    """Seconds of the session in which an upstream wants no requests."""

    upstream: str
    start_s: float
    end_s: float


@attrs.frozen
class PauseFleet:
    """A fleet and its load: `per_s` requests, of which `urgent` have rank 0."""

    spans: tuple[PauseSpan, ...]
    gateways: int = 28
    upstreams: int = 4
    per_s: float = 80
    urgent: float = 0.3
    seconds: float = 20


@attrs.frozen
class PauseArrival:
    """A request that reached an upstream."""

    at_s: float
    gateway: str


@attrs.frozen
class PauseOutcome:
    """How a caller's request ended; `wait_s` is its last Retry-After."""

    asked_at: float
    ended_at: float
    rank: int
    is_served: bool
    wait_s: float = 0


@attrs.frozen
class PauseResult:
    """What reached the upstreams, and how the callers' requests ended.

    `told_at` is when a gateway was first asked for an upstream's pause.
    """

    arrivals: dict[str, list[PauseArrival]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    told_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    outcomes: list[PauseOutcome] = attrs.field(factory=list)

    def broken(self, span: PauseSpan) -> int:
        """Return the requests of gateways that had been told, in the pause."""
        return sum(
            self.told_at.get((one.gateway, span.upstream), span.end_s)
            < one.at_s
            < span.end_s
            for one in self.arrivals[span.upstream]
        )

    def count(self, upstream: str, start_s: float, length_s: float) -> int:
        """Return the requests that reached an upstream in some seconds."""
        end_s = start_s + length_s
        return sum(
            start_s <= one.at_s < end_s for one in self.arrivals[upstream]
        )

    def peak(self, span: PauseSpan, after_s: float, length_s: float) -> int:
        """Return the most requests in `length_s` seconds after a pause."""
        starts = [
            one.at_s
            for one in self.arrivals[span.upstream]
            if 0 <= one.at_s - span.end_s < after_s
        ]
        counts = (self.count(span.upstream, at, length_s) for at in starts)
        return max(counts, default=0)

    def served(self, start_s: float, end_s: float, rank: int) -> float:
        """Return the fraction of a rank's requests that were served."""
        found = [
            one.is_served
            for one in self.outcomes
            if start_s <= one.asked_at < end_s and one.rank == rank
        ]
        return sum(found) / len(found)


@attrs.frozen
class _Request:
    rank: int
    key: str
    asked_at: float
    attempts: int = 0
    tried: frozenset[str] = frozenset()


def play(fleet: PauseFleet, seed: int) -> PauseResult:
    """Play a session; the same seed gives the same result."""
    return _Session(fleet, seed).play()


class _Session:
    """One session of a fleet."""

    def __init__(self, fleet: PauseFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._clock = EventClock()
        self._routes = tuple(_iter_routes())
        self._state = self._make_state()
        self._result = PauseResult()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._names = [f'g{number}' for number in range(fleet.gateways)]
        self._balancers = {
            name: self._make_balancer(name) for name in self._names
        }

    def play(self) -> PauseResult:
        self._await_next()
        self._clock.run()
        return self._result

    def _make_state(self) -> FleetState:
        state = FleetState(self._clock)
        rules = MappingProxyType({_SERVICE: ServiceRules()})
        state.adopt(Configuration(1, self._routes, rules))
        upstreams = _iter_upstreams(self._fleet.upstreams)
        state.replace_upstreams(upstreams, is_after_outage=False)
        state.replace_evacuated(())
        return state

    def _make_balancer(self, name: str) -> Balancer:
        dependencies = BalancerDependencies(
            self._clock,
            random.Random(self._rng.random()),
            name,
            _REGION,
            lambda region: self._names,
            _MAX_SHIFT,
        )
        return Balancer(self._state, dependencies)

    def _await_next(self) -> None:
        wait_s = self._rng.expovariate(self._fleet.per_s)
        if self._clock.now() + wait_s < self._fleet.seconds:
            self._clock.after(wait_s, self._arrive)

    def _arrive(self) -> None:
        self._await_next()
        rank = int(self._rng.random() >= self._fleet.urgent)
        key = str(self._rng.randrange(_KEYS))
        self._ask(_Request(rank, key, self._clock.now()))

    def _ask(self, request: _Request) -> None:
        name = self._rng.choice(self._names)
        self._route(name, request)

    def _route(self, gateway: str, request: _Request) -> None:
        balancer = self._balancers[gateway]
        wanted = RoutingRequest(
            self._routes[request.rank],
            _SERVICE,
            request.key,
            self._remaining_s(request),
            request.tried,
        )
        try:
            choice = balancer.choose(wanted)
        except RefusedError as refusal:
            self._refuse(request, refusal.retry_after_s)
            return
        sent = balancer.begin(wanted, choice)
        self._send(gateway, request, sent)

    def _send(
        self, gateway: str, request: _Request, sent: InFlightRequest
    ) -> None:
        upstream = sent.choice.upstream.instance
        now = self._clock.now()
        self._result.arrivals[upstream].append(PauseArrival(now, gateway))
        asked_s = self._asked_s(upstream)
        if asked_s:
            self._turn_away(gateway, request, sent, asked_s)
            return
        self._in_flight[upstream] += 1
        took_s = max(self._in_flight[upstream] / _SLOTS, 1) * _WORK_S
        answer = functools.partial(self._answer, gateway, request, sent, took_s)
        self._clock.after(took_s, answer)

    def _asked_s(self, upstream: str) -> float:
        """Return the seconds for which an upstream wants no requests."""
        now = self._clock.now()
        left = (
            span.end_s - now
            for span in self._fleet.spans
            if span.upstream == upstream and span.start_s <= now
        )
        return max(0, *left, 0)

    def _turn_away(
        self,
        gateway: str,
        request: _Request,
        sent: InFlightRequest,
        asked_s: float,
    ) -> None:
        upstream = sent.choice.upstream
        balancer = self._balancers[gateway]
        told = (gateway, upstream.instance)
        self._result.told_at.setdefault(told, self._clock.now())
        balancer.candidate_builder.pauses.begin(upstream, asked_s)
        balancer.end(sent, AttemptResult(AttemptOutcome.REFUSED, 0))
        tried = request.tried | {upstream.instance}
        self._route(gateway, attrs.evolve(request, tried=tried))

    def _answer(
        self,
        gateway: str,
        request: _Request,
        sent: InFlightRequest,
        took_s: float,
    ) -> None:
        upstream = sent.choice.upstream.instance
        balancer = self._balancers[gateway]
        self._in_flight[upstream] -= 1
        load = balancer.candidate_builder.load
        load.handle_report(upstream, self._in_flight[upstream])
        balancer.end(sent, AttemptResult(AttemptOutcome.ANSWERED, took_s))
        self._finish(request, is_served=True)

    def _refuse(self, request: _Request, wait_s: float) -> None:
        again = attrs.evolve(
            request, attempts=request.attempts + 1, tried=frozenset()
        )
        if again.attempts >= _MAX_ATTEMPTS:
            self._finish(request, is_served=False, wait_s=wait_s)
            return
        heeded_s = _HEEDED_FRACTION * self._remaining_s(request)
        self._clock.after(min(wait_s, heeded_s), lambda: self._ask(again))

    def _finish(
        self, request: _Request, *, is_served: bool, wait_s: float = 0
    ) -> None:
        outcome = PauseOutcome(
            request.asked_at,
            self._clock.now(),
            request.rank,
            is_served,
            wait_s,
        )
        self._result.outcomes.append(outcome)

    def _remaining_s(self, request: _Request) -> float:
        return request.asked_at + _DEADLINE_S - self._clock.now()


def _iter_routes() -> Iterator[Route]:
    """Yield a route for each rank."""
    for rank in (0, 1):
        yield Route(
            name=f'r{rank}',
            host='a.example',
            prefix=f'/{rank}/',
            kind=RouteKind.SAFE,
            timeout_s=_DEADLINE_S,
            target_latency_s=_TARGET_S,
            shares=(ServiceShare(_SERVICE),),
            rank=rank,
        )


def _iter_upstreams(count: int) -> Iterator[RegisteredUpstream]:
    for number in range(count):
        yield RegisteredUpstream(
            instance=f'u{number}',
            service=_SERVICE,
            address='10.0.0.1:80',
            availability_zone='west-a',
            region=_REGION,
            slots=_SLOTS,
        )
