"""The attempts at one request that run at the same time."""

import asyncio
import math
from collections.abc import Iterable
from types import TracebackType

import attrs

from nutmegshore.errors import Outcome, RequestError
from nutmegshore.gateway.attempt import Attempt

__all__ = ('EndedAttempt', 'RunningAttempts')


@attrs.frozen
class EndedAttempt:
    """An attempt and what ended it; None after a whole answer."""

    attempt: Attempt
    failure: BaseException | None

    @property
    def is_not_run(self) -> bool:
        """Whether its upstream certainly did not run the request."""
        if not isinstance(self.failure, RequestError):
            return False
        return self.failure.answer.outcome is Outcome.NOT_RUN


class RunningAttempts:
    """Runs each attempt in a task of its own, and cancels those left over.

    async with RunningAttempts() as running:
        running.start(attempt)
        ended = await running.wait(0.7)
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self._by_task: dict[asyncio.Task, Attempt] = {}
        self._cancelled: list[asyncio.Task] = []

    async def __aenter__(self) -> 'RunningAttempts':
        """Enter a block at whose end no attempt runs."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        stack: TracebackType | None,
    ) -> None:
        """Cancel the attempts that run, and wait for their end."""
        self._cancel(tuple(self._by_task))
        if self._cancelled:
            await asyncio.wait(self._cancelled)

    def __bool__(self) -> bool:
        """Whether there are attempts that `wait` has not returned yet."""
        return bool(self._by_task)

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """The attempts that run, in the order of their starts."""
        return tuple(self._by_task.values())

    @property
    def due_s(self) -> float:
        """Seconds until any attempt is overdue, or is so again."""
        return min(attempt.timer.due_s for attempt in self.attempts)

    def start(self, attempt: Attempt) -> None:
        """Run an attempt."""
        attempt.begin()
        task = asyncio.ensure_future(attempt.run())
        task.add_done_callback(lambda _: attempt.close())
        self._by_task[task] = attempt

    async def wait(self, within_s: float) -> EndedAttempt | None:
        """Wait for the end of an attempt; None if the time passes first.

        Of several that have ended, one with an answer comes first. The result
        is also None if those that ended were cancelled by `keep_only`.
        """
        await asyncio.wait(
            tuple(self._by_task),
            timeout=None if within_s == math.inf else within_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [task for task in self._by_task if task.done()]
        if not done:
            return None
        return self._take(min(done, key=_has_failed))

    def take_ended(self) -> list[EndedAttempt]:
        """Return the attempts that have ended, without waiting."""
        done = [task for task in self._by_task if task.done()]
        return [self._take(task) for task in done]

    def keep_only(self, kept: Attempt) -> None:
        """Cancel all other attempts: this one gives the answer."""
        beaten = [
            task
            for task, attempt in self._by_task.items()
            if attempt is not kept
        ]
        for task in beaten:
            self._by_task[task].is_beaten = True
        self._cancel(beaten)

    def _take(self, task: asyncio.Task) -> EndedAttempt:
        return EndedAttempt(self._by_task.pop(task), _failure_of(task))

    def _cancel(self, tasks: Iterable[asyncio.Task]) -> None:
        for task in tasks:
            task.cancel()
            self._by_task.pop(task).answer.close()
            self._cancelled.append(task)


def _has_failed(task: asyncio.Task) -> bool:
    return _failure_of(task) is not None


def _failure_of(task: asyncio.Task) -> BaseException | None:
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()
