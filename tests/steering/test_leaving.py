"""Tests of leaving upstreams and the pace of drains."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.steering.leaving import (
    DrainPacer,
    DrainState,
    LeavingUpstreams,
)
from nutmegshore.steering.plan import Origin


def test_a_departure_is_announced_three_times():
    """Guards against work sent to a leaving upstream after a lost message."""
    leaving = LeavingUpstreams()
    assert leaving.record('u', is_local=True)
    assert not leaving.record('u', is_local=True)
    announced = [list(leaving.pop_unannounced()) for _ in range(4)]
    assert announced == [['u'], ['u'], ['u'], []]
    assert 'u' in leaving


def test_a_departure_found_by_a_peer_is_not_announced():
    """Guards against entries that repeat announcements endlessly."""
    leaving = LeavingUpstreams()
    leaving.record('u', is_local=False)
    assert not leaving.pop_unannounced()
    leaving.clear('u')
    assert 'u' not in leaving


def test_a_drain_runs_in_spaced_steps_and_reports_why_it_holds():
    """Guards against a drain that moves a whole region at once."""

    async def session():
        clock = VirtualClock()
        names = tuple(f'u{index}' for index in range(8))
        pacer = DrainPacer(Origin('drain', 'd', 1, 'ann'), names, clock)
        pacer.hold('s', 6, 2)
        held = pacer.progress()
        assert held.state is DrainState.HELD
        assert (held.needed_slots, held.free_slots) == (6, 2)
        assert 's' in held.reason
        pacer.apply_step(pacer.next_names())
        assert pacer.progress().moved == 2
        assert pacer.next_names() == ()
        for _ in range(3):
            await clock.sleep(1.1)
            pacer.apply_step(pacer.next_names())
        assert pacer.progress().state is DrainState.DONE
        assert pacer.remaining == ()

    run_virtual(session)
