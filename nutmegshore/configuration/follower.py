"""Keeps the configuration of one process up to date."""

import random

from nutmegshore.clock import Clock
from nutmegshore.configuration.elected_watcher import ElectedWatcher
from nutmegshore.configuration.messages import ProblemReport
from nutmegshore.configuration.problems import Problem, Problems
from nutmegshore.configuration.replicator import Replicator
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.configuration.watcher import PlatformWatcher
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers, process_of
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.store import Platform

__all__ = ('ConfigurationFollower',)

_POLL_INTERVAL_S = 0.5
_REPORT_INTERVAL_S = 10


class ConfigurationFollower:
    """Synchronizes a table with the peers and the platform.

        follower = ConfigurationFollower(table, platform, peers, dependencies)
        follower.start()
        ...
        await follower.stop()

    `is_ready` becomes true once the table contains a listing of the store or
    the snapshot of a ready peer, and every entry of the linked ready peers.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        platform: Platform,
        peers: Peers,
        dependencies: tuple[Clock, random.Random, Counters],
        size_hint: int = 16,
    ) -> None:
        """Build the components; no task runs before `start`."""
        self.replicator = Replicator(table, peers, *dependencies)
        self._problems = Problems()
        self._watcher = PlatformWatcher(
            table,
            platform,
            self._problems,
            *dependencies,
        )
        self._peers = peers
        self._clock = dependencies[0]
        self._elected_watcher = ElectedWatcher(
            self._watcher,
            self.replicator,
            peers,
            dependencies,
            size_hint,
        )
        self._tasks = OwnedTasks('configuration', dependencies[2])
        peers.subscribe(ProblemReport, self._handle_report)

    def start(self) -> None:
        """Start replication, and platform reads whenever elected."""
        self._tasks.spawn(self.replicator.run_pushes())
        self._tasks.spawn(self.replicator.run_digests())
        self._tasks.spawn(self._elected_watcher.run())
        self._tasks.spawn(self._check_ready())
        self._tasks.spawn(self._report_problems())

    async def stop(self) -> None:
        """Cancel all tasks."""
        await self._tasks.stop()

    @property
    def is_ready(self) -> bool:
        """Whether the table is complete enough to steer requests."""
        return self.replicator.is_ready

    @property
    def failures(self) -> list[BaseException]:
        """Exceptions that ended a task of the follower; normally empty."""
        return self._tasks.failures

    @property
    def problems(self) -> list[Problem]:
        """Objects whose stored version is not the one in force."""
        return self._problems.iter_all(self._clock.now())

    def confirmations(self, key: str, generation: int) -> dict[str, float]:
        """Time (local clock) at which each member confirmed an entry.

        In a cluster of up to 16 members the result covers all of them. In a
        larger one only the member with the lowest name in a region, which
        writes the status of objects, has the confirmations of its region.
        """
        live = {
            name: process_of(member.incarnation)
            for name, member in self._peers.live().items()
        }
        history = self.replicator.anti_entropy.history
        confirmed = history.confirmations(key, generation, live)
        merged_at = history.merged_at(key, generation)
        if merged_at is not None:
            confirmed[self._peers.local.name] = merged_at
        return confirmed

    async def _check_ready(self) -> None:
        while not self.replicator.is_ready:
            await self._clock.sleep(_POLL_INTERVAL_S)
            has_baseline = (
                self.replicator.anti_entropy.has_baseline
                or self._watcher.has_listing
            )
            self.replicator.anti_entropy.has_baseline = has_baseline
            if has_baseline and self._elected_watcher.is_settled:
                self.replicator.is_ready = (
                    self.replicator.anti_entropy.is_caught_up()
                )
        self.replicator.send_digests(includes_reporter=True)

    async def _report_problems(self) -> None:
        last_reported: list[Problem] = []
        waited_s = float(0)
        while True:
            await self._clock.sleep(_POLL_INTERVAL_S)
            waited_s += _POLL_INTERVAL_S
            local_problems = list(self._problems.local_problems.values())
            if local_problems != last_reported or (
                local_problems and waited_s >= _REPORT_INTERVAL_S
            ):
                last_reported = local_problems
                waited_s = 0
                fields = [problem.to_fields() for problem in local_problems]
                self._peers.send_region(ProblemReport(fields))

    def _handle_report(self, sender: str, report: ProblemReport) -> None:
        now = self._clock.now()
        self._problems.handle_report(sender, report.problems, now)
