"""Tasks that a gateway needs as long as it runs."""

from collections.abc import Callable, Coroutine
from typing import Any

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.events import TaskRestarted
from nutmegshore.gateway.log import EventLog
from nutmegshore.peers.tasks import OwnedTasks

__all__ = ('KeptTasks',)

#: Characters of a failure that a log line quotes.
_MAX_REASON_CHARS = 200


class KeptTasks:
    """Tasks that start again if they fail.

    Each failure is reported as a fault of the task, and logged with the pause.

    tasks = KeptTasks(clock, counters, log)
    tasks.keep('follow servers/', follower.run)
    await tasks.stop()
    """

    def __init__(self, clock: Clock, counters: Counters, log: EventLog) -> None:
        """Start without tasks."""
        self._clock = clock
        self._log = log
        self._tasks = OwnedTasks('gateway', counters)

    def keep(
        self, name: str, start: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task until `stop`; `start` creates its coroutine."""
        self._tasks.spawn_kept(name, start, self._clock, self._log_failure)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        await self._tasks.stop()

    def _log_failure(
        self, name: str, failure: Exception, pause_s: float
    ) -> None:
        self._log.faults.report(name, failure)
        reason = repr(failure)[:_MAX_REASON_CHARS]
        self._log.write(TaskRestarted(name, reason, pause_s))
