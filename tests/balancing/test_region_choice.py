"""Tests of the choice between the upstreams at home and elsewhere."""

import pytest

from nutmegshore.balancing import AttemptOutcome, AttemptResult
from nutmegshore.errors import RefusedError
from nutmegshore.balancing.remote_success import RemoteSuccess


@pytest.mark.parametrize('target_s', [0, 5e-324, 1e-9])
def test_a_route_may_have_no_time_for_waiting(
    make_state, make_balancer, upstream, make_request, route, target_s
):
    """Guards against LOST: each request of a route with a target of 0 was cut
    off, once its service had upstreams in two regions."""
    state = make_state(upstream('w1'), upstream('n1', region='north'))
    balancer = make_balancer(state)
    request = make_request(route=route(target_latency_s=target_s))
    choice = balancer.choose(request)
    assert choice.upstream.instance == 'w1'


def _fill(balancer, request, count):
    """Send requests of an object until home admits no more."""
    sent = []
    for _ in range(count):
        try:
            choice = balancer.choose(request)
        except RefusedError:
            return sent
        sent.append(balancer.begin(request, choice))
    return sent


def test_what_home_refuses_goes_where_it_is_in_time(
    make_state, make_balancer, upstream, make_request
):
    """Guards against refusals in one region while another has room: only whole
    objects moved, and slowly."""
    state = make_state(upstream('w1'), upstream('n1', region='north'))
    balancer = make_balancer(state)
    sent = _fill(balancer, make_request('7'), 6)
    regions = {one.choice.upstream.region for one in sent}
    assert regions == {'west', 'north'}


def test_late_answers_from_elsewhere_keep_requests_at_home(
    make_state, make_balancer, upstream, make_request, clock
):
    """Guards against moves that only make other regions forget the objects of
    their own callers."""
    state = make_state(upstream('w1'), upstream('n1', region='north'))
    balancer = make_balancer(state)
    request = make_request('7')
    late = AttemptResult(AttemptOutcome.ANSWERED, 1)
    for _ in range(8):
        for one in _fill(balancer, request, 6):
            balancer.end(one, late)
        clock.advance(4)
    success = balancer.region_chooser.remote_success
    assert not success.is_likely('orders')


def test_other_regions_get_another_chance(clock):
    """Guards against a region that is never used again after a bad moment."""
    success = RemoteSuccess(clock)
    for _ in range(20):
        success.record('orders', is_in_time=False)
    assert not success.is_likely('orders')
    assert success.is_likely('payments')
    clock.advance(6)
    assert success.is_likely('orders')
