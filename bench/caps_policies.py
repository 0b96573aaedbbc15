"""Other ways to keep a cap, to compare with the one that was chosen."""

import asyncio
import contextlib
import math
import random

import attrs

from nutmegshore.caps import Ledger, Share, parse_ledger, write_ledger
from nutmegshore.caps.demand import Demand
from nutmegshore.caps.clock_drift import MAX_SEND_DELAY_S, WINDOW_S
from nutmegshore.caps.window import Window
from nutmegshore.clock import Clock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.peers import Peers
from nutmegshore.store import (
    Expected,
    Platform,
    StoredObject,
    write_resolved,
)
from nutmegshore.resources import Shift

__all__ = ('StaticSplit', 'WriteGrants')

_KEY = 'caps/shift/moved/requests'
_PERIOD_S = (0.8, 1.2)
_MARGIN = 1.1
_RENEW_S = 200


class StaticSplit:
    """Every instance may use an even part of the cap, for ever."""

    def __init__(
        self,
        table: ConfigurationTable,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Take the same parts as the other policies."""
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._platform = platform
        self._uses = Window()
        self._units = 0

    async def start(self) -> None:
        """Read the cap; all instances have joined by the first use."""

    async def stop(self) -> None:
        """Do nothing."""

    def try_acquire(self, kind: str, name: str) -> bool:
        """Use a unit of the own part."""
        cap = self._table.by_name(Shift)[name].spec.cap
        return self._take(cap // len(self._peers.live()))

    def is_sendable(self, taken_at: float) -> bool:
        """Whether the check is recent enough."""
        return self._clock.now() - taken_at <= MAX_SEND_DELAY_S

    def _take(self, units: int) -> bool:
        now = self._clock.now()
        if self._uses.count(now) >= units:
            return False
        self._uses.record(now, 1)
        return True


class WriteGrants(StaticSplit):
    """Every instance writes into the ledger what it needs, each second."""

    async def start(self) -> None:
        """Begin to claim."""
        self._lease_ends = -math.inf
        self._demand = Demand()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the claims."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def try_acquire(self, kind: str, name: str) -> bool:
        """Use a unit of the claimed ones."""
        now = self._clock.now()
        self._demand.record(now, 1)
        return self._take(self._units if now < self._lease_ends else 0)

    async def _run(self) -> None:
        while True:
            period_s = self._rng.uniform(*_PERIOD_S)
            await self._clock.sleep(period_s)
            with contextlib.suppress(PlatformError):
                await self._claim()

    async def _claim(self) -> None:
        stored = await self._platform.read(_KEY)
        ledger = self._parse(stored)
        own = self._own_share(ledger)
        started = self._clock.now()
        units_needed = math.ceil(self._demand.units_needed(started) * _MARGIN)
        units = min(units_needed, own.units + ledger.free)
        is_renewal = self._lease_ends - started < 2 * _RENEW_S
        if units < own.units:
            # Units are given up one window after their last use.
            self._units = units
            await self._clock.sleep(WINDOW_S)
        if units == own.units and not is_renewal:
            return
        share = attrs.evolve(
            own,
            units=units,
            target=units,
            lease_seconds=3 * _RENEW_S,
            sequence=own.sequence + 1,
        )
        await self._write(ledger.with_share(share), stored)
        self._units = units
        self._lease_ends = started + 3 * _RENEW_S

    def _parse(self, stored: StoredObject | None) -> Ledger:
        if stored is not None:
            return parse_ledger(stored.body)
        return Ledger(1, self._table.by_name(Shift)['moved'].spec.cap)

    def _own_share(self, ledger: Ledger) -> Share:
        identity = (self._peers.local.name, '1')
        return ledger.share_of(identity) or Share(*identity, 0, 0, 1, 0)

    async def _write(
        self,
        ledger: Ledger,
        stored: StoredObject | None,
    ) -> None:
        await write_resolved(
            self._platform,
            _KEY,
            write_ledger(ledger),
            stored and Expected.of(stored),
            str(self._rng.random()),
        )
