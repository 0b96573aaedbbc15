"""A search by machine for decisions that fail.

Any operation may follow any other: requests, answers, reports, limits, pauses,
upstreams and gateways that come and go, new configurations, and a clock that
moves between any two of its readings.
"""

import itertools
import math
import random
from types import MappingProxyType

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Balancer,
    BalancerDependencies,
    RoutingRequest,
)
from nutmegshore.balancing.service_traffic import ServiceTraffic
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

_LOCAL = 'g1'
_SERVICES = ('orders', 'users')
_ANYWHERE = frozenset()
_HOMES = (_ANYWHERE, _ANYWHERE, frozenset(('west',)), frozenset(('east',)))
_INSTANCES = ('w1', 'w2', 'e1', 'e2', 'n1')
#: Numbers of a peer's report are smaller in magnitude.
_MAX_TOLD = 2**64
#: Failures of one upstream that follow each other.
_MAX_FAILURES = 1200
#: Orders of events that are tried, and the events of each.
_EXAMPLES = 600
_STEPS = 40

_instances = st.sampled_from(_INSTANCES)
#: Mostly the one that has upstreams from the start.
_services = st.sampled_from(('orders', 'orders', *_SERVICES))
_seconds = st.one_of(
    st.sampled_from((0, 1e-9, 0.001, 0.03, 0.25, 0.3, 0.5, 2, 4, 31, 1e5)),
    st.floats(0, 0.1),
    st.floats(0, 4),
)
#: Seconds by which each reading of the clock advances it.
_ticks = st.sampled_from((0, 1e-7, 0.001, 0.05, 0.26))
#: Targets that the operator's configuration may name.
_targets = st.sampled_from((0.4, 0.4, 0.1, 0.001, 1e-300, 0, 0, 2**53))
_rates = st.one_of(
    st.sampled_from((0, 1e-15, 0.2, 1, 30, 1e6, 1e15)),
    st.floats(0, 50),
)
_told_numbers = st.one_of(
    st.integers(0, 2),
    st.integers(0, 50),
    st.integers(1 - _MAX_TOLD, _MAX_TOLD - 1),
)
_told_counts = st.dictionaries(_instances, _told_numbers, max_size=3)
_traffic = st.dictionaries(
    _services,
    st.builds(ServiceTraffic, *itertools.repeat(_told_numbers, 7)),
    max_size=2,
)
_gateway_lists = st.lists(
    st.sampled_from((('g1',), (), ('g1', 'g2'), ('g2', 'g3', 'g4'))),
    min_size=1,
    max_size=3,
)


def _route(number: int, rank: int, target_s: float, **rules) -> Route:
    return Route(
        name=f'r{number}',
        host='a.example',
        prefix=f'/{number}/',
        kind=RouteKind.SAFE,
        timeout_s=9,
        target_latency_s=target_s,
        shares=tuple(map(ServiceShare, _SERVICES)),
        max_attempts=3,
        rank=rank,
        **rules,
    )


_routes = st.builds(
    _route,
    st.integers(1, 3),
    st.sampled_from((0, 1, 5, 2**53)),
    _targets,
    is_sticky=st.booleans(),
    homes=st.sampled_from(_HOMES),
)
_rules = st.builds(
    ServiceRules,
    cold_s=st.sampled_from((0, 1, 3, 2**53)),
    cold_per_s=st.sampled_from((0, 1e-300, 0.001, 2, 8, 2**53)),
)


def _upstream(instance: str, **fields) -> RegisteredUpstream:
    region = {'w': 'west', 'e': 'east', 'n': 'north'}[instance[0]]
    return RegisteredUpstream(
        instance=instance,
        address='10.0.0.1:80',
        availability_zone=f'{region}-a',
        region=region,
        **fields,
    )


_upstreams = st.builds(
    _upstream,
    _instances,
    service=_services,
    slots=st.sampled_from((1, 1, 2, 3, 10**6)),
    cold_left_s=st.sampled_from((0, 0, 0.1, 3, 86_400)),
    born_ms=st.sampled_from((1, 2)),
)


class _MovingClock:
    """A clock that advances by `tick_s` with each reading."""

    def __init__(self) -> None:
        self.seconds = float(100)
        self.tick_s = 0

    def now(self) -> float:
        self.seconds += self.tick_s
        return self.seconds


class _Gateway:
    """A balancer with the state, the clock and the gateways around it."""

    def __init__(self) -> None:
        self.clock = _MovingClock()
        self.state = FleetState(self.clock)
        self.version = 0
        #: All routes so far: requests outlive the routes that they came by.
        self.routes: list[Route] = []
        self.configure([_route(1, 0, 0.4)], {})
        self.gateways = itertools.cycle([['g1', 'g2', 'g3']])
        self.balancer = Balancer(
            self.state,
            BalancerDependencies(
                clock=self.clock,
                rng=random.Random(7),
                local=_LOCAL,
                region='west',
                gateways=lambda region: next(self.gateways),
                max_shift=0.15,
            ),
        )
        self.parts = self.balancer.candidate_builder
        self.sent = []
        for instance in ('w1', 'w2', 'e1'):
            self.state.put(_upstream(instance, service='orders', slots=1))

    def configure(self, routes, rules) -> None:
        self.version += 1
        self.routes.extend(routes)
        self.state.adopt(
            Configuration(self.version, tuple(routes), MappingProxyType(rules))
        )

    def send(self, request: RoutingRequest) -> None:
        """Choose an upstream and send, or check the refusal."""
        try:
            choice = self.balancer.choose(request)
        except RefusedError as refusal:
            _check_refusal(refusal)
            return
        _check_candidate(choice.candidate)
        self.sent.append(self.balancer.begin(request, choice))

    def end(self, result: AttemptResult, *, is_latest: bool) -> None:
        """End the first or the latest attempt that is in flight."""
        if self.sent:
            sent = self.sent.pop(-1 if is_latest else 0)
            assert _is_time(self.balancer.end(sent, result))


def _is_time(seconds: float) -> bool:
    return math.isfinite(seconds) and seconds >= 0


def _check_candidate(candidate) -> None:
    assert _is_time(candidate.delay_s)
    assert _is_time(candidate.wait_s)
    assert _is_time(candidate.work_s)
    assert _is_time(candidate.risk_s)
    assert _is_time(candidate.cost_s)


def _check_refusal(refusal: RefusedError) -> None:
    assert math.isfinite(refusal.retry_after_s)
    # Answers name it in milliseconds.
    assert round(refusal.retry_after_s, 3) > 0


#: Requests whose route the machine replaces by a configured one.
_requests = st.builds(
    RoutingRequest,
    st.just(_route(1, 0, 0.4)),
    _services,
    st.sampled_from(('', '1', '2', '3')),
    st.sampled_from((2, 9, 0.05, 0)),
    st.one_of(
        st.sampled_from((frozenset(), frozenset(('w1',)))),
        st.frozensets(_instances, max_size=3),
    ),
)
#: None for an attempt that goes on.
_ends = st.one_of(
    st.none(),
    st.builds(
        AttemptResult,
        st.sampled_from((AttemptOutcome.ANSWERED, *AttemptOutcome)),
        _seconds,
    ),
)


def _leave(gateway, upstream):
    """The entry of an upstream vanishes."""
    gateway.state.drop(upstream.instance, is_after_outage=False)
    gateway.parts.forget(upstream.instance)


def _miss(gateway, upstream):
    """The entry of an upstream is missing after an outage."""
    gateway.state.drop(upstream.instance, is_after_outage=True)


def _expire(gateway, upstream):
    """The missing entries count as gone."""
    for instance in gateway.state.expire_missing():
        gateway.parts.forget(instance)


def _say_leaving(gateway, upstream):
    """An upstream says in an answer that it is leaving."""
    gateway.state.departures.add(upstream)


def _move(gateway, upstream):
    """Another upstream answers at the address of one."""
    gateway.state.mark_moved(upstream)


_LOSSES = (_leave, _miss, _expire, _say_leaving, _move)


class _AnyFleet(RuleBasedStateMachine):
    """A gateway around which anything may change."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway = _Gateway()
        self.parts = self.gateway.parts
        self.state = self.gateway.state

    @rule(upstream=_upstreams)
    def join(self, upstream):
        """An upstream registers, changes its entry, or starts again."""
        known = self.state.by_id.get(upstream.instance, upstream)
        if known.identity != upstream.identity:
            self.parts.forget(upstream.instance)
        self.state.put(upstream)

    @rule(instance=_instances, lose=st.sampled_from(_LOSSES))
    def lose(self, instance, lose):
        """An upstream is gone, or takes no more requests."""
        upstream = self.state.by_id.get(instance)
        if upstream is not None:
            lose(self.gateway, upstream)

    @rule(instance=_instances, left_s=_seconds, ago_s=_seconds)
    def hear_health(self, instance, left_s, ago_s):
        """The health page of an upstream tells how long it stays cold."""
        upstream = self.state.by_id.get(instance)
        if upstream is not None:
            asked_at = self.gateway.clock.now() - ago_s
            self.state.cold_starts.handle_health(upstream, left_s, asked_at)

    @rule(zones=st.sampled_from(((), (), ('west-a',), ('east-a', 'north-a'))))
    def evacuate(self, zones):
        """The evacuated zones change."""
        self.state.replace_evacuated(zones)

    @rule(lists=_gateway_lists)
    def see_gateways(self, lists):
        """Gateways come and go, also from one reading to the next."""
        self.gateway.gateways = itertools.cycle(lists)

    @rule(seconds=_seconds, tick_s=_ticks)
    def pass_time(self, seconds, tick_s):
        """Time passes, now and with each reading of the clock."""
        self.gateway.clock.seconds += seconds
        self.gateway.clock.tick_s = tick_s

    @rule(
        routes=st.lists(_routes, max_size=3, unique_by=lambda one: one.name),
        rules=st.dictionaries(_services, _rules),
        is_retained=st.booleans(),
    )
    def configure(self, routes, rules, is_retained):
        """The configuration changes."""
        self.gateway.configure(routes, rules)
        if is_retained:
            self.parts.latency.retain({route.name for route in routes})


class _AnyOrder(_AnyFleet):
    """A gateway to which anything may happen next."""

    @rule(
        request=_requests,
        place=st.integers(0, 9),
        ends=st.lists(_ends, min_size=1, max_size=8),
    )
    def ask(self, request, place, ends):
        """Requests arrive; some are answered, and some remain in flight."""
        routes = self.gateway.routes
        route = routes[-1 - place % len(routes)]
        for one in ends:
            self.gateway.send(attrs.evolve(request, route=route))
            if one is not None:
                self.gateway.end(one, is_latest=True)

    @rule(ends=st.lists(_ends, max_size=8))
    def end(self, ends):
        """Attempts end that have run for some time."""
        for one in filter(None, ends):
            self.gateway.end(one, is_latest=False)

    @rule(
        instance=_instances,
        count=st.sampled_from((1, 2, _MAX_FAILURES)),
        outcome=st.sampled_from(AttemptOutcome),
    )
    def fail_often(self, instance, count, outcome):
        """All attempts at an upstream end in the same way."""
        for _ in range(count):
            self.parts.health.record(instance, outcome)

    @rule(
        instance=_instances,
        busy=st.sampled_from((None, 0, 1, 2, 10**9)),
        max_rate=st.one_of(st.none(), _rates, _rates),
        is_refusal=st.booleans(),
    )
    def report(self, instance, busy, max_rate, is_refusal):
        """An answer reports the state of its upstream."""
        if busy is not None:
            self.parts.load.handle_report(instance, busy)
        self.parts.limits.handle_report(
            instance, UpstreamReport(max_rate=max_rate, is_refusal=is_refusal)
        )

    @rule(
        instance=_instances,
        max_rate=st.one_of(st.none(), _rates, _rates, _told_numbers),
        age_s=st.one_of(_seconds, _told_numbers),
    )
    def hear_limit(self, instance, max_rate, age_s):
        """Another gateway tells the limit of an upstream."""
        self.parts.limits.handle_peer(instance, max_rate, age_s)

    @rule(
        instance=_instances,
        seconds=st.one_of(
            st.sampled_from((1e-9, 0.3, 2.5, 999_999_999)), st.floats(0, 9)
        ),
    )
    def pause(self, instance, seconds):
        """An upstream asks for a pause."""
        upstream = self.state.by_id.get(instance)
        if upstream is not None and seconds:
            self.parts.pauses.begin(upstream, seconds)

    @rule(counts=_told_counts, others=_told_counts)
    def hear_counts(self, counts, others):
        """Other gateways tell their requests in flight."""
        load = self.parts.load
        load.handle_peer_counts('g2', counts)
        load.handle_all(others, load.own_counts())
        load.forget_peers()

    @rule(home=_told_numbers, away=_told_numbers, by_service=_traffic)
    def hear_region(self, home, away, by_service):
        """An aggregator tells the traffic of the region."""
        self.gateway.balancer.region_chooser.handle_region(
            home, away, by_service
        )


def test_only_refusals_leave_a_decision():
    """Guards against LOST: a fault of our own in a decision, in the order of
    events that no test had thought of, costs a caller its answer."""
    run_state_machine_as_test(
        _AnyOrder,
        settings=hypothesis.settings(
            max_examples=_EXAMPLES, stateful_step_count=_STEPS
        ),
    )


def test_a_refusal_of_a_route_without_a_target_says_when_to_return(
    make_state, make_balancer, upstream, make_request, route
):
    """Guards against LOST: work is guessed from the route's target, which the
    operator may set to 0, and a refusal that divided by it cut its caller
    off."""
    balancer = make_balancer(make_state(upstream('w1', slots=1)))
    request = make_request(route=route(target_latency_s=0))
    sent = balancer.begin(request, balancer.choose(request))
    with pytest.raises(RefusedError) as refused:
        sent = balancer.begin(request, balancer.choose(request))
        balancer.end(sent, AttemptResult(AttemptOutcome.SILENT, 0.5))
        balancer.choose(request)
    _check_refusal(refused.value)
