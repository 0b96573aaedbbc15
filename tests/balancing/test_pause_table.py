"""Tests of the pauses that upstreams ask for."""

import random

import pytest

from nutmegshore.balancing.outcome import AttemptOutcome
from nutmegshore.balancing.pause_table import PauseTable

_GATEWAYS = 20
#: Seconds over which as many gateways begin again.
_SPREAD_S = 1


@pytest.fixture
def changes():
    """Changes that a table reports."""
    return []


@pytest.fixture
def make_table(clock, changes):
    """Function that builds the table of one of 20 gateways."""

    def build(seed=7):
        table = PauseTable(clock, random.Random(seed), lambda: _GATEWAYS)
        table.on_change = changes.append
        return table

    return build


@pytest.fixture
def pauses(make_table):
    """Table of pauses that records its changes."""
    return make_table()


@pytest.fixture
def one(upstream):
    """An upstream."""
    return upstream('u1')


def _steps(changes):
    return [change.step.value for change in changes]


def test_a_pause_holds_for_the_time_that_was_asked(pauses, clock, one):
    """Guards against BUDGET: a request before the end of a pause, and against
    a pause without an end."""
    pauses.begin(one, 2.5)
    clock.advance(2.49)
    assert pauses.is_paused(one)
    clock.advance(_SPREAD_S + 0.02)
    assert not pauses.is_paused(one)


def test_the_later_end_counts(pauses, clock, one):
    """Guards against a shorter pause that ends a longer one, and a longer one
    that is not heard: each answer that asks for one holds."""
    pauses.begin(one, 5)
    clock.advance(1)
    pauses.begin(one, 1)
    assert pauses.left_s(one) >= 4
    pauses.begin(one, 8)
    assert pauses.left_s(one) >= 8


def test_an_answer_to_an_earlier_request_ends_no_pause(pauses, clock, one):
    """Guards against a pause that a success ends which was sent before it."""
    assert pauses.start_trial(one) is None
    pauses.begin(one, 2)
    clock.advance(4)
    trial = pauses.start_trial(one)
    pauses.begin(one, 2)
    pauses.end_trial(trial, AttemptOutcome.ANSWERED)
    assert pauses.left_s(one) >= 2


def test_a_single_request_goes_first_after_a_pause(pauses, clock, one):
    """Guards against the full load on an upstream at the end of its pause."""
    pauses.begin(one, 2)
    clock.advance(4)
    trial = pauses.start_trial(one)
    assert pauses.is_paused(one)
    pauses.end_trial(trial, AttemptOutcome.ANSWERED)
    assert not pauses.is_paused(one)
    assert not pauses.is_on_trial(one)


@pytest.mark.parametrize(
    'outcome',
    [AttemptOutcome.ABANDONED, AttemptOutcome.REFUSED, AttemptOutcome.LOST],
)
def test_a_trial_without_an_answer_is_followed_by_another(
    pauses, clock, one, outcome
):
    """Guards against an upstream that stays shut since its trial failed, and
    against one that is opened by a failure."""
    pauses.begin(one, 2)
    clock.advance(4)
    pauses.end_trial(pauses.start_trial(one), outcome)
    assert not pauses.is_paused(one)
    assert pauses.is_on_trial(one)


def test_a_long_trial_opens_the_upstream_at_last(pauses, clock, one):
    """Guards against slow upstreams that no trial ever opens: each one that
    takes long makes room for the next."""
    pauses.begin(one, 2)
    clock.advance(4)
    first = pauses.start_trial(one)
    clock.advance(1.1)
    assert not pauses.is_paused(one)
    pauses.start_trial(one)
    assert pauses.is_paused(one)
    pauses.end_trial(first, AttemptOutcome.ANSWERED)
    assert not pauses.is_on_trial(one)


def test_a_pause_ends_with_its_upstream(pauses, one, upstream):
    """Guards against a new upstream that is not used, since the process that
    had its id before had asked for a pause."""
    pauses.begin(one, 1e9)
    pauses.forget('u1')
    assert not pauses.is_paused(upstream('u1', born_ms=7))
    assert not pauses.is_paused(upstream('u1', address='10.0.0.2:80'))


def test_a_pause_outlives_a_lapse_of_the_registration(
    pauses, clock, changes, one
):
    """Guards against BUDGET after an outage of the store: an entry that lapses
    and returns belongs to a process that has never ended."""
    pauses.begin(one, 90)
    pauses.forget('u1')
    clock.advance(30)
    assert pauses.left_s(one) >= 60
    assert _steps(changes) == ['begun', 'gone', 'begun']


def test_pauses_of_upstreams_that_are_gone_are_dropped(
    pauses, clock, one, upstream
):
    """Guards against records that pile up with each replaced upstream."""
    pauses.begin(one, 1e9)
    pauses.forget('u1')
    clock.advance(61)
    pauses.begin(upstream('u2'), 1)
    assert not pauses.is_on_trial(one)


def test_changes_are_reported_in_bounded_number(pauses, clock, changes, one):
    """Guards against a line for each of the requests in flight that are all
    answered with the same pause, and against a pause that nobody sees."""
    for _ in range(50):
        pauses.begin(one, 5)
        clock.advance(0.01)
    assert _steps(changes) == ['begun']
    clock.advance(1)
    pauses.begin(one, 5)
    assert _steps(changes) == ['begun', 'extended']
    clock.advance(7)
    pauses.end_trial(pauses.start_trial(one), AttemptOutcome.ANSWERED)
    assert _steps(changes) == ['begun', 'extended', 'ended']
    assert changes[0].left_s == 5
    assert changes[0].service == 'orders'


def test_gateways_begin_one_after_the_other(make_table, one):
    """Guards against all gateways that were told the same time, returning at
    the same moment, and against one that returns early."""
    ends = []
    for seed in range(_GATEWAYS):
        table = make_table(seed)
        table.begin(one, 2)
        ends.append(table.left_s(one))
    assert min(ends) >= 2
    assert max(ends) <= 2 + _SPREAD_S
    tenths = [int(10 * end) for end in ends]
    assert max(tenths.count(tenth) for tenth in tenths) < _GATEWAYS / 3
