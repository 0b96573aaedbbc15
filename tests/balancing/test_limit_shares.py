"""Tests of a gateway's share of an upstream's rate limit."""

import math

import pytest

from nutmegshore.balancing.limit_shares import LimitShares
from nutmegshore.balancing.limit_table import LimitTable
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.upstreams import UpstreamReport


@pytest.fixture
def make_shares(clock):
    """Function that builds the shares of one of some gateways."""

    def build(local, names, max_rate, limits=None):
        limits = limits or LimitTable(clock)
        limits.handle_report('u1', UpstreamReport(max_rate=max_rate))
        members = RecentMembers(clock, lambda region: names)
        return LimitShares(clock, local, limits, members)

    return build


@pytest.mark.parametrize('count', [1, 2, 9, 83, 550])
@pytest.mark.parametrize('max_rate', [0.2, 1, 30, 1e9])
def test_the_shares_add_up_to_the_limit(make_shares, upstream, count, max_rate):
    """Guards against shares that are rounded up, or down to nothing."""
    names = [f'g{number}' for number in range(count)]
    rates = [
        make_shares(name, names, max_rate).rate(upstream('u1'))
        for name in names
    ]
    assert sum(rates) == pytest.approx(0.9 * max_rate)


def test_an_upstream_without_a_limit_has_room(make_shares, upstream):
    """Guards against limits of one upstream that hold others back."""
    shares = make_shares('g1', ['g1'], max_rate=1)
    assert shares.has_room(upstream('u2'), rank=1)
    assert math.isinf(shares.rate(upstream('u2')))


def test_a_limit_of_nothing_is_asked_again(make_shares, upstream, clock):
    """Guards against a limit of 0 whose end nobody notices."""
    shares = make_shares('g1', ['g1'], max_rate=0)
    assert not shares.has_room(upstream('u1'), rank=0)
    clock.advance(12)
    assert shares.has_room(upstream('u1'), rank=0)


def test_a_share_waits_for_urgent_requests(make_shares, upstream, clock):
    """Guards against room that less urgent requests take from refused ones,
    and against room that nobody uses."""
    shares = make_shares('g1', ['g1'], max_rate=1)
    assert not shares.has_room(upstream('u1'), rank=0)
    clock.advance(1.2)
    assert shares.has_room(upstream('u1'), rank=1)
    shares.reservations.record_refusal('orders', rank=0)
    assert shares.has_room(upstream('u1'), rank=0)
    assert not shares.has_room(upstream('u1'), rank=1)
    assert shares.next_room_s([upstream('u1')], rank=1) == 2
    clock.advance(0.6)
    assert shares.has_room(upstream('u1'), rank=1)


def test_a_gateway_that_leaves_sends_nothing(make_shares, upstream):
    """Guards against a leaving gateway whose share others use already."""
    shares = make_shares('g9', ['g1', 'g2'], max_rate=8)
    assert not shares.rate(upstream('u1'))
    assert not shares.has_room(upstream('u1'), rank=0)
    assert math.isfinite(shares.next_room_s([upstream('u1')], rank=0))


@pytest.mark.parametrize('passed_s', [0.23, 0.235, 0.24, 0.245])
def test_a_share_may_end_between_two_readings(
    make_shares, upstream, clock, passed_s
):
    """Guards against LOST: the share was read twice for one refusal, and was 0
    the second time since the gateway had left; its caller was cut off."""
    names = ['g1']
    shares = make_shares('g1', names, max_rate=1)
    assert not shares.has_room(upstream('u1'), rank=0)
    names.clear()
    clock.advance(passed_s)
    clock.tick_s = 0.004
    assert math.isfinite(shares.next_room_s([upstream('u1')], rank=0))


def test_room_of_a_larger_limit_is_no_unused_room(make_shares, upstream, clock):
    """Guards against less urgent requests that go before urgent ones for
    minutes, since the tokens of the larger limit counted as time unused."""
    limits = LimitTable(clock)
    shares = make_shares('g1', ['g1'], 1000, limits)
    assert not shares.has_room(upstream('u1'), rank=0)
    clock.advance(1)
    shares.acquire(upstream('u1'))
    limits.handle_report('u1', UpstreamReport(max_rate=1))
    shares.reservations.record_refusal('orders', rank=0)
    clock.advance(0.1)
    assert not shares.has_room(upstream('u1'), rank=1)
    assert shares.has_room(upstream('u1'), rank=0)
    clock.advance(0.5)
    assert shares.has_room(upstream('u1'), rank=1)
