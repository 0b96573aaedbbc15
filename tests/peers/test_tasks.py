"""Tests of tasks that a component owns."""

import asyncio

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.peers.tasks import OwnedTasks

_HOUR_S = 3600


class Failing:
    """Work that fails some times and then goes on."""

    def __init__(self, clock, failures):
        self.starts = 0
        self._clock = clock
        self._failures = failures

    async def run(self):
        self.starts += 1
        if self.starts <= self._failures:
            raise RecursionError('odd')
        await self._clock.sleep(_HOUR_S)


@pytest.mark.parametrize('failures', [1, 3])
def test_a_task_that_fails_starts_again(failures):
    """Guards against LOST: an exception that nobody had foreseen ended a task
    until the process was restarted."""

    async def session():
        clock = VirtualClock()
        counters = Counters()
        tasks = OwnedTasks('gateway', counters)
        work = Failing(clock, failures)
        seen = []
        tasks.spawn_kept(
            'follow', work.run, clock, lambda *failed: seen.append(failed)
        )
        await clock.sleep(0.1)
        assert counters.gauges['tasks_failing', (('task', 'follow'),)] == 1
        await clock.sleep(10)
        assert work.starts == failures + 1
        assert counters.gauges['tasks_failing', (('task', 'follow'),)] == 0
        assert counters.total('task_restarts', task='follow') == failures
        assert {name for name, _, _ in seen} == {'follow'}
        assert len(seen) == failures
        await tasks.stop()

    run_virtual(session)


def test_a_task_that_always_fails_is_paused():
    """Guards against a failing task that uses the whole processor."""

    async def session():
        clock = VirtualClock()
        tasks = OwnedTasks('gateway', Counters())
        work = Failing(clock, _HOUR_S)
        tasks.spawn_kept('follow', work.run, clock, lambda *failed: None)
        await clock.sleep(_HOUR_S)
        assert 100 < work.starts < 150
        await tasks.stop()
        stopped_at = work.starts
        await clock.sleep(_HOUR_S)
        assert work.starts == stopped_at

    run_virtual(session)


@pytest.mark.expects_faults
def test_a_task_that_ends_by_a_fault_is_logged_with_its_place(log_lines):
    """Guards against a fault without a stack, which nobody can mend."""

    async def session():
        clock = VirtualClock()
        counters = Counters()
        tasks = OwnedTasks('mesh', counters)
        tasks.spawn(Failing(clock, 1).run())
        await clock.sleep(1)
        assert counters.total('task_failures', owner='mesh') == 1
        assert counters.total('internal_faults', part='mesh') == 1
        other = tasks.spawn(clock.sleep(1))
        await other

    run_virtual(session)
    line = log_lines[0]
    assert (line['log_level'], line['event']) == ('error', 'internal_fault')
    assert line['part'] == 'mesh'
    assert line['error'] == "RecursionError('odd')"
    assert 'in run' in line['stack']


@pytest.mark.expects_faults
def test_a_long_stack_is_logged_by_its_end(log_lines):
    """Guards against log lines without a bound."""

    def recur(depth):
        if not depth:
            raise ArithmeticError('x' * _HOUR_S)
        return recur(depth - 1) + recur(depth - 2)

    async def fail():
        recur(100)

    async def session():
        tasks = OwnedTasks('mesh', Counters())
        tasks.spawn(fail())
        await VirtualClock().sleep(1)

    run_virtual(session)
    assert len(log_lines[0]['stack']) < _HOUR_S
    assert len(log_lines[0]['error']) < _HOUR_S


def test_a_kept_task_that_is_cancelled_from_within_starts_again():
    """Guards against a task that is gone until the process is restarted,
    without a line, after it awaited something that was cancelled."""
    clock = VirtualClock()
    starts = []
    failures = []

    async def work():
        starts.append(clock.now())
        if len(starts) == 1:
            raise asyncio.CancelledError
        await clock.sleep(_HOUR_S)

    async def session():
        tasks = OwnedTasks('mesh', Counters())
        tasks.spawn_kept(
            'work', work, clock, lambda *failed: failures.append(failed)
        )
        await clock.sleep(1)
        await tasks.stop()

    run_virtual(session)
    assert len(starts) == 2
    assert failures
