"""Tests of the time that messages take, on virtual time."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.transit_times import LEAST_TRANSIT_S, TransitTimes

#: Difference of the sender's clock from the receiver's, in seconds.
_OFFSET_S = 5000


@pytest.fixture
def run_transit():
    """Run a session with a clock and the transit times at one gateway."""

    def run(session):
        async def running():
            clock = VirtualClock()
            await session(clock, TransitTimes(clock))

        run_virtual(running)

    return run


def test_what_a_message_waits_beyond_the_fastest_is_measured(run_transit):
    async def session(clock, transit_times):
        for waited_s in (0.2, 0.05, 0.05, 1.3):
            await clock.sleep(1)
            sent_at = clock.now() - waited_s + _OFFSET_S
            took_s = transit_times.record('g2', sent_at)
        assert took_s == pytest.approx(1.25 + LEAST_TRANSIT_S)
        assert transit_times.waits() == {'g2': pytest.approx(1.25)}

    run_transit(session)


def test_a_path_that_became_longer_is_learned(run_transit):
    async def session(clock, transit_times):
        transit_times.record('g2', clock.now() + _OFFSET_S)
        for _ in range(80):
            await clock.sleep(0.5)
            sent_at = clock.now() - 0.3 + _OFFSET_S
            took_s = transit_times.record('g2', sent_at)
        assert took_s == pytest.approx(LEAST_TRANSIT_S)

    run_transit(session)


def test_the_new_clock_of_a_restarted_machine_is_no_delay(run_transit):
    async def session(clock, transit_times):
        transit_times.record('g2', clock.now() + _OFFSET_S)
        await clock.sleep(1)
        assert transit_times.record('g2', 1) == LEAST_TRANSIT_S

    run_transit(session)


def test_a_peer_that_does_not_tell_counts_as_fast(run_transit):
    async def session(clock, transit_times):
        assert transit_times.record('g2', 0) == LEAST_TRANSIT_S
        assert not transit_times.waits()

    run_transit(session)
