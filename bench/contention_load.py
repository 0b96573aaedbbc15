"""A model of routes and customers that compete for the same upstreams.

Gateways, upstreams and callers live on one clock, without a network. The
upstreams are those of `bench/balancing_load.py`.
"""

import itertools
import math
import random
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

import attrs

from bench.balancing_load import Job, ModelUpstream, Pattern
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
from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import (
    Configuration,
    Route,
    RouteKind,
    ServiceRules,
    ServiceShare,
)
from nutmegshore.gateway.state import FleetState

__all__ = ('ContentionLoad', 'Ends', 'RouteLoad', 'Totals', 'play')

_REPORT_S = 0.25
_FULL_TURN = 2 * math.pi
#: Part of the time that is left within which callers heed Retry-After.
_HEEDED_PART = 1 / 3
#: Seconds after which callers return that retry at once.
_AT_ONCE_S = 0.02
_MAX_SHIFT = 0.15
#: Seconds from one region to another.
_AWAY_S = 0.055


@attrs.frozen
class RouteLoad:
    """The requests of a route; times are in seconds.

    `per_s` requests a second in each region are for `things` objects of the
    region. `work_s` is the mean time of cold work, `worth` what a response in
    time and a late one are worth. `services` are those that the route may use,
    with equal weights.
    """

    name: str
    rank: int
    per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    worth: tuple[float, float]
    services: tuple[str, ...] = ('orders',)
    things: int = 16


@attrs.frozen
class ContentionLoad:
    """A load of several routes and customers in three regions.

    `upstreams` are the numbers of upstreams of each service in each region.
    `customers` have equal parts of the requests; their ranks are given. The
    requests are multiplied by `burst` between the seconds of `burst_span`,
    those of the customer `hot` by 7.5 throughout. Refused callers return up to
    `returns` times, after the Retry-After or, with `at_once`, after 20 ms. A
    part `tail` of the work takes seven times as long.
    """

    routes: tuple[RouteLoad, ...]
    upstreams: Mapping[str, int]
    customers: Mapping[str, int] = MappingProxyType({})
    hot: str = ''
    hot_factor: float = 7.5
    burst: float = 1
    burst_span: tuple[float, float] = (6, 14)
    swing: float = 0
    period_s: float = 36
    returns: int = 1
    at_once: bool = False
    tail: float = 0
    tail_factor: float = 7
    slots: int = 4
    queue: int = 12
    kept_objects: int = 12
    warm_part: float = 0.3
    seconds: float = 20
    gateways: int = 4
    regions: tuple[str, ...] = ('west', 'north', 'south')
    max_shift: float = _MAX_SHIFT


@attrs.define
class Ends:
    """How requests ended, with what they earned of `worth`."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusals: int = 0
    earned: float = 0
    worth: float = 0

    def add(self, other: 'Ends') -> None:
        """Add the ends of other requests."""
        for field in attrs.fields(Ends):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    @property
    def served_part(self) -> float:
        """Part of the requests that got a response."""
        return (self.in_time + self.late) / max(self.asked, 1)

    @property
    def in_time_part(self) -> float:
        """Part of the requests that got a response in time."""
        return self.in_time / max(self.asked, 1)

    @property
    def earned_part(self) -> float:
        """Part of the worth that was earned."""
        return self.earned / max(self.worth, 1)


@attrs.define
class Totals:
    """The ends of requests by region, route and customer."""

    ends: dict[tuple[str, str, str], Ends] = attrs.field(factory=dict)

    def get(self, region: str, route: str, customer: str) -> Ends:
        """Return the ends to which a request is added."""
        return self.ends.setdefault((region, route, customer), Ends())

    def add(self, other: 'Totals') -> None:
        """Add the ends of another play."""
        for key, ends in other.ends.items():
            self.get(*key).add(ends)

    def route(self, name: str = '') -> Ends:
        """Return the sum of a route, or of all."""
        return self._sum(1, name)

    def region(self, name: str) -> Ends:
        """Return the sum of a region."""
        return self._sum(0, name)

    def customer(self, name: str) -> Ends:
        """Return the sum of a customer."""
        return self._sum(2, name)

    def _sum(self, place: int, name: str) -> Ends:
        total = Ends()
        for key, ends in self.ends.items():
            if not name or key[place] == name:
                total.add(ends)
        return total


def play(load: ContentionLoad, seed: int) -> Totals:
    """Play the load to its end."""
    return _Session(load, random.Random(seed)).run()


@attrs.define(eq=False)
class _Request:
    """One caller's request; `asked_at` is that of its first attempt."""

    region: str
    load: RouteLoad
    route: Route
    service: str
    key: str
    customer: Customer | None
    asked_at: float
    ends: Ends
    returns: int = 0


@attrs.define(eq=False)
class _Attempt:
    """A request on its way to an upstream and back, `way_s` each."""

    request: _Request
    balancer: Balancer
    sent: InFlightRequest
    sent_at: float
    way_s: float

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self.sent.choice.upstream.instance


class _Session:
    """One load that is played."""

    def __init__(self, load: ContentionLoad, rng: random.Random) -> None:
        self._load = load
        self._rng = rng
        self._clock = EventClock()
        self._totals = Totals()
        self._customers = {
            name: Customer(name, frozenset(), rank)
            for name, rank in load.customers.items()
        }
        self._routes = {one.name: _make_route(one) for one in load.routes}
        state = _make_state(load, self._routes.values(), self._clock)
        pattern = Pattern(
            (),
            slots=load.slots,
            queue=load.queue,
            kept_objects=load.kept_objects,
            warm_part=load.warm_part,
        )
        self._upstreams = {
            name: ModelUpstream(pattern, self._clock, rng)
            for name in state.by_id
        }
        self._gateways = {
            region: [
                self._make_gateway(region, number, state)
                for number in range(load.gateways)
            ]
            for region in load.regions
        }

    def run(self) -> Totals:
        """Play to the end; returns how the requests ended."""
        for region in self._load.regions:
            for one in self._load.routes:
                self._await_next(region, one)
        self._clock.after(_REPORT_S, self._report)
        self._clock.run()
        return self._totals

    def _make_gateway(
        self, region: str, number: int, state: FleetState
    ) -> Balancer:
        around = BalancerDependencies(
            self._clock,
            random.Random(self._rng.random()),
            f'{region}-g{number}',
            region,
            self._names,
            self._load.max_shift,
        )
        return Balancer(state, around)

    def _names(self, region: str) -> list[str]:
        return [
            f'{one}-g{number}'
            for one in self._load.regions
            if region in {'', one}
            for number in range(self._load.gateways)
        ]

    def _report(self) -> None:
        """Tell each gateway what the others have in flight."""
        everyone = list(itertools.chain(*self._gateways.values()))
        for number, one in enumerate(everyone):
            counts = one.candidate_builder.load.own_counts()
            for other in everyone:
                if other is not one:
                    other.candidate_builder.load.handle_peer_counts(
                        str(number), counts
                    )
        if self._clock.now() < self._load.seconds:
            self._clock.after(_REPORT_S, self._report)

    def _await_next(self, region: str, one: RouteLoad) -> None:
        """Have the next request of a region to a route arrive."""
        now = self._clock.now()
        place = self._load.regions.index(region) / len(self._load.regions)
        turn = now / self._load.period_s + place
        factor = 1 + self._load.swing * math.sin(_FULL_TURN * turn)
        start_s, end_s = self._load.burst_span
        if start_s <= now < end_s:
            factor *= self._load.burst
        if self._load.hot:
            extra = self._load.hot_factor - 1
            factor *= 1 + extra / len(self._customers)
        pause_s = self._rng.expovariate(one.per_s * factor)
        if now + pause_s < self._load.seconds:
            self._clock.after(pause_s, lambda: self._arrive(region, one))

    def _arrive(self, region: str, one: RouteLoad) -> None:
        self._await_next(region, one)
        customer = self._pick_customer()
        name = customer.name if customer else ''
        ends = self._totals.get(region, one.name, name)
        ends.asked += 1
        ends.worth += one.worth[0]
        number = self._rng.randrange(one.things)
        request = _Request(
            region,
            one,
            self._routes[one.name],
            self._rng.choice(one.services),
            f'{one.name}-{region}-{number}',
            customer,
            self._clock.now(),
            ends,
        )
        self._ask(request)

    def _pick_customer(self) -> Customer | None:
        if not self._customers:
            return None
        names = list(self._customers)
        weights = [
            self._load.hot_factor if name == self._load.hot else 1
            for name in names
        ]
        return self._customers[self._rng.choices(names, weights)[0]]

    def _ask(self, request: _Request) -> None:
        balancer = self._rng.choice(self._gateways[request.region])
        wanted = RoutingRequest(
            request.route,
            request.service,
            request.key,
            self._remaining_s(request),
            customer=request.customer,
        )
        try:
            choice = balancer.choose(wanted)
        except RefusedError as refusal:
            self._refuse(request, refusal.retry_after_s)
            return
        self._send(request, balancer, wanted, choice)

    def _send(
        self,
        request: _Request,
        balancer: Balancer,
        wanted: RoutingRequest,
        choice: Choice,
    ) -> None:
        region = choice.upstream.region
        away_s = 0 if region == request.region else _AWAY_S
        attempt = _Attempt(
            request,
            balancer,
            balancer.begin(wanted, choice),
            self._clock.now(),
            away_s,
        )
        self._clock.after(attempt.way_s, lambda: self._reach(attempt))

    def _reach(self, attempt: _Attempt) -> None:
        """Have a request arrive at its upstream."""
        request = attempt.request
        is_tail = self._rng.random() < self._load.tail
        factor = self._load.tail_factor if is_tail else 1
        job = Job(
            request.key,
            lambda: self._return(attempt),
            request.load.work_s * factor,
        )
        if not self._upstreams[attempt.upstream].take(job):
            attempt.balancer.end(
                attempt.sent, AttemptResult(AttemptOutcome.REFUSED, 0)
            )
            self._refuse(request, 0)

    def _return(self, attempt: _Attempt) -> None:
        """Send an answer back to its gateway."""
        self._clock.after(attempt.way_s, lambda: self._answer(attempt))

    def _answer(self, attempt: _Attempt) -> None:
        name = attempt.upstream
        took_s = self._clock.now() - attempt.sent_at
        load = attempt.balancer.candidate_builder.load
        load.handle_report(name, self._upstreams[name].busy)
        attempt.balancer.end(
            attempt.sent, AttemptResult(AttemptOutcome.ANSWERED, took_s)
        )
        self._finish(attempt.request)

    def _finish(self, request: _Request) -> None:
        took_s = self._clock.now() - request.asked_at
        in_time, late = request.load.worth
        if took_s <= request.load.target_s:
            request.ends.in_time += 1
            request.ends.earned += in_time
        elif took_s <= request.load.deadline_s:
            request.ends.late += 1
            request.ends.earned += late

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        request.ends.refusals += 1
        if request.returns >= self._load.returns:
            request.ends.refused += 1
            return
        if self._load.at_once:
            pause_s = _AT_ONCE_S
        else:
            heeded_s = _HEEDED_PART * self._remaining_s(request)
            pause_s = min(retry_after_s, heeded_s)
        again = attrs.evolve(request, returns=request.returns + 1)
        self._clock.after(pause_s, lambda: self._ask(again))

    def _remaining_s(self, request: _Request) -> float:
        gone_s = self._clock.now() - request.asked_at
        return request.load.deadline_s - gone_s


def _make_route(one: RouteLoad) -> Route:
    return Route(
        name=one.name,
        host='a.example',
        prefix=f'/{one.name}',
        kind=RouteKind.SAFE,
        timeout_s=one.deadline_s,
        target_latency_s=one.target_s,
        shares=tuple(ServiceShare(service) for service in one.services),
        rank=one.rank,
        is_sticky=True,
    )


def _make_state(
    load: ContentionLoad, routes: Iterable[Route], clock: EventClock
) -> FleetState:
    """Return what all gateways know of the upstreams from the start."""
    state = FleetState(clock)
    rules = MappingProxyType({name: ServiceRules() for name in load.upstreams})
    state.adopt(Configuration(1, tuple(routes), rules))
    state.replace_upstreams(_iter_upstreams(load), is_after_outage=False)
    state.replace_evacuated(())
    return state


def _iter_upstreams(load: ContentionLoad) -> Iterator[RegisteredUpstream]:
    for region in load.regions:
        for service, count in load.upstreams.items():
            for number in range(count):
                yield RegisteredUpstream(
                    instance=f'{region}-{service}-{number}',
                    service=service,
                    address='10.0.0.1:80',
                    availability_zone=f'{region}-a',
                    region=region,
                    slots=load.slots,
                )
