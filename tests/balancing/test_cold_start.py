"""Tests of the rate limit for cold upstreams.

Load pattern: an upstream starts under traffic, and every gateway sends it
as much as the limit allows.
"""

import pytest

from nutmegshore.balancing import AttemptOutcome, AttemptResult
from nutmegshore.balancing.cold_start import ColdStartLimiter

_RATE = 7.4
_STEP_S = 0.01
_ANSWERED = AttemptResult(AttemptOutcome.ANSWERED, 0.1)
#: The promised limit on requests in one second.
_BOUND = 1.5 * _RATE + 5


def _count(times, start):
    """Count the requests in the second after `start`."""
    return sum(1 for at in times if start <= at < start + 1)


@pytest.mark.parametrize('count', [1, 2, 4, 9, 60])
def test_all_gateways_together_keep_the_rate(clock, count):
    """Guards against bursts that add up at a cold upstream: the promised limit
    is 1.5 times the rate plus 5 in any second.
    """
    names = [f'g{number}' for number in range(count)]
    bounds = [ColdStartLimiter(clock, name) for name in names]
    senders = [one for one in bounds if one.is_sender('u1', names)]
    sent = []
    for _ in range(500):
        for bound in senders:
            while bound.has_token('u1', _RATE):
                bound.acquire('u1', _RATE)
                sent.append(clock.now())
        clock.advance(_STEP_S)
    within = (_count(sent, start) for start in sent)
    assert 0 < max(within) <= _BOUND


def test_isolated_gateways_keep_the_rate(clock):
    """Guards against four isolated gateways that each use the whole rate."""
    bounds = [ColdStartLimiter(clock, f'g{number}') for number in range(4)]
    sent = 0
    for _ in range(100):
        for bound in bounds:
            if bound.has_token('u1', _RATE):
                bound.acquire('u1', _RATE)
                sent += 1
        clock.advance(_STEP_S)
    assert sent <= _BOUND


def test_every_cold_upstream_has_a_sender(clock):
    """Guards against a new upstream that no gateway may send to."""
    names = [f'g{number}' for number in range(30)]
    bounds = [ColdStartLimiter(clock, name) for name in names]
    for number in range(20):
        senders = sum(one.is_sender(f'u{number}', names) for one in bounds)
        assert senders == 4


def test_halves_of_a_region_keep_the_rate(
    make_state, make_balancer, make_request, upstream, clock, configure
):
    """Guards against the fault of LIMIT at a cold upstream: each half of the
    gateways in a partition used the whole rate, with all of its bursts."""
    names = [f'g{number}' for number in range(12)]
    cold = upstream('u1', cold_left_s=60)
    state = make_state(cold, configuration=configure(cold_per_s=5))
    views = {name: list(names) for name in names}
    balancers = [
        make_balancer(state, name, gateways=views[name]) for name in names
    ]
    for balancer in balancers:
        balancer.candidate_builder.members.observe('west')
    for half in (names[:6], names[6:]):
        for name in half:
            views[name].clear()
            views[name].extend(half)
    sent = []
    for _ in range(300):
        clock.advance(_STEP_S)
        for balancer in balancers:
            if balancer.candidate_builder.candidates(make_request()).home:
                request = make_request()
                attempt = balancer.begin(request, balancer.choose(request))
                balancer.end(attempt, _ANSWERED)
                sent.append(clock.now())
    assert max(_count(sent, start) for start in sent) <= 1.5 * 5 + 5


def test_the_first_request_at_a_cold_upstream_is_marked(
    make_state, make_balancer, make_request, upstream, clock
):
    """Guards against LOST without a trace: no line or metric told which
    gateways had sent to a cold upstream, and whether they knew."""
    balancer = make_balancer(make_state(upstream('u1', cold_left_s=60)))
    sent = []
    for pause_s in (4, 2, 7):
        clock.advance(pause_s)
        request = make_request()
        sent.append(balancer.begin(request, balancer.choose(request)))
    assert all(one.is_cold for one in sent)
    assert [one.is_first_cold for one in sent] == [True, False, True]


def test_a_gateway_that_has_just_started_leaves_cold_upstreams_to_others(
    make_state, make_balancer, make_request, upstream, clock
):
    """Guards against LOST: each gateway that had just started, and saw only
    itself, took itself for a sender to every cold upstream."""
    state = make_state(upstream('u1', cold_left_s=60))
    balancer = make_balancer(state, gateways=('g1',))
    assert not balancer.candidate_builder.candidates(make_request()).home
    clock.advance(4)
    assert balancer.candidate_builder.candidates(make_request()).home
