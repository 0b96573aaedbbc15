"""Tests of the slow start."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.steering.slow_start import SlowStart


def test_slots_grow_with_served_requests_and_start_again():
    """Guards against full load on an upstream that is still cold."""

    async def session():
        clock = VirtualClock()
        start = SlowStart(clock)
        assert start.limit('u', 8) == 2
        assert start.limit('small', 3) == 1
        for _ in range(24):
            start.record_served('u')
        assert start.limit('u', 8) == 8
        await clock.sleep(301)
        assert start.limit('u', 8) == 2
        start.record_served('u')
        start.restart('u')
        assert start.limit('u', 8) == 2

    run_virtual(session)


def test_a_bound_of_zero_stays_zero():
    """Guards against a slow start that moves load into a full region."""

    async def session():
        assert SlowStart(VirtualClock()).limit(('s', 'south'), 0) == 0

    run_virtual(session)
