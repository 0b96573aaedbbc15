"""A model of a fleet under load in which upstreams turn cold.

Gateways, upstreams and callers live on one clock, without a network. Callers
press: they want more than the upstreams can serve. The model records every
request that reaches an upstream while it is cold.
"""

import collections
import functools
import random
from collections.abc import Iterator
from types import MappingProxyType

import attrs

from bench.cold_gateway import ModelGateway, ReportExchange
from bench.cold_record import ColdResult
from bench.cold_upstreams import (
    SLOTS,
    ColdStart,
    Evacuation,
    ModelUpstream,
    Reception,
    UpstreamFleet,
)
from bench.cold_views import Boot, ColdViews
from bench.event_clock import EventClock
from bench.limit_views import Separation
from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Balancer,
    BalancerDependencies,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.errors import RefusedError
from nutmegshore.gateway.cold_gossip import ColdGossip
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import (
    Configuration,
    Route,
    RouteKind,
    ServiceRules,
    ServiceShare,
)
from nutmegshore.gateway.state import FleetState

__all__ = ('ColdFleet', 'play_cold', 'upstream_name')

_SERVICE = 'orders'
_KEYS_PER_REGION = 200
_DEADLINE_S = 4
_TARGET_S = 0.6
_MAX_ATTEMPTS = 3
_MAX_SHIFT = 0.15
_OBSERVE_INTERVAL_S = 0.25
#: Part of the time that is left within which callers heed Retry-After.
_HEEDED_FRACTION = 1 / 3
_MIN_PAUSE_S = 0.05
#: Seconds until callers that reach no gateway try again.
_NO_GATEWAY_PAUSE_S = 0.2
#: Seconds until a gateway learns that an attempt got no answer.
_FAILURE_S = 0.01

_ROUTE = Route(
    name='r0',
    host='a.example',
    prefix='/0/',
    kind=RouteKind.SAFE,
    timeout_s=_DEADLINE_S,
    target_latency_s=_TARGET_S,
    shares=(ServiceShare(_SERVICE),),
    is_sticky=True,
)
_OUTCOMES = MappingProxyType(
    {
        Reception.SHED: AttemptOutcome.REFUSED,
        Reception.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    }
)


@attrs.frozen
class ColdFleet:
    """A fleet and its load.

    `gateways` and `upstreams` are numbers in each region, `per_s` the requests
    a second in each. Regions in `without_gateways` have none; their callers
    use those of the others. Regions in `without_upstreams` have none.
    """

    starts: tuple[ColdStart, ...]
    gateways: int = 28
    upstreams: int = 6
    per_s: float = 60
    seconds: float = 14
    cold_s: float = 3
    cold_per_s: float = 3.5
    regions: tuple[str, ...] = ('west', 'north', 'south')
    without_gateways: frozenset[str] = frozenset()
    without_upstreams: frozenset[str] = frozenset()
    separations: tuple[Separation, ...] = ()
    boots: tuple[Boot, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()

    def iter_gateways(self) -> Iterator[tuple[str, str]]:
        """Yield each gateway with its region."""
        for region in self.regions:
            count = 0 if region in self.without_gateways else self.gateways
            for number in range(count):
                yield f'{region}-g{number}', region

    def iter_upstreams(self) -> Iterator[RegisteredUpstream]:
        """Yield the registration of each upstream."""
        for region in self.regions:
            count = 0 if region in self.without_upstreams else self.upstreams
            for number in range(count):
                yield RegisteredUpstream(
                    instance=upstream_name(region, number),
                    service=_SERVICE,
                    address='10.0.0.1:80',
                    availability_zone=f'{region}-a',
                    region=region,
                    slots=SLOTS,
                    born_ms=1,
                )

    def configuration(self) -> Configuration:
        """Return the operator's configuration."""
        rules = ServiceRules(cold_s=self.cold_s, cold_per_s=self.cold_per_s)
        services = MappingProxyType({_SERVICE: rules})
        return Configuration(1, (_ROUTE,), services)


def upstream_name(region: str, number: int) -> str:
    """Return the name of an upstream of a region."""
    return f'{region}-u{number}'


def play_cold(fleet: ColdFleet, seed: int) -> ColdResult:
    """Play the load to its end."""
    return _Session(fleet, random.Random(seed)).run()


@attrs.frozen
class _Request:
    home: str
    key: str
    asked_at: float
    tried: frozenset[str] = frozenset()
    refusals: int = 0


@attrs.define(eq=False)
class _Attempt:
    request: _Request
    gateway: ModelGateway
    sent: InFlightRequest

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self.sent.choice.upstream.instance

    def next_request(self) -> _Request:
        """Return the request as it is sent once more."""
        tried = self.request.tried | {self.upstream}
        return attrs.evolve(self.request, tried=tried)


class _Session:
    """One load that is played."""

    def __init__(self, fleet: ColdFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._clock = EventClock()
        self._upstreams = UpstreamFleet(
            fleet.iter_upstreams(), fleet.cold_s, self._clock
        )
        self._served: collections.Counter = collections.Counter()
        self._views = ColdViews(
            dict(fleet.iter_gateways()),
            fleet.separations,
            fleet.boots,
            self._clock,
            rng,
        )
        self._gateways = {
            name: self._make_gateway(name, region)
            for name, region in fleet.iter_gateways()
        }
        self._reports = ReportExchange(self._gateways, self._views, self._clock)

    def run(self) -> ColdResult:
        """Play to the end."""
        for region in self._fleet.regions:
            self._await_next(region)
        for boot in self._fleet.boots:
            self._clock.after(
                boot.at_s, functools.partial(self._boot, boot.gateway)
            )
        for start in self._fleet.starts:
            self._clock.after(
                start.at_s - start.down_s,
                functools.partial(self._upstreams.stop, start),
            )
            self._clock.after(start.at_s, functools.partial(self._start, start))
        for evacuation in self._fleet.evacuations:
            self._clock.after(
                evacuation.at_s, functools.partial(self._evacuate, evacuation)
            )
        self._observe()
        self._clock.run()
        return ColdResult(self._upstreams.arrivals, self._served)

    def _make_gateway(self, name: str, region: str) -> ModelGateway:
        dependencies = BalancerDependencies(
            self._clock,
            random.Random(self._rng.random()),
            name,
            region,
            functools.partial(self._views.names, name),
            _MAX_SHIFT,
        )
        state = FleetState(self._clock)
        state.adopt(self._fleet.configuration())
        state.replace_evacuated(())
        state.replace_upstreams(
            self._upstreams.iter_entries(), is_after_outage=False
        )
        balancer = Balancer(state, dependencies)
        lateness = self._rng.random()
        gossip = ColdGossip(state, self._clock)
        return ModelGateway(name, region, state, balancer, lateness, gossip)

    def _boot(self, name: str) -> None:
        """Replace a gateway by one that knows no other gateways."""
        region = self._gateways[name].region
        self._gateways[name] = self._make_gateway(name, region)

    def _observe(self) -> None:
        """Have each gateway note which others it sees, as it does live."""
        for gateway in self._gateways.values():
            members = gateway.balancer.candidate_builder.members
            for region in ('', *self._fleet.regions):
                members.observe(region)
            gateway.check_health(self._upstreams, self._clock.now())
        self._reports.exchange()
        if self._clock.now() < self._fleet.seconds:
            self._clock.after(_OBSERVE_INTERVAL_S, self._observe)

    def _evacuate(self, evacuation: Evacuation) -> None:
        for gateway in self._gateways.values():
            gateway.state.replace_evacuated((evacuation.zone,))
            late_s = gateway.lateness * evacuation.late_s
            self._clock.after(
                evacuation.for_s + late_s,
                functools.partial(gateway.state.replace_evacuated, ()),
            )

    def _start(self, start: ColdStart) -> None:
        before = self._upstreams.get(start.upstream).entry
        upstream = self._upstreams.start(start)
        for gateway in self._gateways.values():
            self._clock.after(
                start.word_s + gateway.lateness * start.late_s,
                functools.partial(self._tell, gateway.name, before, upstream),
            )

    def _tell(
        self, name: str, before: RegisteredUpstream, upstream: ModelUpstream
    ) -> None:
        """Have a gateway read the registration of a cold upstream."""
        gateway = self._gateways[name]
        entry = self._upstreams.entry_of(upstream)
        if before.identity != entry.identity:
            gateway.balancer.candidate_builder.forget(before.instance)
        if before.instance != entry.instance:
            gateway.state.drop(before.instance, is_after_outage=False)
        gateway.state.put(entry)

    def _await_next(self, region: str) -> None:
        pause_s = self._rng.expovariate(self._fleet.per_s)
        if self._clock.now() + pause_s < self._fleet.seconds:
            self._clock.after(pause_s, lambda: self._arrive(region))

    def _arrive(self, region: str) -> None:
        self._await_next(region)
        number = self._rng.randrange(_KEYS_PER_REGION)
        self._ask(_Request(region, f'{region}-{number}', self._clock.now()))

    def _ask(self, request: _Request) -> None:
        names = self._views.open_names(request.home)
        if not names:
            self._refuse(request, _NO_GATEWAY_PAUSE_S)
            return
        gateway = self._gateways[self._rng.choice(names)]
        wanted = RoutingRequest(
            _ROUTE,
            _SERVICE,
            request.key,
            self._remaining_s(request),
            request.tried,
        )
        try:
            choice = gateway.balancer.choose(wanted)
        except RefusedError as refusal:
            self._refuse(request, refusal.retry_after_s)
            return
        is_known = gateway.state.is_cold(choice.upstream.instance)
        sent = gateway.balancer.begin(wanted, choice)
        self._send(_Attempt(request, gateway, sent), is_known=is_known)

    def _send(self, attempt: _Attempt, *, is_known: bool) -> None:
        reception = self._upstreams.receive(
            attempt.upstream, attempt.gateway.name, is_known=is_known
        )
        if reception is not Reception.ACCEPTED:
            outcome = _OUTCOMES[reception]
            self._clock.after(_FAILURE_S, lambda: self._fail(attempt, outcome))
            return
        upstream = self._upstreams.get(attempt.upstream)
        took_s = self._upstreams.work_s(upstream)
        self._clock.after(
            took_s, lambda: self._answer(attempt, upstream, took_s)
        )

    def _answer(
        self, attempt: _Attempt, upstream: ModelUpstream, took_s: float
    ) -> None:
        if not self._upstreams.is_alive(upstream):
            self._fail(attempt, AttemptOutcome.LOST)
            return
        upstream.in_flight -= 1
        load = attempt.gateway.balancer.candidate_builder.load
        load.handle_report(attempt.upstream, upstream.in_flight)
        answered = AttemptResult(AttemptOutcome.ANSWERED, took_s)
        attempt.gateway.balancer.end(attempt.sent, answered)
        self._served[attempt.request.home] += 1

    def _fail(self, attempt: _Attempt, outcome: AttemptOutcome) -> None:
        """End an attempt without an answer, and send the request again."""
        failed = AttemptResult(outcome, _FAILURE_S)
        attempt.gateway.balancer.end(attempt.sent, failed)
        again = attempt.next_request()
        if len(again.tried) < _MAX_ATTEMPTS:
            self._ask(again)

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        remaining_s = self._remaining_s(request)
        if request.refusals >= _MAX_ATTEMPTS or remaining_s <= 0:
            return
        again = attrs.evolve(request, refusals=request.refusals + 1)
        pause_s = min(retry_after_s, _HEEDED_FRACTION * remaining_s)
        self._clock.after(max(pause_s, _MIN_PAUSE_S), lambda: self._ask(again))

    def _remaining_s(self, request: _Request) -> float:
        return request.asked_at + _DEADLINE_S - self._clock.now()
