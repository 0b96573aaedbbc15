"""Tests of the turns of refused callers.

Load pattern: a burst of requests that finds full queues, all refused within
some milliseconds.
"""

import itertools

import pytest

from nutmegshore.balancing.returns import ReturnTable


def test_a_refused_burst_does_not_return_as_a_burst(clock):
    """Guards against callers that come back together and are refused again."""
    table = ReturnTable(clock)
    turns = [table.book('orders', 0.1, 0.02) for _ in range(50)]
    assert turns[0] == pytest.approx(0.1)
    gaps = [later - one for one, later in itertools.pairwise(turns)]
    assert min(gaps) == pytest.approx(0.02)


def test_turns_that_have_passed_are_not_waited_for(clock):
    """Guards against a wait for the sake of callers of minutes ago."""
    table = ReturnTable(clock)
    for _ in range(50):
        table.book('orders', 0.1, 0.02)
    clock.advance(60)
    assert table.book('orders', 0.1, 0.02) == pytest.approx(0.1)


def test_no_caller_is_sent_away_for_long(clock):
    """Guards against turns beyond the callers' deadlines, which a service
    that was overloaded for a minute would give otherwise."""
    table = ReturnTable(clock)
    turns = [table.book('orders', 0.1, 0.5) for _ in range(100)]
    assert max(turns) <= 2


def test_services_have_turns_of_their_own(clock):
    """Guards against callers that wait for the queue of another service."""
    table = ReturnTable(clock)
    for _ in range(50):
        table.book('orders', 0.1, 0.02)
    assert table.book('scans', 0.1, 0.02) == pytest.approx(0.1)
