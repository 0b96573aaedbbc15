"""Background tasks that a component owns."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.faults import Faults

__all__ = ('OwnedTasks', 'TaskFailed')

#: Seconds before a failed task starts again, doubled by each failure that
#: follows within the longest pause.
_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 30
#: Failures that `OwnedTasks.failures` keeps.
_MAX_FAILURES = 100

#: Called with the name of a task, what ended it, and the seconds until it
#: starts again.
TaskFailed = Callable[[str, Exception, float], None]


class OwnedTasks:
    """Tasks of one component, cancelled with it.

    Failures are counted as `task_failures`, and reported as faults of the
    owner.

    tasks = OwnedTasks('mesh', counters)
    tasks.spawn(self._dial_all())
    await tasks.stop()
    """

    def __init__(self, owner: str, counters: Counters) -> None:
        """Own no tasks yet; failures are counted under the owner's name."""
        self.failures: list[BaseException] = []
        self._owner = owner
        self._counters = counters
        self._faults = Faults(counters)
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine until it ends or the component stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def spawn_kept(
        self,
        name: str,
        start: Callable[[], Coroutine[Any, Any, None]],
        clock: Clock,
        on_failed: TaskFailed,
    ) -> asyncio.Task:
        """Run a coroutine until the component stops; restart it if it fails.

        `start` creates the coroutine anew. The gauge `tasks_failing` is 1
        for a task that waits to start again.
        """
        keeper = _Keeper(name, clock, self._counters, on_failed)
        return self.spawn(keeper.run(start))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if failure is None:
            return
        self.failures = [*self.failures, failure][-_MAX_FAILURES:]
        self._counters.add('task_failures', owner=self._owner)
        self._faults.report(self._owner, failure)


class _Keeper:
    """Starts one task again after each failure."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        counters: Counters,
        on_failed: TaskFailed,
    ) -> None:
        self._name = name
        self._clock = clock
        self._counters = counters
        self._on_failed = on_failed

    async def run(self, start: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run the task until it ends without a failure."""
        pause_s: float = _MIN_PAUSE_S
        while True:
            started_at = self._clock.now()
            failure = await _run_once(start())
            if failure is None:
                return
            if self._clock.now() - started_at > _MAX_PAUSE_S:
                pause_s = _MIN_PAUSE_S
            await self._pause(failure, pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)

    async def _pause(self, failure: Exception, pause_s: float) -> None:
        self._counters.add('task_restarts', task=self._name)
        self._on_failed(self._name, failure, pause_s)
        self._counters.set_gauge('tasks_failing', 1, task=self._name)
        await self._clock.sleep(pause_s)
        self._counters.set_gauge('tasks_failing', 0, task=self._name)


async def _run_once(work: Coroutine[Any, Any, None]) -> Exception | None:
    """Return what ended a coroutine; None if it ended by itself.

    Cancellation is passed on.
    """
    outcomes = await asyncio.gather(work, return_exceptions=True)
    failure = outcomes[0]
    if isinstance(failure, asyncio.CancelledError):
        # Only the task itself was cancelled, by something that it awaited.
        return RuntimeError('cancelled from within')
    if isinstance(failure, Exception):
        return failure
    return None
