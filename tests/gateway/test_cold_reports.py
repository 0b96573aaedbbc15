"""Tests of the log of cold upstreams."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.cold_reports import ColdReports
from nutmegshore.gateway.state import FleetState


@pytest.fixture
def make_state(make_log, upstream):
    """Function that builds a state with one upstream and a log."""

    def build(clock):
        state = FleetState(clock)
        state.replace_upstreams([upstream('u1')], is_after_outage=False)
        state.replace_evacuated(())
        ColdReports(state, clock, make_log(clock), Counters()).follow()
        return state

    return build


def test_word_of_a_cold_upstream_tells_what_was_sent_before(
    make_state, lines, upstream
):
    """Guards against FAILBACK that cannot be explained: gateways with late
    word could not be told from senders that differ."""

    async def session():
        clock = VirtualClock()
        state = make_state(clock)
        state.cold_starts.sends.record('u1')
        await clock.sleep(0.9)
        state.cold_starts.sends.record('u1')
        await clock.sleep(0.2)
        state.put(upstream('u1', cold_left_s=2, born_ms=5))
        state.put(upstream('u1', cold_left_s=1.5, born_ms=5))

    run_virtual(session)
    (line, *others) = lines.named('upstream_cold_changed')
    assert not others
    assert line['upstream'] == 'u1'
    assert line['source'] == 'registration'
    assert line['cold_left_s'] == pytest.approx(2)
    assert line['born_ms'] == 5
    assert line['sent_lately'] == 1
