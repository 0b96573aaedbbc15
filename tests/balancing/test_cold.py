"""Tests of the bound on requests to cold upstreams.

Load pattern: an upstream starts under traffic, and every gateway wants to
send it as much as it can.
"""

import pytest

from nutmegshore.balancing.cold import ColdBound

_RATE = 7.4
_STEP_S = 0.01
#: The users' bound on requests in one second.
_BOUND = 1.5 * _RATE + 5


def _count(times, start):
    """Requests in the second from a moment."""
    return sum(1 for at in times if start <= at < start + 1)


@pytest.mark.parametrize('count', [1, 2, 4, 9, 60])
def test_all_gateways_together_keep_the_rate(clock, count):
    """Guards against the sum of bursts at a cold upstream: the users' bound is
    1.5 times the rate and 5 in any second."""
    names = [f'g{number}' for number in range(count)]
    bounds = [ColdBound(clock, name) for name in names]
    senders = [one for one in bounds if one.is_sender('u1', names)]
    sent = []
    for _ in range(500):
        for bound in senders:
            while bound.has_room('u1', _RATE):
                bound.take('u1', _RATE)
                sent.append(clock.now())
        clock.advance(_STEP_S)
    within = (_count(sent, start) for start in sent)
    assert 0 < max(within) <= _BOUND


def test_gateways_that_do_not_see_each_other_keep_it_too(clock):
    """Guards against four lone gateways that each take the whole rate."""
    bounds = [ColdBound(clock, f'g{number}') for number in range(4)]
    sent = 0
    for _ in range(100):
        for bound in bounds:
            if bound.has_room('u1', _RATE):
                bound.take('u1', _RATE)
                sent += 1
        clock.advance(_STEP_S)
    assert sent <= _BOUND


def test_every_cold_upstream_has_a_sender(clock):
    """Guards against a new upstream that nobody may send to."""
    names = [f'g{number}' for number in range(30)]
    bounds = [ColdBound(clock, name) for name in names]
    for number in range(20):
        senders = sum(one.is_sender(f'u{number}', names) for one in bounds)
        assert senders == 4
