"""Tests of the selection of an upstream."""

import functools

import attrs
import pytest

from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    RoutingRequest,
)
from nutmegshore.errors import ErrorKind, RefusedError, StayReason
from nutmegshore.gateway.customer import Customer

_SERVED = AttemptResult(AttemptOutcome.ANSWERED, 0.1)


def _fleet(upstream):
    return [upstream(f'w{number}') for number in range(4)]


def test_requests_for_an_object_go_to_its_owner(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against objects that are cold at every upstream."""
    state = make_state(*_fleet(upstream))
    names = set()
    for local in ('g1', 'g2', 'g3'):
        balancer = make_balancer(state, local)
        for _ in range(5):
            choice = balancer.choose(make_request('7'))
            names.add(choice.upstream.instance)
            balancer.end(balancer.begin(make_request('7'), choice), _SERVED)
    assert len(names) == 1


def test_a_full_owner_shares_its_object(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against a queue at the owner of a popular object while other
    upstreams are idle.
    """
    balancer = make_balancer(make_state(*_fleet(upstream)))
    names = set()
    for _ in range(10):
        choice = balancer.choose(make_request('7'))
        names.add(choice.upstream.instance)
        balancer.begin(make_request('7'), choice)
    assert 1 < len(names) < 4


def test_what_cannot_be_served_in_time_is_refused_at_once(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against queues that make every answer late."""
    balancer = make_balancer(make_state(*_fleet(upstream)))
    refusal = None
    for number in range(100):
        request = make_request(str(number))
        try:
            balancer.begin(request, balancer.choose(request))
        except RefusedError as error:
            refusal = error
    assert refusal.kind is ErrorKind.OVERLOADED
    assert refusal.retry_after_s > 0
    busy = [
        balancer.candidate_builder.load.estimate(f'w{number}')
        for number in range(4)
    ]
    assert max(busy) <= 6


def test_an_evacuated_zone_is_excluded(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against requests to upstreams in an evacuated zone."""
    state = make_state(*_fleet(upstream), upstream('e1', region='east'))
    state.replace_evacuated({'west-a'})
    choice = make_balancer(state).choose(make_request())
    assert choice.upstream.instance == 'e1'
    assert choice.reason == 'away'


def test_home_regions_are_enforced(
    make_state, make_balancer, upstream, make_request, route
):
    """Guards against a request that leaves the regions allowed for it."""
    state = make_state(*_fleet(upstream), upstream('e1', region='east'))
    balancer = make_balancer(state)
    east = make_request(route=route(homes=frozenset(('east',))))
    assert balancer.choose(east).upstream.instance == 'e1'
    south = make_request(route=route(homes=frozenset(('south',))))
    with pytest.raises(RefusedError):
        balancer.choose(south)


def test_a_failing_upstream_gets_nothing_for_a_while(
    make_state,
    make_balancer,
    upstream,
    make_request,
    clock,
):
    """Guards against more requests to an upstream that cannot be reached."""
    balancer = make_balancer(make_state(*_fleet(upstream)))
    # A gateway that has just started sends nothing to what may be cold.
    clock.advance(4)
    request = make_request('7')
    owner = balancer.choose(request)
    gone = AttemptResult(AttemptOutcome.UNREACHABLE, 0.1)
    assert balancer.end(balancer.begin(request, owner), gone)
    assert balancer.choose(request).upstream != owner.upstream
    clock.advance(1)
    assert balancer.choose(request).upstream == owner.upstream


def test_a_silent_upstream_loses_its_objects(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against further requests to an upstream that let the previous one
    run into its deadline.
    """
    balancer = make_balancer(make_state(*_fleet(upstream)))
    request = make_request('7')
    owner = balancer.choose(request)
    silent = AttemptResult(AttemptOutcome.SILENT, 2)
    balancer.end(balancer.begin(request, owner), silent)
    assert balancer.choose(request).upstream != owner.upstream


def test_a_cold_upstream_gets_no_more_than_its_rate(
    make_state,
    make_balancer,
    upstream,
    make_request,
    clock,
):
    """Guards against a burst at an upstream that has just started."""
    state = make_state(upstream('w1', slots=50, cold_left_s=7))
    balancer = make_balancer(state)
    clock.advance(4)
    sent = 0
    for number in range(20):
        request = make_request(str(number))
        try:
            balancer.begin(request, balancer.choose(request))
        except RefusedError:
            continue
        sent += 1
    assert sent == 1


def test_nothing_is_kept_of_an_upstream_that_left(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against tables that grow with every upstream ever seen."""
    state = make_state(upstream('w1'))
    balancer = make_balancer(state)
    sent = balancer.begin(make_request(), balancer.choose(make_request()))
    state.drop('w1', is_after_outage=False)
    balancer.candidate_builder.forget('w1')
    balancer.end(sent, _SERVED)
    assert not balancer.candidate_builder.load.by_id
    assert not balancer.candidate_builder.latency.by_id


def test_an_urgent_route_may_queue_longer(
    make_state,
    make_balancer,
    upstream,
    make_request,
    route,
    configure,
):
    """Guards against less urgent requests that crowd out urgent ones at a
    service that both use.
    """
    urgent = route(name='urgent', rank=0)
    plain = route(name='plain', rank=2)
    state = make_state(
        upstream('w1'),
        configuration=configure(urgent, plain),
    )
    balancer = make_balancer(state)
    first = attrs.evolve(make_request('7'), route=urgent)
    for _ in range(4):
        balancer.begin(first, balancer.choose(first))
    with pytest.raises(RefusedError):
        balancer.choose(attrs.evolve(first, route=plain))
    assert balancer.choose(first).upstream.instance == 'w1'


def test_an_object_is_warm_from_the_start_of_its_work(
    make_state,
    make_balancer,
    upstream,
    make_request,
):
    """Guards against a second upstream for an object whose first request is
    still running; on leafscale-gj concurrent requests ran warm.
    """
    balancer = make_balancer(make_state(*_fleet(upstream)))
    first = balancer.choose(make_request('7'))
    balancer.begin(make_request('7'), first)
    name = first.upstream.instance
    assert balancer.candidate_builder.affinity.has_handled(name, '7')


@pytest.mark.parametrize(
    'outcome', [AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE]
)
def test_an_object_that_did_not_run_is_not_warm(
    make_state,
    make_balancer,
    upstream,
    make_request,
    outcome,
):
    """Guards against presuming an object warm at an upstream that never
    worked on it.
    """
    balancer = make_balancer(make_state(*_fleet(upstream)))
    choice = balancer.choose(make_request('7'))
    sent = balancer.begin(make_request('7'), choice)
    balancer.end(sent, AttemptResult(outcome, 0))
    name = choice.upstream.instance
    assert not balancer.candidate_builder.affinity.has_handled(name, '7')


def _refuse_for(seconds, balancer, request, clock):
    """Send requests that home refuses; returns the last refusal."""
    refused = None
    for _ in range(int(seconds / 0.1)):
        clock.advance(0.1)
        balancer.region_chooser.shift_bound.handle_region(100, 0)
        with pytest.raises(RefusedError) as refused:
            balancer.choose(request)
    return refused.value


def test_a_refusal_says_why_other_regions_did_not_help(
    make_state,
    make_balancer,
    upstream,
    make_request,
    clock,
):
    """Guards against the lines of vks-boots-grown quiet-1, which could not tell
    a full fleet from a bound on moves that held requests back.
    """
    fleet = [upstream('w1'), upstream('n1', region='north')]
    balancer = make_balancer(make_state(*fleet))
    balancer.region_chooser.shift_bound.set_max_shift(0)
    balancer.candidate_builder.load.get('w1').in_flight = 20
    for _ in range(20):
        balancer.region_chooser.remote_success.record(
            'orders', is_in_time=False
        )
    first = _refuse_for(0.1, balancer, make_request('7'), clock).remote
    assert first.stay_reason == StayReason.NOT_SELECTED.value
    last = _refuse_for(8, balancer, make_request('7'), clock).remote
    assert last.stay_reason == StayReason.BOUND.value
    assert last.remote_upstream == 'n1'
    assert not last.remote_wait_s
    assert not last.away_fraction


def _pause(balancer, upstreams, seconds):
    for upstream in upstreams:
        balancer.candidate_builder.pauses.begin(upstream, seconds)


def _refusal(balancer, request):
    with pytest.raises(RefusedError) as caught:
        balancer.choose(request)
    return caught.value


def test_a_refusal_in_a_pause_tells_its_earliest_end(
    make_state, make_balancer, upstream, make_request
):
    """Guards against a caller that is held until its deadline, or told to
    return before any upstream wants requests."""
    fleet = _fleet(upstream)
    balancer = make_balancer(make_state(*fleet))
    _pause(balancer, fleet[:1], 4)
    _pause(balancer, fleet[1:], 60)
    refusal = _refusal(balancer, make_request(remaining_s=1))
    assert refusal.kind is ErrorKind.UPSTREAM_PAUSED
    assert 4 < refusal.retry_after_s < 7
    assert set(refusal.paused) == {one.instance for one in fleet}


def test_home_that_pauses_moves_requests_within_the_bound(
    make_state, make_balancer, upstream, make_request
):
    """Guards against SHIFT: all requests of a region would move at once when
    its upstreams ask for a pause."""
    home = _fleet(upstream)
    away = [upstream(f'n{number}', region='north') for number in range(4)]
    balancer = make_balancer(make_state(*home, *away))
    _pause(balancer, home, 60)
    refusal = _refusal(balancer, make_request())
    assert refusal.kind is ErrorKind.UPSTREAM_PAUSED
    assert refusal.remote.stay_reason == StayReason.NOT_SELECTED.value


def test_pauses_of_all_regions_are_told(
    make_state, make_balancer, upstream, make_request
):
    """Guards against "no upstream" with a short Retry-After for a service
    whose upstreams, all in other regions, pause."""
    away = upstream('n1', region='north')
    balancer = make_balancer(make_state(away))
    _pause(balancer, [away], 30)
    refusal = _refusal(balancer, make_request())
    assert refusal.kind is ErrorKind.UPSTREAM_PAUSED
    assert refusal.retry_after_s > 30


def test_a_paused_home_does_not_open_other_regions(
    make_state, make_balancer, upstream, make_request, route
):
    """Guards against HOME: a request leaves its home region since the
    upstreams there pause."""
    home = _fleet(upstream)
    away = upstream('n1', region='north')
    balancer = make_balancer(make_state(*home, away))
    _pause(balancer, home, 60)
    bound = route(homes=frozenset(('west',)))
    for _ in range(20):
        refusal = _refusal(balancer, make_request(route=bound))
        assert refusal.kind is ErrorKind.UPSTREAM_PAUSED


@pytest.fixture
def leaving_home(make_state, make_balancer, upstream):
    """Balancer whose upstream at home is leaving, with one elsewhere."""
    state = make_state(upstream('w1'), upstream('n1', region='north'))
    state.departures.add(state.by_id['w1'])
    return make_balancer(state)


def test_requests_go_elsewhere_when_all_at_home_leave(
    leaving_home, make_request
):
    """Guards against requests that are refused, or wait for upstreams that take
    none, beside a region with room."""
    choice = leaving_home.choose(make_request('7'))
    assert choice.upstream.instance == 'n1'
    assert choice.reason == 'away'


def test_the_homes_of_the_route_and_of_the_customer_both_bind(route):
    """Guards against HOME: the homes of a customer were ignored."""
    customer = Customer('c1', frozenset(('k1',)), homes=frozenset(('east',)))
    both = frozenset(('east', 'west'))
    request = RoutingRequest(
        route(homes=both), 'orders', '7', 2, customer=customer
    )
    regions = [one for one in (*both, 'south') if request.may_run_in(one)]
    assert regions == ['east']
    assert request.has_homes


def test_homes_hold_when_all_upstreams_there_leave(
    leaving_home, make_request, route
):
    """Guards against HOME: a request that leaves its homes because all
    upstreams there do; it is refused at once, with a time to return."""
    request = attrs.evolve(
        make_request('7'), route=route(homes=frozenset(('west',)))
    )
    with pytest.raises(RefusedError) as refused:
        leaving_home.choose(request)
    assert refused.value.kind is ErrorKind.NO_UPSTREAM
    assert 0 < refused.value.retry_after_s < 1


def _note(done, name, *given):
    done.append(name)


def _fail(*given):
    raise ArithmeticError('of a test')


@pytest.mark.expects_faults
@pytest.mark.parametrize(
    'step', ['_record_contact', '_judge', '_record_outcome']
)
def test_a_fault_in_a_step_of_the_end_skips_no_other(
    make_state, make_balancer, upstream, make_request, monkeypatch, step
):
    """Guards against an upstream that stays in use, or cold, after a fault in
    what else is recorded about an attempt (issue 47)."""
    balancer = make_balancer(make_state(*_fleet(upstream)))
    choice = balancer.choose(make_request())
    sent = balancer.begin(make_request(), choice)
    done = []
    steps = {'_record_contact', '_judge', '_record_outcome', '_record_health'}
    for name in steps - {step}:
        record = functools.partial(_note, done, name)
        monkeypatch.setattr(balancer, name, record)
    monkeypatch.setattr(balancer, step, _fail)
    balancer.end(sent, _SERVED)
    assert set(done) == steps - {step}
    name = choice.upstream.instance
    assert not balancer.candidate_builder.load.get(name).in_flight


@pytest.mark.expects_faults
def test_a_fault_in_the_latency_keeps_the_health_of_an_upstream(
    make_state, make_balancer, upstream, make_request, monkeypatch
):
    """Guards against failures of an upstream that nothing counts, after a
    fault in its statistics (issue 47)."""
    balancer = make_balancer(make_state(*_fleet(upstream)))
    choice = balancer.choose(make_request())
    sent = balancer.begin(make_request(), choice)
    latency = balancer.candidate_builder.latency
    monkeypatch.setattr(latency, 'end', _fail)
    monkeypatch.setattr(latency, 'add_sample', _fail)
    balancer.end(sent, AttemptResult(AttemptOutcome.SILENT, 1))
    health = balancer.candidate_builder.health
    assert health.by_id[choice.upstream.instance].failures == 1
