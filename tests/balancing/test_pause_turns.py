"""Tests of the turns of callers that are refused during pauses."""

import random

import pytest

from nutmegshore.balancing.pause_turns import PauseTurns


@pytest.fixture
def turns(clock):
    """Turns of the callers of one gateway."""
    return PauseTurns(clock, random.Random(7))


def test_callers_return_one_after_the_other(turns, clock):
    """Guards against callers that all return at the end of a pause, and
    against one that returns before it."""
    first = turns.reserve('orders', opens_in_s=3, gap_s=0.25)
    clock.advance(1)
    second = turns.reserve('orders', opens_in_s=2, gap_s=0.25)
    assert (first, second) == (3.25, 2.5)


def test_more_callers_than_turns_are_spread(turns):
    """Guards against a crowd that shares the last turn, and against a caller
    that is told to come back long after the pause."""
    waits = [turns.reserve('orders', 60, gap_s=0.1) for _ in range(400)]
    assert min(waits) > 60
    assert int(max(waits)) <= 62
    tenths = [int(10 * wait) for wait in waits]
    assert max(tenths.count(tenth) for tenth in tenths) < 45


def test_a_later_end_moves_the_turns(turns):
    """Guards against a caller that returns before the end of a pause that was
    extended meanwhile."""
    turns.reserve('orders', opens_in_s=1, gap_s=0.1)
    assert turns.reserve('orders', opens_in_s=5, gap_s=0.1) > 5
