"""Tests of how a stop divides its grace period."""

import pytest

from nutmegshore.gateway.caller_drain import DrainTimes


@pytest.mark.parametrize('grace_s', [0.3, 1, 2, 2.4, 6, 30])
def test_work_is_ended_in_the_last_sixth_of_the_grace_period(grace_s):
    """Guards against LOST: with a grace period under 2.4 s requests were ended
    earlier, although their upstreams were at work (issue 47)."""
    times = DrainTimes.of_grace(grace_s)
    assert times.work_s > grace_s * 0.8333
    assert 0 < times.last_answers_s < grace_s - times.work_s


def test_a_long_grace_period_is_divided_as_before():
    """Guards against a stop that leaves less time for the last errors."""
    times = DrainTimes.of_grace(6)
    assert times.work_s == pytest.approx(5.6)
    assert times.last_answers_s == pytest.approx(0.2)
