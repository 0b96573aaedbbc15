"""The configuration of one process, kept up to date."""

import random

from nutmegshore.clock import Clock
from nutmegshore.configuration.messages import ProblemReport
from nutmegshore.configuration.problems import Problem, Problems
from nutmegshore.configuration.spread import Spread
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.configuration.turns import Turns
from nutmegshore.configuration.watcher import PlatformWatcher
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers, process_of
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.store import Platform

__all__ = ('ConfigurationFollower',)

_CHECK_S = 0.5
_REPORT_S = 10


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
        self._clock = outer[0]
        self._turns = Turns(
            self._watcher,
            self.spread,
            peers,
            outer,
            size_hint,
        )
        self._tasks = OwnedTasks('configuration', outer[2])
        peers.subscribe(ProblemReport, self._handle_report)

    def start(self) -> None:
        """Begin to exchange, and to read where it is this member's turn."""
        self._tasks.spawn(self.spread.run_pushes())
        self._tasks.spawn(self.spread.run_digests())
        self._tasks.spawn(self._turns.run())
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
        history = self.spread.anti_entropy.history
        confirmed = history.confirmations(key, generation, live)
        merged_at = history.merged_at(key, generation)
        if merged_at is not None:
            confirmed[self._peers.local.name] = merged_at
        return confirmed

    async def _check_ready(self) -> None:
        while not self.spread.is_ready:
            await self._clock.sleep(_CHECK_S)
            has_base = (
                self.spread.anti_entropy.has_base or self._watcher.has_listing
            )
            self.spread.anti_entropy.has_base = has_base
            if has_base and self._turns.is_settled:
                self.spread.is_ready = self.spread.anti_entropy.is_covered()
        self.spread.send_digests(is_to_reporter=True)

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

    def _handle_report(self, sender: str, report: ProblemReport) -> None:
        now = self._clock.now()
        self._problems.handle_report(sender, report.problems, now)
