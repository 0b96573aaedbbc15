"""Timeouts that run at the same time and can end together."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ('TimeoutGroup',)


class TimeoutGroup:
    """Limits the duration of bodies of code, and can end all of them.

    group = TimeoutGroup()
    async with group.limit(0.7):
        await answer
    """

    def __init__(self) -> None:
        """Start without running bodies."""
        self._active: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` in the body after the seconds."""
        async with asyncio.timeout(seconds) as time_limit:
            self._active.add(time_limit)
            try:
                yield
            finally:
                self._active.discard(time_limit)

    def expire_all(self) -> None:
        """Raise `TimeoutError` in all running bodies now."""
        now = asyncio.get_running_loop().time()
        for time_limit in self._active:
            # A body goes on for a while after its time has expired.
            if not time_limit.expired():
                time_limit.reschedule(now)
