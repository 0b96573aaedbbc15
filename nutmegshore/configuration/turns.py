"""Whose turn it is to read the platform, and when."""

import random

from nutmegshore.clock import Clock
from nutmegshore.configuration.spread import Spread
from nutmegshore.configuration.watcher import PlatformWatcher
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.peers import Peers
from nutmegshore.peers.topology import ring_position

__all__ = ('WATCHERS_PER_REGION', 'Turns', 'choose_watchers')

WATCHERS_PER_REGION = 2
_CHECK_S = 0.5
#: A member that stays without configuration this long reads the platform
#: itself, whoever else should.
_HELPLESS_S = 10
#: Time for which a boot waits for links that are being opened.
_SETTLE_S = 10
_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 16
#: Platform reads that one second may hold in a boot of all.
_READS_PER_S = 60


def choose_watchers(region: str, names: list[str]) -> list[str]:
    """The members of a region that watch the platform.

    Each member computes them from its own view; where the views differ for a
    moment, a few more watch.
    """
    ranked = sorted(names, key=lambda name: ring_position(f'{region}/{name}'))
    return ranked[:WATCHERS_PER_REGION]


class Turns:
    """Reads the platform while this member is one of its region's watchers.

    First reads are spread, failures back off with jitter, so that neither a
    boot of many nor the return of the store brings more reads than the
    platform serves.
    """

    def __init__(
        self,
        watcher: PlatformWatcher,
        spread: Spread,
        peers: Peers,
        outer: tuple[Clock, random.Random, Counters],
        size_hint: int,
    ) -> None:
        """Count the waiting from `run`."""
        self._watcher = watcher
        self._spread = spread
        self._peers = peers
        self._clock = outer[0]
        self._rng = outer[1]
        self._counters = outer[2]
        self._spread_s = size_hint / _READS_PER_S
        self._started_at = float(0)

    @property
    def is_settled(self) -> bool:
        """Whether links to the known members are up or were tried."""
        return self._peers.is_settled or self._waited() > _SETTLE_S

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        self._started_at = self._clock.now()
        backoff_s = _FIRST_BACKOFF_S
        while True:
            await self._wait_for_turn()
            try:
                await self._follow()
            except PlatformError as failure:
                reason = failure.kind.value
                self._counters.add('platform_failures', reason=reason)
                await self._clock.sleep(backoff_s * self._jitter())
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            else:
                backoff_s = _FIRST_BACKOFF_S

    async def _wait_for_turn(self) -> None:
        # The views of the members must have met before each knows its turn;
        # otherwise all read in a boot of many.
        while not self.is_settled:
            await self._clock.sleep(_CHECK_S)
        if not self._watcher.has_listing:
            await self._clock.sleep(self._spread_s * self._rng.random())
        while not (self._is_watcher() or self._is_helpless()):
            await self._clock.sleep(_CHECK_S * self._jitter())

    async def _follow(self) -> None:
        await self._watcher.read_listing()
        while self._is_watcher():
            await self._watcher.watch_once()

    def _is_watcher(self) -> bool:
        region = self._peers.local.region
        names = [
            name
            for name, member in self._peers.live().items()
            if member.region == region
        ]
        return self._peers.local.name in choose_watchers(region, names)

    def _is_helpless(self) -> bool:
        return (
            not self._spread.anti_entropy.has_base
            and self._waited() > _HELPLESS_S
        )

    def _waited(self) -> float:
        return self._clock.now() - self._started_at

    def _jitter(self) -> float:
        return (1 + self._rng.random()) / 2
