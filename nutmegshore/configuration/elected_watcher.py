"""Elects the members that read the platform and schedules their reads."""

import random

from nutmegshore.clock import Clock
from nutmegshore.configuration.replicator import Replicator
from nutmegshore.configuration.watcher import PlatformWatcher
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.peers import Peers
from nutmegshore.peers.topology import ring_position

__all__ = ('WATCHERS_PER_REGION', 'ElectedWatcher', 'choose_watchers')

WATCHERS_PER_REGION = 2
_POLL_INTERVAL_S = 0.5
#: A member without configuration for this long reads the platform itself,
#: even if it is not elected.
_FALLBACK_S = 10
#: Longest wait at boot for links that are being opened.
_SETTLE_TIMEOUT_S = 10
_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 16
#: First reads a second, over all members, when all of them boot at once.
_MAX_READS_PER_S = 60


def choose_watchers(region: str, names: list[str]) -> list[str]:
    """Return the members of a region that watch the platform.

    Each member computes them from its own view of the membership; while the
    views differ, a few more members watch.
    """
    ranked = sorted(names, key=lambda name: ring_position(f'{region}/{name}'))
    return ranked[:WATCHERS_PER_REGION]


class ElectedWatcher:
    """Reads the platform while this member is one of its region's watchers.

    First reads are spread over time and failed reads back off with jitter, so
    that neither a boot of many members nor the recovery of the store causes
    more reads than the platform can serve.
    """

    def __init__(
        self,
        watcher: PlatformWatcher,
        replicator: Replicator,
        peers: Peers,
        outer: tuple[Clock, random.Random, Counters],
        size_hint: int,
    ) -> None:
        """Measure waiting times from the call of `run`."""
        self._watcher = watcher
        self._replicator = replicator
        self._peers = peers
        self._clock = outer[0]
        self._rng = outer[1]
        self._counters = outer[2]
        self._first_read_window_s = size_hint / _MAX_READS_PER_S
        self._started_at = float(0)

    @property
    def is_settled(self) -> bool:
        """Whether links to the known members are up or were attempted."""
        return self._peers.is_settled or self._elapsed_s() > _SETTLE_TIMEOUT_S

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        self._started_at = self._clock.now()
        backoff_s = _FIRST_BACKOFF_S
        while True:
            await self._wait_until_elected()
            try:
                await self._follow()
            except PlatformError as failure:
                reason = failure.kind.value
                self._counters.add('platform_failures', reason=reason)
                await self._clock.sleep(backoff_s * self._jitter())
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            else:
                backoff_s = _FIRST_BACKOFF_S

    async def _wait_until_elected(self) -> None:
        # The election needs a converged membership; otherwise every member
        # of a booting cluster would elect itself and read.
        while not self.is_settled:
            await self._clock.sleep(_POLL_INTERVAL_S)
        if not self._watcher.has_listing:
            await self._clock.sleep(
                self._first_read_window_s * self._rng.random()
            )
        while not (self._is_elected() or self._needs_fallback()):
            await self._clock.sleep(_POLL_INTERVAL_S * self._jitter())

    async def _follow(self) -> None:
        await self._watcher.read_listing()
        while self._is_elected():
            await self._watcher.watch_once()

    def _is_elected(self) -> bool:
        region = self._peers.local.region
        names = [
            name
            for name, member in self._peers.live().items()
            if member.region == region
        ]
        return self._peers.local.name in choose_watchers(region, names)

    def _needs_fallback(self) -> bool:
        return (
            not self._replicator.anti_entropy.has_baseline
            and self._elapsed_s() > _FALLBACK_S
        )

    def _elapsed_s(self) -> float:
        return self._clock.now() - self._started_at

    def _jitter(self) -> float:
        return (1 + self._rng.random()) / 2
