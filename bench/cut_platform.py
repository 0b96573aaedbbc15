"""A client of the store in memory whose path can fail, for models."""

import asyncio
import contextlib

from nutmegshore.clock import VirtualClock
from nutmegshore.errors import PlatformUnavailable
from nutmegshore.store import Changes, Listing, MemoryPlatform, MemoryStore

__all__ = ('CutPlatform',)

#: Seconds within which a client notices what happens to its watch.
_STEP_S = 0.02
_CONNECT_TIMEOUT_S = 1
#: Seconds after which the kernel closes a connection without acknowledgements.
_SILENT_S = 3


class CutPlatform(MemoryPlatform):
    """A client whose path to the store is cut, or whose watches are deaf.

    Each of its calls takes `call_s` seconds to reach the store. What a listing
    shows is `answer_s` seconds old as it arrives.
    """

    def __init__(self, store: MemoryStore, clock: VirtualClock) -> None:
        """Start with a sound path."""
        super().__init__(store, clock)
        self.is_cut = False
        self.is_deaf = False
        self.resets = 0
        self.call_s = float(0)
        self.answer_s = float(0)

    async def read_listing(self, prefix: str) -> Listing:
        """List objects, or raise `PlatformUnavailable`."""
        await self._connect()
        listing = await super().read_listing(prefix)
        if self.answer_s:
            await self._clock.sleep(self.answer_s)
        return listing

    async def watch(
        self, prefix: str, after: int, wait_s: float = 30
    ) -> Changes:
        """Wait for changes, or raise `PlatformUnavailable`."""
        await self._connect()
        waiting = asyncio.ensure_future(super().watch(prefix, after))
        with contextlib.ExitStack() as stack:
            stack.callback(waiting.cancel)
            await self._wait_deliverable(waiting)
            return waiting.result()

    async def _wait_deliverable(self, waiting: asyncio.Future) -> None:
        resets = self.resets
        silent_s = float(0)
        while self.is_cut or self.is_deaf or not waiting.done():
            await asyncio.sleep(_STEP_S)
            if self.resets > resets:
                raise PlatformUnavailable('reset')
            silent_s = silent_s + _STEP_S if self.is_cut else 0
            if silent_s > _SILENT_S:
                raise PlatformUnavailable('silent')

    async def _connect(self) -> None:
        if self.is_cut:
            await self._clock.sleep(_CONNECT_TIMEOUT_S)
            raise PlatformUnavailable('no answer')
        if self.call_s:
            await self._clock.sleep(self.call_s)
