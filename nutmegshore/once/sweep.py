"""Removal of expired at-most-once records."""

import asyncio

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError, RequestError
from nutmegshore.once.record import RECORD_PREFIX, parse_record
from nutmegshore.peers import Peers
from nutmegshore.store import Expected, Platform, StoredObject

__all__ = ('RecordSweep',)

RETENTION_S = 86_400
#: The sweep reads one of 256 slices every 300 s; a full round takes about
#: 21 hours.
_SLICES = 256
_SLICE_INTERVAL_S = 300


class RecordSweep:
    """Removes records that are older than a day, slice by slice.

    Only the live member with the lowest name sweeps. Two sweepers at once do
    no harm, since each removal is conditional. The age counts from the time
    of creation, which never changes, and not from the last write.
    """

    def __init__(
        self,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Sweep while the local member has the lowest name."""
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the sweep in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the sweep."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def sweep_slice(self, number: int) -> int:
        """Remove the expired records of one slice; returns their number."""
        name = format(number, '02x')
        listed = await self._platform.iter_objects(f'{RECORD_PREFIX}{name}/')
        expired = [stored for stored in listed if self._is_expired(stored)]
        removals = [
            self._platform.remove(stored.key, Expected.of(stored))
            for stored in expired
        ]
        await asyncio.gather(*removals, return_exceptions=True)
        return len(expired)

    async def _run(self) -> None:
        number = 0
        while True:
            await self._clock.sleep(_SLICE_INTERVAL_S)
            if min(self._peers.live()) == self._peers.local.name:
                await self._sweep_and_count(number)
                number = (number + 1) % _SLICES

    async def _sweep_and_count(self, number: int) -> None:
        try:
            removed = await self.sweep_slice(number)
        except PlatformError as failure:
            reason = failure.kind.value
            self._counters.add('once_sweep_failures', reason=reason)
        else:
            self._counters.add('once_records_removed', removed)

    def _is_expired(self, stored: StoredObject) -> bool:
        try:
            created_at = parse_record(stored.body).created_at
        except RequestError:
            return False
        return self._clock.wall() - created_at > RETENTION_S
