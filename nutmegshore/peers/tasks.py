"""Background tasks that a component owns."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from nutmegshore.counters import Counters
from nutmegshore.logs import get_logger

__all__ = ('OwnedTasks',)


class OwnedTasks:
    """Tasks of one component, cancelled with it; failures are logged.

    tasks = OwnedTasks('mesh', counters)
    tasks.spawn(self._dial_all())
    await tasks.stop()
    """

    def __init__(self, owner: str, counters: Counters) -> None:
        """Own no tasks yet; failures are counted under the owner's name."""
        self.failures: list[BaseException] = []
        self._owner = owner
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine until it ends or the component stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

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
        self.failures.append(failure)
        self._counters.add('task_failures', owner=self._owner)
        get_logger(self._owner).error('task failed', failure=repr(failure))
