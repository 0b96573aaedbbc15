"""The configuration of one process, kept up to date."""

import random

from nutmegshore.clock import Clock
from nutmegshore.configuration.messages import ProblemReport
from nutmegshore.configuration.problems import Problem, Problems
from nutmegshore.configuration.spread import Spread
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.configuration.watcher import PlatformWatcher
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.peers import Peers, process_of
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.peers.topology import ring_position
from nutmegshore.platform import Platform

__all__ = ('WATCHERS_PER_REGION', 'ConfigurationFollower', 'choose_watchers')

WATCHERS_PER_REGION = 2
_CHECK_S = 0.5
#: A member that stays without configuration this long reads the platform
#: itself, whoever else should.
_HELPLESS_S = 10
#: Time for which a boot waits for links that are being opened.
_SETTLE_S = 10
_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 16
_REPORT_S = 10
#: Platform reads that one second may hold in a boot of all.
_READS_PER_S = 60


def choose_watchers(region: str, names: list[str]) -> list[str]:
    """The members of a region that watch the platform.

    Each member computes them from its own view; where the views differ for a
    moment, a few more watch.
    """
    ranked = sorted(names, key=lambda name: ring_position(f'{region}/{name}'))
    return ranked[:WATCHERS_PER_REGION]


class ConfigurationFollower:
    """Keeps a table in step with the peers and the platform.

    follower = ConfigurationFollower(table, platform, peers, outer)
    follower.start()
    ...
    await follower.stop()

    `is_ready` turns true once the table holds a listing or the snapshot of a
    ready peer, and all that the linked ready peers have.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        platform: Platform,
        peers: Peers,
        outer: tuple[Clock, random.Random, Counters],
        size_hint: int = 16,
    ) -> None:
        """Build the parts; nothing runs before `start`."""
        self.spread = Spread(table, peers, *outer)
        self._problems = Problems()
        self._watcher = PlatformWatcher(
            table,
            platform,
            self._problems,
            *outer,
        )
        self._peers = peers
        self._clock, self._rng, self._counters = outer
        self._spread_s = size_hint / _READS_PER_S
        self._tasks = OwnedTasks('configuration', self._counters)
        self._started_at = float(0)
        peers.subscribe(ProblemReport, self._take_report)

    def start(self) -> None:
        """Begin to exchange, and to read where it is this member's turn."""
        self._started_at = self._clock.now()
        self._tasks.spawn(self.spread.run_pushes())
        self._tasks.spawn(self.spread.run_digests())
        self._tasks.spawn(self._follow_platform())
        self._tasks.spawn(self._check_ready())
        self._tasks.spawn(self._report_problems())

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    @property
    def is_ready(self) -> bool:
        """Whether requests may be steered by the table."""
        return self.spread.is_ready

    @property
    def failures(self) -> list[BaseException]:
        """What ended a task of this part; empty in a sound process."""
        return self._tasks.failures

    @property
    def problems(self) -> list[Problem]:
        """Objects of the store that are not in force as they stand there."""
        return self._problems.iter_all(self._clock.now())

    def confirmations(self, key: str, generation: int) -> dict[str, float]:
        """Since when (local clock) each member is known to have an entry.

        Up to 16 members all are known. Above that, the member of the lowest
        name in a region, which writes its status, knows its region.
        """
        live = {
            name: process_of(member.incarnation)
            for name, member in self._peers.live().items()
        }
        history = self.spread.history
        confirmed = history.confirmations(key, generation, live)
        merged_at = history.merged_at(key, generation)
        if merged_at is not None:
            confirmed[self._peers.local.name] = merged_at
        return confirmed

    async def _check_ready(self) -> None:
        while not self.spread.is_ready:
            await self._clock.sleep(_CHECK_S)
            has_base = self.spread.has_base or self._watcher.has_listing
            self.spread.has_base = has_base
            if has_base and self._is_settled() and self.spread.is_covered():
                self.spread.is_ready = True
        self.spread.send_digests(is_to_reporter=True)

    def _is_settled(self) -> bool:
        waited = self._clock.now() - self._started_at
        return self._peers.is_settled or waited > _SETTLE_S

    async def _follow_platform(self) -> None:
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
        while not self._is_settled():
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
        waited = self._clock.now() - self._started_at
        return not self.spread.has_base and waited > _HELPLESS_S

    async def _report_problems(self) -> None:
        reported: list[Problem] = []
        waited = float(0)
        while True:
            await self._clock.sleep(_CHECK_S)
            waited += _CHECK_S
            own = list(self._problems.own.values())
            if own != reported or (own and waited >= _REPORT_S):
                reported = own
                waited = 0
                fields = [problem.to_fields() for problem in own]
                self._peers.send_region(ProblemReport(fields))

    def _take_report(self, sender: str, report: ProblemReport) -> None:
        now = self._clock.now()
        self._problems.take_report(sender, report.problems, now)

    def _jitter(self) -> float:
        return (1 + self._rng.random()) / 2
