"""Tests of the tasks that a gateway needs as long as it runs."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.kept_tasks import KeptTasks

_HOUR_S = 3600


@pytest.mark.expects_faults
def test_a_task_that_fails_is_reported_and_starts_again(lines, make_log):
    """Guards against a gateway that works on without one of its parts, and
    tells of it without the place of the fault."""
    starts = []

    async def session():
        clock = VirtualClock()
        counters = Counters()
        tasks = KeptTasks(clock, counters, make_log(clock, counters))

        async def run():
            starts.append(clock.now())
            if len(starts) == 1:
                raise ArithmeticError('of a test')
            await clock.sleep(_HOUR_S)

        tasks.keep('follow servers/', run)
        await clock.sleep(10)
        await tasks.stop()
        return counters

    counters = run_virtual(session)
    assert len(starts) == 2
    assert counters.total('internal_faults', part='follow servers/') == 1
    assert counters.total('task_restarts', task='follow servers/') == 1
    fault, restart = lines.lines
    assert (fault['event'], fault['level']) == ('internal_fault', 'error')
    assert fault['error'] == "ArithmeticError('of a test')"
    assert 'in run' in fault['stack']
    assert restart['event'] == 'task_restarted'
    assert restart['task'] == 'follow servers/'
