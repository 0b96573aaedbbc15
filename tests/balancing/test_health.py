"""Tests of the health of upstreams."""

from nutmegshore.balancing.health import HealthTable
from nutmegshore.balancing.outcome import AttemptOutcome


def test_an_unreachable_upstream_is_avoided_for_longer_each_time(clock):
    """Guards against a dead upstream that costs each request a timeout."""
    table = HealthTable(clock)
    first = table.record('u1', AttemptOutcome.UNREACHABLE)
    assert table.is_avoided('u1')
    clock.advance(first + 0.01)
    assert not table.is_avoided('u1')
    assert table.record('u1', AttemptOutcome.UNREACHABLE) > first


def test_single_lost_answers_take_no_upstream_out(clock):
    """Guards against losing capacity to 1 lost answer in 40."""
    table = HealthTable(clock)
    for _ in range(10):
        assert not table.record('u1', AttemptOutcome.LOST)
        table.record('u1', AttemptOutcome.ANSWERED)
    assert not table.is_avoided('u1')


def test_an_upstream_that_loses_all_answers_is_avoided(clock):
    """Guards against more requests to an upstream that never answers."""
    table = HealthTable(clock)
    for _ in range(3):
        table.record('u1', AttemptOutcome.SILENT)
    assert table.is_avoided('u1')


def test_refusals_raise_the_cost_and_are_forgotten(clock):
    """Guards against a partly failing upstream that keeps its share of
    requests, and against one that never regains it.
    """
    table = HealthTable(clock)
    for _ in range(10):
        table.record('u1', AttemptOutcome.REFUSED)
    assert table.refusal_share('u1') > 3 / 4
    clock.advance(30)
    assert not round(table.refusal_share('u1'), 2)


def test_an_upstream_may_fail_without_end(clock):
    """Guards against LOST: after 1,025 failures the time overflowed, and each
    caller whose attempt failed there was cut off."""
    table = HealthTable(clock)
    for _ in range(2000):
        longest_s = table.record('u1', AttemptOutcome.UNREACHABLE)
        clock.advance(longest_s)
    assert longest_s == 4
