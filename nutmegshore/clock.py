"""Clocks: the system clock, and a virtual clock for simulations."""

import abc
import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

__all__ = ('Clock', 'SystemClock', 'VirtualClock', 'run_virtual')

_Result = TypeVar('_Result')


class Clock(abc.ABC):
    """Source of time for a process.

    `now()` counts seconds from an arbitrary start and keeps counting while
    the machine is suspended, so that a lease still expires on time when its
    holder was suspended. Readings of two instances are never compared.
    """

    @abc.abstractmethod
    def now(self) -> float:
        """Seconds since an arbitrary start, suspended time included."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Seconds since the Unix epoch; only for ages of many hours."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for this many seconds."""


class SystemClock(Clock):
    """The operating system's clock."""

    def now(self) -> float:
        """Read CLOCK_BOOTTIME; CLOCK_MONOTONIC stops during a suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Read the wall clock of the machine."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(seconds)


class VirtualClock(Clock):
    """The clock of one simulated process on a loop of `run_virtual`.

    `pause(seconds)` models a stopped process: everything that waits on this
    clock, both sleeps and deliveries that call `gate()`, is blocked until the
    pause ends, while `now()` keeps counting. `rate` models a clock
    that runs fast or slow.

        async def main():
            clock = VirtualClock()
            clock.pause(10)
            await clock.sleep(1)  # returns at 10 s
    """

    def __init__(self, rate: float = 1) -> None:
        """Start unpaused; `rate` is this clock's seconds per loop second."""
        self._rate = rate
        self._paused_until = float(0)

    def now(self) -> float:
        """Seconds on this clock."""
        return asyncio.get_running_loop().time() * self._rate

    def wall(self) -> float:
        """Seconds on this clock, used as the time since the epoch."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Wait for the seconds, then for the end of any pause."""
        await asyncio.sleep(seconds / self._rate)
        await self.gate()

    async def gate(self) -> None:
        """Wait for the end of the current pause, if there is one."""
        loop = asyncio.get_running_loop()
        while loop.time() < self._paused_until:
            await asyncio.sleep(self._paused_until - loop.time())

    def pause(self, seconds: float) -> None:
        """Stop the process for this many seconds from now."""
        until = asyncio.get_running_loop().time() + seconds
        self._paused_until = max(self._paused_until, until)

    @property
    def pause_left_s(self) -> float:
        """Loop seconds until the pause ends; 0 while the process runs."""
        return max(
            self._paused_until - asyncio.get_running_loop().time(),
            0,
        )

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused now."""
        return self.pause_left_s > 0


class _JumpingSelector(selectors.DefaultSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_now = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll without blocking; if nothing is ready, advance the time."""
        ready = super().select(0)
        if not ready and timeout is None:
            # No event can wake the loop any more; a real wait would hang.
            raise RuntimeError('virtual time: every task waits forever')
        if not ready and timeout is not None:
            self.virtual_now += max(timeout, 0)
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.virtual_now


def run_virtual(main: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run a coroutine function in virtual time that starts at 0.

    The loop jumps to the next timer whenever nothing is ready, so an hour of
    sleeping takes no real time and every run is deterministic. Tasks that are
    still pending at the end are cancelled. Real sockets do not work on this
    loop.

        run_virtual(session)
    """
    loop_factory = _VirtualLoop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(_awaited(main))


async def _awaited(main: Callable[[], Awaitable[_Result]]) -> _Result:
    return await main()
