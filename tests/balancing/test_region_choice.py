"""Tests of the choice between the upstreams at home and elsewhere."""

import pytest


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
