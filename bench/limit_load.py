"""A model of a fleet under load in which upstreams name rate limits.

Gateways, upstreams and callers live on one clock, without a network. An
upstream names its limit in each answer while the limit is in force. The model
records every arrival at an upstream and whether its gateway had passed on an
answer with a limit before.
"""

import collections
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
    Choice,
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
from nutmegshore.upstreams import UpstreamReport

__all__ = (
    'Arrival',
    'Fleet',
    'LimitSpan',
    'Outcome',
    'Result',
    'excess',
    'play',
    'upstream_name',
)

_SERVICE = 'orders'
#: Seconds of the sliding window in which arrivals are counted.
_WINDOW_S = 4
#: Arrivals allowed in a window: this factor of what the limit allows, and this
#: many more.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
#: Seconds after which a gateway that has passed on a limit has to keep to it.
_NOTICE_S = 0.5
_WORK_S = 0.15
_SLOTS = 8
#: Objects of each region.
_OBJECTS = 100
_DEADLINE_S = 3
_TARGET_S = 0.6
#: Part of the time that is left within which callers heed Retry-After.
_HEEDED_FRACTION = 1 / 3
_MAX_ATTEMPTS = 4
_MAX_SHIFT = 0.15


@attrs.frozen
class LimitSpan:
    """Seconds from `start_s` to `end_s` in which an upstream names a limit."""

    upstream: str
    start_s: float
    end_s: float
    max_rate: float


@attrs.frozen
class Fleet:
    """A fleet and its load.

    `gateways` and `upstreams` are numbers in each region, `per_s` the requests
    a second in each. A fraction `urgent` of the requests has the rank 0, the
    others 1.
    """

    spans: tuple[LimitSpan, ...]
    gateways: int = 3
    upstreams: int = 4
    per_s: float = 30
    seconds: float = 30
    urgent: float = 0.5
    regions: tuple[str, ...] = ('west', 'north', 'south')


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    `told_at` is when its gateway first passed on an answer of the upstream that
    named a limit, or None.
    """

    at_s: float
    gateway: str
    told_at: float | None


@attrs.frozen
class Outcome:
    """How a request ended; `region` is that of the upstream, if any."""

    asked_at: float
    rank: int
    home: str
    region: str = ''
    retry_after_s: float = 0


@attrs.frozen
class Result:
    """The arrivals by upstream, and how each request ended."""

    arrivals: dict[str, list[Arrival]]
    outcomes: list[Outcome]

    def rate(self, upstream: str, start_s: float, end_s: float) -> float:
        """Return the mean arrivals per second at an upstream in a span."""
        found = self.arrivals[upstream]
        within = [one for one in found if start_s <= one.at_s < end_s]
        return len(within) / (end_s - start_s)

    def served(self, start_s: float, end_s: float, rank: int = 0) -> float:
        """Return the fraction served of the requests of a rank in a span."""
        found = [
            one
            for one in self.outcomes
            if one.rank == rank and start_s <= one.asked_at < end_s
        ]
        return sum(bool(one.region) for one in found) / max(len(found), 1)


def upstream_name(region: str, number: int) -> str:
    """Return the name of an upstream of a region."""
    return f'{region}-u{number}'


def excess(
    result: Result, spans: tuple[LimitSpan, ...], *, is_strict: bool = False
) -> float:
    """Return by how many requests the worst window exceeds what is allowed.

    Counted are the arrivals from gateways that had been told the limit half a
    second before; if `is_strict`, those from all gateways, from one window
    after the start of the limit on.
    """
    names = {span.upstream for span in spans}
    return max(
        _excess_of(
            result.arrivals[name],
            [span for span in spans if span.upstream == name],
            is_strict=is_strict,
        )
        for name in names
    )


def play(fleet: Fleet, seed: int) -> Result:
    """Play the load to its end."""
    return _Session(fleet, random.Random(seed)).run()


def _excess_of(
    arrivals: list[Arrival], spans: list[LimitSpan], *, is_strict: bool
) -> float:
    first_s = min(span.start_s for span in spans)
    times = [
        one.at_s
        for one in arrivals
        if _span_at(spans, one.at_s)
        and _counts(one, first_s, is_strict=is_strict)
    ]
    worst = float('-inf')
    window: collections.deque[float] = collections.deque()
    for at_s in times:
        window.append(at_s)
        while window[0] <= at_s - _WINDOW_S:
            window.popleft()
        worst = max(worst, len(window) - _allowed(spans, at_s))
    return worst


def _counts(arrival: Arrival, first_s: float, *, is_strict: bool) -> bool:
    if is_strict:
        return arrival.at_s >= first_s + _WINDOW_S
    told_at = arrival.told_at
    return told_at is not None and told_at <= arrival.at_s - _NOTICE_S


def _span_at(spans: list[LimitSpan], at_s: float) -> LimitSpan | None:
    return next(
        (span for span in spans if span.start_s <= at_s < span.end_s), None
    )


def _allowed(spans: list[LimitSpan], at_s: float) -> float:
    """Return what is allowed in the window that ends at a time.

    The largest limit counts that was in force in the window.
    """
    max_rate = max(
        span.max_rate
        for span in spans
        if span.start_s <= at_s and span.end_s > at_s - _WINDOW_S
    )
    return _ALLOWED_FACTOR * _WINDOW_S * max_rate + _ALLOWED_EXTRA


@attrs.define(eq=False)
class _Gateway:
    name: str
    region: str
    balancer: Balancer
    told_at: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class _Request:
    home: str
    rank: int
    key: str
    asked_at: float
    attempts: int = 0


@attrs.define(eq=False)
class _Attempt:
    request: _Request
    gateway: _Gateway
    sent: InFlightRequest

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self.sent.choice.upstream.instance


class _Session:
    """One load that is played."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._clock = EventClock()
        self._state = _make_state(fleet, self._clock)
        self._in_flight = collections.Counter()
        self._result = Result({name: [] for name in self._state.by_id}, [])
        self._routes = tuple(_iter_routes())
        self._gateways = {
            name: self._make_gateway(name, region)
            for name, region in _iter_gateways(fleet)
        }

    def run(self) -> Result:
        """Play to the end."""
        for region in self._fleet.regions:
            self._await_next(region)
        self._clock.run()
        return self._result

    def _make_gateway(self, name: str, region: str) -> _Gateway:
        dependencies = BalancerDependencies(
            self._clock,
            random.Random(self._rng.random()),
            name,
            region,
            self._names,
            _MAX_SHIFT,
        )
        return _Gateway(name, region, Balancer(self._state, dependencies))

    def _names(self, region: str) -> list[str]:
        return [
            one.name
            for one in self._gateways.values()
            if region in {'', one.region}
        ]

    def _await_next(self, region: str) -> None:
        pause_s = self._rng.expovariate(self._fleet.per_s)
        if self._clock.now() + pause_s < self._fleet.seconds:
            self._clock.after(pause_s, lambda: self._arrive(region))

    def _arrive(self, region: str) -> None:
        self._await_next(region)
        rank = int(self._rng.random() >= self._fleet.urgent)
        number = self._rng.randrange(_OBJECTS)
        key = f'{region}-{number}'
        self._ask(_Request(region, rank, key, self._clock.now()))

    def _ask(self, request: _Request) -> None:
        names = self._names(request.home)
        gateway = self._gateways[self._rng.choice(names)]
        wanted = RoutingRequest(
            self._routes[request.rank],
            _SERVICE,
            request.key,
            self._remaining_s(request),
        )
        try:
            choice = gateway.balancer.choose(wanted)
        except RefusedError as refusal:
            self._refuse(request, refusal.retry_after_s)
            return
        self._send(request, gateway, wanted, choice)

    def _send(
        self,
        request: _Request,
        gateway: _Gateway,
        wanted: RoutingRequest,
        choice: Choice,
    ) -> None:
        sent = gateway.balancer.begin(wanted, choice)
        attempt = _Attempt(request, gateway, sent)
        name = attempt.upstream
        self._in_flight[name] += 1
        self._result.arrivals[name].append(
            Arrival(self._clock.now(), gateway.name, gateway.told_at.get(name))
        )
        queue_s = max(self._in_flight[name] / _SLOTS, 1) * _WORK_S
        self._clock.after(queue_s, lambda: self._answer(attempt))

    def _answer(self, attempt: _Attempt) -> None:
        name = attempt.upstream
        gateway = attempt.gateway
        now = self._clock.now()
        self._in_flight[name] -= 1
        spans = [one for one in self._fleet.spans if one.upstream == name]
        span = _span_at(spans, now)
        if span is not None:
            gateway.told_at.setdefault(name, now)
        gateway.balancer.candidate_builder.limits.handle_report(
            name, UpstreamReport(max_rate=span.max_rate if span else None)
        )
        gateway.balancer.end(
            attempt.sent, AttemptResult(AttemptOutcome.ANSWERED, _WORK_S)
        )
        region = attempt.sent.choice.upstream.region
        self._finish(attempt.request, region)

    def _finish(
        self, request: _Request, region: str = '', retry_after_s: float = 0
    ) -> None:
        self._result.outcomes.append(
            Outcome(
                request.asked_at,
                request.rank,
                request.home,
                region,
                retry_after_s,
            )
        )

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        again = attrs.evolve(request, attempts=request.attempts + 1)
        remaining_s = self._remaining_s(request)
        if again.attempts >= _MAX_ATTEMPTS:
            self._finish(request, retry_after_s=retry_after_s)
            return
        pause_s = min(retry_after_s, _HEEDED_FRACTION * remaining_s)
        self._clock.after(pause_s, lambda: self._ask(again))

    def _remaining_s(self, request: _Request) -> float:
        return request.asked_at + _DEADLINE_S - self._clock.now()


def _iter_gateways(fleet: Fleet) -> Iterator[tuple[str, str]]:
    for region in fleet.regions:
        for number in range(fleet.gateways):
            yield f'{region}-g{number}', region


def _make_state(fleet: Fleet, clock: EventClock) -> FleetState:
    state = FleetState(clock)
    rules = MappingProxyType({_SERVICE: ServiceRules()})
    state.adopt(Configuration(1, tuple(_iter_routes()), rules))
    state.replace_upstreams(_iter_upstreams(fleet), is_after_outage=False)
    state.replace_evacuated(())
    return state


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
            is_sticky=True,
        )


def _iter_upstreams(fleet: Fleet) -> Iterator[RegisteredUpstream]:
    for region in fleet.regions:
        for number in range(fleet.upstreams):
            yield RegisteredUpstream(
                instance=upstream_name(region, number),
                service=_SERVICE,
                address='10.0.0.1:80',
                availability_zone=f'{region}-a',
                region=region,
                slots=_SLOTS,
            )
