"""Timeouts that run at the same time and end together."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ('TimeoutGroup', 'lift')


class TimeoutGroup:
    """Limits the duration of bodies of code, and ends or lifts all limits.

    group = TimeoutGroup()
    async with group.limit(0.7):
        await answer
    """

    def __init__(self) -> None:
        """Start without running bodies."""
        self._active: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(
        self, seconds: float | None
    ) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` in the body after the seconds; None: never.

        The body may `lift` the timeout that it gets.
        """
        async with asyncio.timeout(seconds) as time_limit:
            self._active.add(time_limit)
            try:
                yield time_limit
            finally:
                self._active.discard(time_limit)

    def lift_all(self) -> None:
        """Remove the limits of all running bodies."""
        for time_limit in self._active:
            lift(time_limit)

    def expire_all(self) -> None:
        """Raise `TimeoutError` in all running bodies now."""
        now = asyncio.get_running_loop().time()
        for time_limit in self._active:
            _reschedule(time_limit, now)


def lift(time_limit: asyncio.Timeout) -> None:
    """Let a body run as long as it takes, unless its time has expired."""
    _reschedule(time_limit, None)


def _reschedule(time_limit: asyncio.Timeout, at: float | None) -> None:
    # A body goes on for a while after its time has expired.
    if not time_limit.expired():
        time_limit.reschedule(at)
