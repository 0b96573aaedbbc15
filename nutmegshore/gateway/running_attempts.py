"""The attempts at one request that run at the same time."""

import asyncio
import math
from collections.abc import Iterable
from types import TracebackType

import attrs

from nutmegshore.gateway.attempt import Attempt

__all__ = ('EndedAttempt', 'RunningAttempts')


@attrs.frozen
class EndedAttempt:
    """An attempt and what ended it; None after a whole answer."""

    attempt: Attempt
    failure: BaseException | None


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
        return min(attempt.overdue.due_s for attempt in self.attempts)

    def start(self, attempt: Attempt) -> None:
        """Run an attempt; once its answer is streamed, the others end."""
        attempt.begin()
        task = asyncio.ensure_future(attempt.run())
        task.add_done_callback(lambda _: attempt.close())
        attempt.answer.call_on_streaming(lambda: self._keep_only(task))
        self._by_task[task] = attempt

    async def wait(self, within_s: float) -> EndedAttempt | None:
        """Wait for the end of an attempt; None after the seconds or before.

        Of several that have ended, one with an answer comes first.
        """
        await asyncio.wait(
            tuple(self._by_task),
            timeout=None if within_s == math.inf else within_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        # Those that a streamed answer ended meanwhile are no longer here.
        done = [task for task in self._by_task if task.done()]
        if not done:
            return None
        task = min(done, key=_has_failed)
        return EndedAttempt(self._by_task.pop(task), _failure_of(task))

    def _keep_only(self, kept: asyncio.Task) -> None:
        self._cancel([task for task in self._by_task if task is not kept])

    def _cancel(self, tasks: Iterable[asyncio.Task]) -> None:
        for task in tasks:
            task.cancel()
            self._by_task.pop(task)
            self._cancelled.append(task)


def _has_failed(task: asyncio.Task) -> bool:
    return _failure_of(task) is not None


def _failure_of(task: asyncio.Task) -> BaseException | None:
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()
