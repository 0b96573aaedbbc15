"""Places for the calls to a store that may run at the same time."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

from nutmegshore.counters import Counters

__all__ = ('CallKind', 'CallPlaces')


class CallKind(enum.Enum):
    """What a call to a store waits for.

    The answer to a `WATCH` may take as long as nothing changes; all others are
    `SHORT`.
    """

    SHORT = 'short'
    WATCH = 'watch'


class CallPlaces:
    """Bounds the calls of each kind, so that watches keep out no others.

    A call that ends or is cancelled gives its place back. `store_calls_running`
    and `store_calls_waiting` are gauges by `kind`.

        async with places.take(CallKind.SHORT, within_s=2):
            ...
    """

    def __init__(self, count: int, counters: Counters) -> None:
        """Give each kind so many places."""
        self._counters = counters
        self._free = {kind: asyncio.Semaphore(count) for kind in CallKind}
        self._running = dict.fromkeys(CallKind, 0)
        self._waiting = dict.fromkeys(CallKind, 0)

    @contextlib.asynccontextmanager
    async def take(
        self, kind: CallKind, within_s: float
    ) -> AsyncIterator[None]:
        """Hold a place during a block; raise `TimeoutError` without one."""
        await self._wait(kind, within_s)
        self._count(self._running, kind, 1)
        with contextlib.ExitStack() as stack:
            stack.callback(self._free[kind].release)
            stack.callback(self._count, self._running, kind, -1)
            yield

    async def _wait(self, kind: CallKind, within_s: float) -> None:
        self._count(self._waiting, kind, 1)
        with contextlib.ExitStack() as stack:
            stack.callback(self._count, self._waiting, kind, -1)
            async with asyncio.timeout(within_s):
                await self._free[kind].acquire()

    def _count(
        self, counts: dict[CallKind, int], kind: CallKind, change: int
    ) -> None:
        counts[kind] += change
        state = 'running' if counts is self._running else 'waiting'
        self._counters.set_gauge(
            f'store_calls_{state}', counts[kind], kind=kind.value
        )
