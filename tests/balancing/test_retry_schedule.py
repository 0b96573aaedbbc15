"""Tests of the retry times of refused callers.

Load pattern: a burst of requests that finds full queues and is refused
within a few milliseconds.
"""

import itertools

import pytest

from nutmegshore.balancing.retry_schedule import RetrySchedule


def test_a_refused_burst_does_not_return_as_a_burst(clock):
    """Guards against callers that come back together and are refused again."""
    table = RetrySchedule(clock)
    turns = [table.reserve('orders', 0.1, 0.02) for _ in range(50)]
    assert turns[0] == pytest.approx(0.1)
    gaps = [later - one for one, later in itertools.pairwise(turns)]
    assert min(gaps) == pytest.approx(0.02)


def test_past_reservations_cause_no_wait(clock):
    """Guards against a wait caused by requests refused minutes ago."""
    table = RetrySchedule(clock)
    for _ in range(50):
        table.reserve('orders', 0.1, 0.02)
    clock.advance(60)
    assert table.reserve('orders', 0.1, 0.02) == pytest.approx(0.1)


def test_retry_times_are_limited(clock):
    """Guards against retry times beyond the callers' deadlines, which a service
    that was overloaded for a minute would otherwise give.
    """
    table = RetrySchedule(clock)
    turns = [table.reserve('orders', 0.1, 0.5) for _ in range(100)]
    assert max(turns) <= 2


def test_services_have_separate_schedules(clock):
    """Guards against callers that wait for the queue of another service."""
    table = RetrySchedule(clock)
    for _ in range(50):
        table.reserve('orders', 0.1, 0.02)
    assert table.reserve('scans', 0.1, 0.02) == pytest.approx(0.1)


@pytest.mark.parametrize('gap_s', [0, 1e-15, 1e-6])
@pytest.mark.parametrize('earliest_s', [-1, 0, 1e-9])
def test_no_caller_returns_at_once(clock, earliest_s, gap_s):
    """Guards against `Retry-After: 0.0`: callers refused because of a large
    rate limit, or as room appeared, came back at once."""
    table = RetrySchedule(clock)
    table.reserve('orders', 0.1, 0.02)
    clock.advance(60)
    first = pytest.approx(0.05)
    assert table.reserve('orders', earliest_s, gap_s) == first
    assert table.reserve('scans', earliest_s, gap_s) == first


def test_urgent_callers_return_first(clock):
    """Guards against urgent callers that return after all less urgent ones
    that were refused before them."""
    table = RetrySchedule(clock)
    late = [table.reserve('orders', 0.1, 0.1, (0, 2)) for _ in range(5)]
    urgent = table.reserve('orders', 0.1, 0.1, (0, 0))
    assert urgent == pytest.approx(0.1)
    assert table.reserve('orders', 0.1, 0.1, (0, 2)) > max(late)
    assert table.reserve('orders', 0.1, 0.1, (1, 0)) > max(late)
