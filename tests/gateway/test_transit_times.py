"""Tests of the time that messages take, on virtual time."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.transit_times import LEAST_TRANSIT_S, TransitTimes

#: Difference of the sender's clock from the receiver's, in seconds.
_OFFSET_S = 5000
#: Echoes that cannot be: of a message from later than now (10 s) or from before
#: the start, held for longer than there was, or for less than no time.
_LATER, _EARLIER = [60, 0], [-5, 0]
_FALSE_ECHOES = (_LATER, _EARLIER, [9, 3], [9, -1])


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


def test_an_echo_bounds_a_delay_of_all_messages(run_transit):
    """Guards against keys that are believed too long: a link delays each
    message equally, which no comparison of messages shows."""

    async def session(clock, transit_times):
        assert transit_times.sent_after('g2', 1) == float('-inf')
        for _ in range(20):
            # This gateway's message took 0.5 s and was held for 1 s.
            echo = [clock.now(), 1]
            sent_at = clock.now() + 1.5 + _OFFSET_S
            await clock.sleep(5.5)
            found = transit_times.learn('g2', sent_at, echo)
            assert clock.now() - found == pytest.approx(4.5)

    run_transit(session)


def test_a_message_from_before_a_pause_stays_old(run_transit):
    """Guards against keys that are believed too long: a message that is read
    after a pause of 12 s counted as one of a machine with a new clock."""

    async def session(clock, transit_times):
        echo = [clock.now(), 0]
        await clock.sleep(0.1)
        transit_times.learn('g2', clock.now() + _OFFSET_S, echo)
        sent_at = clock.now() + _OFFSET_S
        await clock.sleep(12)
        found = transit_times.learn('g2', sent_at, None)
        assert clock.now() - found == pytest.approx(12.1)

    run_transit(session)


def test_an_echo_of_another_clock_bounds_nothing(run_transit):
    """Guards against a bound by an echo of a message from before a restart."""

    async def session(clock, transit_times):
        await clock.sleep(10)
        for echo in _FALSE_ECHOES:
            found = transit_times.learn('g2', _OFFSET_S, echo)
            assert found == float('-inf')

    run_transit(session)


def test_a_clock_that_jumps_ahead_is_bounded_anew(run_transit):
    """Guards against a bound that a peer on another machine has not met."""

    async def session(clock, transit_times):
        echo = [clock.now(), 0]
        await clock.sleep(0.1)
        transit_times.learn('g2', clock.now() + _OFFSET_S, echo)
        ahead = clock.now() + _OFFSET_S + 30
        assert transit_times.learn('g2', ahead, None) == float('-inf')
        echo = [clock.now(), 0]
        await clock.sleep(0.1)
        found = transit_times.learn('g2', ahead + 0.1, echo)
        assert found == pytest.approx(clock.now() - 0.1)

    run_transit(session)


def test_each_peer_gets_an_echo_in_its_turn(run_transit):
    """Guards against summaries that grow with the fleet, and against peers
    that never get an echo."""

    async def session(clock, transit_times):
        names = [f'g{number}' for number in range(40)]
        for name in names:
            transit_times.record(name, 100)
        echoed = set()
        for _ in range(5):
            await clock.sleep(0.5)
            echoes = transit_times.echoes((*names, 'g99'), clock.now())
            assert len(echoes) == 8
            echoed.update(echoes)
        assert echoed == set(names)

    run_transit(session)
