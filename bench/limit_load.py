"""A model of a fleet under load in which upstreams name rate limits.

Gateways, upstreams and callers live on one clock, without a network. An
upstream names its limit in each answer while the limit is in force. The model
records every arrival at an upstream and whether its gateway had passed on an
answer with a limit before.
"""

import collections
import functools
import random
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from bench.event_clock import EventClock
from bench.limit_record import Arrival, LimitSpan, Outcome, Result, span_at
from bench.limit_views import Fault, Views
from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Balancer,
    BalancerDependencies,
    Choice,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.balancing.limit_table import LimitStatement, LimitTable
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

__all__ = ('Fleet', 'play', 'upstream_name')

_SERVICE = 'orders'
_GOSSIP_INTERVAL_S = 0.25
_WORK_S = 0.15
_SLOTS = 8
#: Objects of each region.
_KEYS_PER_REGION = 100
_DEADLINE_S = 3
_TARGET_S = 0.6
#: Part of the time that is left within which callers heed Retry-After.
_HEEDED_FRACTION = 1 / 3
_MAX_ATTEMPTS = 4
_MAX_SHIFT = 0.15


@attrs.frozen
class Fleet:
    """A fleet and its load.

    `gateways` and `upstreams` are numbers in each region, `per_s` the requests
    a second in each. A fraction `urgent` of the requests has the rank 0, the
    others 1. Gateways pass on what they know each quarter of a second; it
    arrives after `gossip_s`, at each gateway up to `late_s` later. An upstream
    that names a limit works for `limited_work_s` on a request.
    """

    spans: tuple[LimitSpan, ...]
    gateways: int = 3
    upstreams: int = 4
    per_s: float = 30
    seconds: float = 30
    urgent: float = 0.5
    regions: tuple[str, ...] = ('west', 'north', 'south')
    faults: tuple[Fault, ...] = ()
    gossip_s: float = 0.5
    late_s: float = 0
    limited_work_s: float = _WORK_S


def upstream_name(region: str, number: int) -> str:
    """Return the name of an upstream of a region."""
    return f'{region}-u{number}'


def play(fleet: Fleet, seed: int) -> Result:
    """Play the load to its end."""
    return _Session(fleet, random.Random(seed)).run()


@attrs.define(eq=False)
class _Gateway:
    name: str
    region: str
    balancer: Balancer
    late_s: float
    told_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def limits(self) -> LimitTable:
        """What the gateway knows of the limits."""
        return self.balancer.candidate_builder.limits


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
        self._views = Views(
            dict(_iter_gateways(fleet)), fleet.faults, self._clock, rng
        )
        self._gateways = {
            name: self._make_gateway(name, region)
            for name, region in _iter_gateways(fleet)
        }

    def run(self) -> Result:
        """Play to the end."""
        for region in self._fleet.regions:
            self._await_next(region)
        for name, at_s in self._views.restarts():
            self._clock.after(at_s, functools.partial(self._restart, name))
        self._clock.after(_GOSSIP_INTERVAL_S, self._gossip)
        self._clock.run()
        return self._result

    def _make_gateway(self, name: str, region: str) -> _Gateway:
        dependencies = BalancerDependencies(
            self._clock,
            random.Random(self._rng.random()),
            name,
            region,
            functools.partial(self._views.names, name),
            _MAX_SHIFT,
        )
        return _Gateway(
            name,
            region,
            Balancer(self._state, dependencies),
            self._rng.random() * self._fleet.late_s,
        )

    def _restart(self, name: str) -> None:
        """Replace a gateway by one that knows nothing."""
        region = self._gateways[name].region
        self._gateways[name] = self._make_gateway(name, region)

    def _gossip(self) -> None:
        """Have the gateways that reach each other pass on what they know."""
        for group in self._views.groups():
            gateways = [self._gateways[name] for name in group]
            latest = _latest_statements(gateways)
            for gateway in gateways:
                self._clock.after(
                    self._fleet.gossip_s + gateway.late_s,
                    functools.partial(self._tell, gateway, latest),
                )
        if self._clock.now() < self._fleet.seconds:
            self._clock.after(_GOSSIP_INTERVAL_S, self._gossip)

    def _tell(
        self, gateway: _Gateway, latest: Mapping[str, LimitStatement]
    ) -> None:
        now = self._clock.now()
        for name, statement in latest.items():
            age_s = now - statement.stated_at
            gateway.limits.handle_peer(name, statement.max_rate, age_s)

    def _await_next(self, region: str) -> None:
        pause_s = self._rng.expovariate(self._fleet.per_s)
        if self._clock.now() + pause_s < self._fleet.seconds:
            self._clock.after(pause_s, lambda: self._arrive(region))

    def _arrive(self, region: str) -> None:
        self._await_next(region)
        rank = int(self._rng.random() >= self._fleet.urgent)
        number = self._rng.randrange(_KEYS_PER_REGION)
        key = f'{region}-{number}'
        self._ask(_Request(region, rank, key, self._clock.now()))

    def _ask(self, request: _Request) -> None:
        names = self._views.open_names(request.home)
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
        work_s = _WORK_S
        if self._span(name) is not None:
            work_s = self._fleet.limited_work_s
        took_s = max(self._in_flight[name] / _SLOTS, 1) * work_s
        self._clock.after(took_s, lambda: self._answer(attempt, took_s))

    def _span(self, upstream: str) -> LimitSpan | None:
        spans = [one for one in self._fleet.spans if one.upstream == upstream]
        return span_at(spans, self._clock.now())

    def _answer(self, attempt: _Attempt, took_s: float) -> None:
        name = attempt.upstream
        gateway = attempt.gateway
        now = self._clock.now()
        self._in_flight[name] -= 1
        span = self._span(name)
        if span is not None:
            gateway.told_at.setdefault(name, now)
        gateway.limits.handle_report(
            name, UpstreamReport(max_rate=span.max_rate if span else None)
        )
        gateway.balancer.end(
            attempt.sent, AttemptResult(AttemptOutcome.ANSWERED, took_s)
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


def _latest_statements(
    gateways: Iterable[_Gateway],
) -> dict[str, LimitStatement]:
    latest: dict[str, LimitStatement] = {}
    for gateway in gateways:
        for name, statement in gateway.limits.statements():
            known = latest.get(name)
            if known is None or known.stated_at < statement.stated_at:
                latest[name] = statement
    return latest


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
