"""Gossip between gateways: load, readiness and replica state."""

import asyncio
import contextlib
from collections.abc import Collection, Iterable

from nutmegshore.gateway.cold_gossip import ColdGossip
from nutmegshore.gateway.events import ReportDelayed
from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.key_reports import KeyReports
from nutmegshore.gateway.leaving_gossip import LeavingGossip
from nutmegshore.gateway.limit_gossip import LimitGossip
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
)
from nutmegshore.gateway.quota_gossip import QuotaGossip
from nutmegshore.gateway.region_traffic import RegionTraffic
from nutmegshore.gateway.report_checks import check_report
from nutmegshore.gateway.restore_questions import RestoreQuestions
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.state_notices import StateNotices
from nutmegshore.gateway.state_sync import StateSync
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.peers import Peers

__all__ = ('Peering',)

#: Seconds between two reports of a gateway.
_REPORT_INTERVAL_S = 0.25
#: Aggregators of a region among which reports alternate.
_AGGREGATOR_TURNS = 2
#: Seconds by which a report must be late to be logged.
_LOGGED_DELAY_S = 0.2
_DIGITS = 3


class Peering:
    """Exchanges reports with the other gateways.

    A report carries the requests in flight, readiness and the positions of
    the replicas. In a small fleet each gateway broadcasts it. In a larger one
    reports alternate between the aggregators of the region, which send sums
    to their region and to the aggregators of other regions, so the messages
    per gateway do not grow with the fleet. All aggregators of a region do the
    same work: nothing is handed over when one dies, and if views differ on
    which gateways aggregate, a summary is merely sent twice.

    What a gateway learns of the store's objects goes out at once, in notices.
    One that starts asks the others what they hold back since a restore.
    """

    def __init__(
        self,
        dependencies: PeeringDependencies,
        followers: Iterable[KindFollower],
    ) -> None:
        """Subscribe to the reports of peers; `run` sends them."""
        self.is_ready = False
        self._dependencies = dependencies
        self.roster = Roster(dependencies.clock, dependencies.log)
        self.key_reports = KeyReports()
        self.state_sync = StateSync(dependencies, followers, self.roster)
        self.transit_times = self.state_sync.transit_times
        self._restore_questions = RestoreQuestions(dependencies, followers)
        self._traffic = RegionTraffic(dependencies.balancer.region_chooser)
        candidate_builder = dependencies.balancer.candidate_builder
        self._load = candidate_builder.load
        self._members = candidate_builder.members
        self._limits = LimitGossip(candidate_builder, dependencies.clock)
        self._leaving = LeavingGossip(dependencies.leaving)
        self._cold = ColdGossip(candidate_builder.state, dependencies.clock)
        self._quotas = QuotaGossip(dependencies.quotas)
        self._ticks = 0
        self._sent_counts: dict[str, dict[str, int]] = {}
        peers = dependencies.peers
        self._notices = StateNotices(
            peers, dependencies.clock, self.state_sync, followers
        )
        peers.subscribe(LoadReport, self._handle_report)
        peers.subscribe(LoadSummary, self._handle_summary)
        peers.subscribe(RegionLoadReport, self._handle_region)

    async def run(self) -> None:
        """Send reports and drop silent peers until cancelled."""
        questions = asyncio.ensure_future(self._restore_questions.run())
        with contextlib.ExitStack() as stack:
            stack.callback(questions.cancel)
            while True:
                self.report()
                self._drop_silent()
                self.state_sync.run_round()
                await self._pause()

    def report(self) -> None:
        """Send one report now, to all peers or to an aggregator."""
        peers = self._dependencies.peers
        aggregators = peers.aggregators()
        if not aggregators:
            peers.broadcast(self._make_report(peers.live()))
            return
        self._ticks += 1
        aggregator = aggregators[
            self._ticks % _AGGREGATOR_TURNS % len(aggregators)
        ]
        self._send_report(
            aggregator, self._make_report((aggregator,), aggregator)
        )
        if peers.local.name == aggregator:
            self._load.drop_all()
            self._send_summary()
            self._send_region_loads()

    def is_named(self, name: str) -> bool:
        """Whether look-up answers may name a gateway."""
        if name == self._dependencies.peers.local.name:
            return self.is_ready
        return self.roster.is_ready(name)

    def report_ages(self) -> dict[str, float]:
        """Seconds since the last contact with each peer, by name."""
        return self.roster.ages()

    async def _pause(self) -> None:
        """Send notices until the next report; log if that is late."""
        clock = self._dependencies.clock
        due_at = clock.now() + _REPORT_INTERVAL_S
        await self._notices.send_until(due_at)
        late_s = clock.now() - due_at
        if late_s > _LOGGED_DELAY_S:
            event = ReportDelayed(round(late_s, _DIGITS))
            self._dependencies.log.write(event)

    def _make_report(
        self, names: Collection[str], aggregator: str = ''
    ) -> LoadReport:
        """Return a report to peers; aggregators use the traffic by service."""
        # Read first: a process that is stopped meanwhile sends older ages.
        sent_at = self._dependencies.clock.now()
        return LoadReport(
            self.is_ready,
            self._load.own_counts(),
            self.state_sync.known(),
            self._dependencies.quarantine.digest,
            self._traffic.shift_counts(),
            self._traffic.own() if aggregator else {},
            self._limits.own(),
            self.state_sync.eras(),
            self._leaving.known(),
            self._cold.own(),
            self.state_sync.ages(),
            sent_at,
            self.state_sync.answers(),
            self.transit_times.echoes(names, sent_at),
            self.state_sync.words.told,
            self._quotas.own(aggregator),
            self._quotas.own_coverage(),
        )

    def _send_report(self, name: str, body: LoadReport) -> None:
        if name != self._dependencies.peers.local.name:
            self._sent_counts[name] = body.in_flight
            self._dependencies.peers.send(name, body)

    def _send_summary(self) -> None:
        """Send the summed reports to the gateways of the region."""
        peers = self._dependencies.peers
        sent_at = self._dependencies.clock.now()
        gateways = self._region_gateways()
        ready = [name for name in self.roster.reporting() if name in gateways]
        if self.is_ready:
            ready.append(peers.local.name)
        ages = self.state_sync.ages()
        self.key_reports.handle_report(peers.local.name, ages, 0)
        summary = LoadSummary(
            ready,
            self._load.sum_counts(),
            self.state_sync.known(),
            self._dependencies.quarantine.digest,
            self._traffic.sum_shift_counts(ready),
            self._traffic.sum_services(ready),
            self._limits.known(),
            self.state_sync.eras(),
            self._leaving.known(),
            self._cold.known(),
            ages,
            sent_at,
            self.state_sync.answers(),
            self.transit_times.echoes(gateways, sent_at),
            self.state_sync.words.told,
            self.key_reports.among(ready),
            *self._quotas.sum_fleet(gateways, _other_regions(peers)),
        )
        self._traffic.handle_summary(summary)
        peers.send_each(gateways, summary)

    def _send_region_loads(self) -> None:
        """Send the load of this region to the aggregators of the others."""
        peers = self._dependencies.peers
        sent_at = self._dependencies.clock.now()
        gateways = self._region_gateways()
        names = [
            name
            for region in _other_regions(peers)
            for name in peers.aggregators(region)
        ]
        body = RegionLoadReport(
            peers.local.region,
            self._load.sum_counts(gateways),
            self.state_sync.known(),
            self._dependencies.quarantine.digest,
            self._limits.known(),
            self.state_sync.eras(),
            self._leaving.known(),
            self._cold.known(),
            self.state_sync.ages(),
            sent_at,
            self.state_sync.answers(),
            self.transit_times.echoes(names, sent_at),
            self.state_sync.words.told,
            *self._quotas.sum_region(gateways),
        )
        peers.send_each(names, body)

    def _region_gateways(self) -> set[str]:
        """Live gateways of the region, including this one."""
        peers = self._dependencies.peers
        return {
            name
            for name, member in peers.live().items()
            if member.region == peers.local.region
        }

    def _handle_report(self, sender: str, report: LoadReport) -> None:
        check_report(report)
        transit_s = self.transit_times.record(sender, report.sent_at)
        self.roster.record_contact(sender, transit_s, is_ready=report.is_ready)
        self.key_reports.handle_report(sender, report.ages, transit_s)
        self._load.handle_peer_counts(sender, report.in_flight)
        self._traffic.handle_report(sender, report)
        self._quotas.handle_report(sender, report, transit_s)
        self._compare(sender, report, transit_s)

    def _handle_summary(self, sender: str, summary: LoadSummary) -> None:
        check_report(summary)
        transit_s = self.transit_times.record(sender, summary.sent_at)
        peers = self._dependencies.peers
        local = peers.local.name
        others = [name for name in summary.ready if name != local]
        self.roster.handle_named(sender, transit_s, others)
        self.key_reports.handle_summary(others, summary.outdated)
        if local not in peers.aggregators():
            sent_counts = self._sent_counts.get(sender, {})
            self._load.handle_all(summary.in_flight, sent_counts)
            self._traffic.handle_summary(summary)
        self._quotas.handle_summary(sender, summary, transit_s)
        self._compare(sender, summary, transit_s)

    def _handle_region(self, sender: str, report: RegionLoadReport) -> None:
        check_report(report)
        transit_s = self.transit_times.record(sender, report.sent_at)
        if (
            self._dependencies.peers.local.name
            in self._dependencies.peers.aggregators()
        ):
            self._load.handle_peer_counts(report.region, report.in_flight)
            self._quotas.handle_region(report, transit_s)
        self._compare(sender, report, transit_s)

    def _compare(
        self,
        sender: str,
        report: LoadReport | LoadSummary | RegionLoadReport,
        transit_s: float,
    ) -> None:
        """Compare what a peer knew `transit_s` ago with the local state."""
        self._limits.adopt(report.limits, transit_s)
        self._leaving.adopt(report.leaving)
        self._cold.adopt(report.cold, transit_s)
        self.state_sync.compare(sender, report, transit_s)
        quarantine_digest = self._dependencies.quarantine.digest
        if quarantine_digest and quarantine_digest != report.quarantine_digest:
            self._dependencies.quarantine.send_verdicts(sender)

    def _drop_silent(self) -> None:
        """Drop the load and traffic of peers that are gone."""
        self._load.forget_peers()
        self.roster.record_silent()
        known = self._dependencies.peers.live()
        for gone in self._sent_counts.keys() - known.keys():
            self._sent_counts.pop(gone)
        self._traffic.retain(known)
        self.key_reports.retain(known)
        self.transit_times.retain(set(known))
        # Gateways that vanish in a partition must have been seen before.
        for region in ('', *self._dependencies.peers.regions()):
            self._members.observe(region)


def _other_regions(peers: Peers) -> list[str]:
    return [one for one in peers.regions() if one != peers.local.region]
