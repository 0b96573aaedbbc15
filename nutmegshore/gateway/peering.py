"""What gateways tell each other: load, readiness and newer state."""

from collections.abc import Iterable

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
)
from nutmegshore.gateway.roster import Roster
from nutmegshore.gateway.state_sync import (
    REPORT_S,
    PeeringDependencies,
    StateSync,
)

__all__ = ('Peering',)

#: Aggregators that get a report by turns.
_TURNS = 2


class Peering:
    """Exchanges reports with the other gateways.

    A report carries the requests in flight, readiness, and how far the state
    goes. In a small fleet it goes to all. In a larger one it goes to the
    aggregators of the region by turns, which tell the region the sums, and
    each other those of their regions: a gateway sends and gets the same few
    messages however many there are. Both aggregators do the same, so that
    nothing is handed over when one dies, and two that think that they are one
    only tell the same twice.
    """

    def __init__(
        self,
        dependencies: PeeringDependencies,
        followers: Iterable[KindFollower],
    ) -> None:
        """Take reports from now on; `run` sends them."""
        self.is_ready = False
        self._dependencies = dependencies
        self._load = dependencies.balancer.candidate_builder.load
        self.roster = Roster(dependencies.clock, dependencies.log)
        self._state = StateSync(dependencies, followers, self.roster)
        self._shift_bound = dependencies.balancer.shift_bound
        self._moved: dict[str, list[int]] = {}
        self._ticks = 0
        self._reported: dict[str, dict[str, int]] = {}
        peers = dependencies.peers
        peers.subscribe(LoadReport, self._handle_report)
        peers.subscribe(LoadSummary, self._take_summary)
        peers.subscribe(RegionLoadReport, self._handle_region)

    async def run(self) -> None:
        """Send reports and look after silent peers until cancelled."""
        while True:
            self.report()
            self._forget_silent()
            self._state.run_round()
            await self._dependencies.clock.sleep(REPORT_S)

    def report(self) -> None:
        """Send one report now, to all or to an aggregator."""
        peers = self._dependencies.peers
        counts = self._load.own_counts()
        body = LoadReport(
            self.is_ready,
            counts,
            self._state.known(),
            self._dependencies.quarantine.digest,
            list(self._shift_bound.window_counts()),
        )
        aggregators = peers.aggregators()
        if not aggregators:
            peers.broadcast(body)
            return
        self._ticks += 1
        turn = self._ticks % _TURNS
        self._tell_aggregator(aggregators[turn % len(aggregators)], body)
        if peers.local.name == aggregators[turn % len(aggregators)]:
            self._load.drop_all()
            self._tell_region()
            self._tell_regions()

    def is_named(self, name: str) -> bool:
        """Whether look-up answers may name a gateway."""
        if name == self._dependencies.peers.local.name:
            return self.is_ready
        return self.roster.is_ready(name)

    def report_ages(self) -> dict[str, float]:
        """Seconds since each peer was heard of, by its name."""
        return self.roster.ages()

    def _tell_aggregator(self, name: str, body: LoadReport) -> None:
        if name != self._dependencies.peers.local.name:
            self._reported[name] = body.in_flight
            self._dependencies.peers.send(name, body)

    def _tell_region(self) -> None:
        """Tell the gateways of the region what all of them reported."""
        peers = self._dependencies.peers
        near = self._near()
        ready = [name for name in self.roster.reporting() if name in near]
        if self.is_ready:
            ready.append(peers.local.name)
        summary = LoadSummary(
            ready,
            self._load.sum_counts(),
            self._state.known(),
            self._dependencies.quarantine.digest,
            self._sum_moved(ready),
        )
        self._shift_bound.handle_region(*summary.moved)
        peers.send_each(near, summary)

    def _tell_regions(self) -> None:
        """Tell the aggregators of other regions the sums of this one."""
        peers = self._dependencies.peers
        region = peers.local.region
        regions = [one for one in peers.regions() if one != region]
        body = RegionLoadReport(
            region,
            self._load.sum_counts(self._near()),
            self._state.known(),
            self._dependencies.quarantine.digest,
        )
        for other in regions:
            peers.send_each(peers.aggregators(other), body)

    def _sum_moved(self, ready: list[str]) -> list[int]:
        """Requests of the region in the last 2 s, at home and elsewhere."""
        home, away = self._shift_bound.window_counts()
        for name in ready:
            moved = self._moved.get(name, (0, 0))
            home += moved[0]
            away += moved[1]
        return [home, away]

    def _near(self) -> set[str]:
        """Live gateways of the region, this one included."""
        peers = self._dependencies.peers
        return {
            name
            for name, member in peers.live().items()
            if member.region == peers.local.region
        }

    def _handle_report(self, sender: str, report: LoadReport) -> None:
        self.roster.record_contact(sender, is_ready=report.is_ready)
        self._load.handle_peer_counts(sender, report.in_flight)
        if len(report.moved) == 2:
            self._moved[sender] = report.moved
        self._compare_all(sender, report)

    def _take_summary(self, sender: str, summary: LoadSummary) -> None:
        peers = self._dependencies.peers
        local = peers.local.name
        others = [name for name in summary.ready if name != local]
        self.roster.handle_named(sender, others)
        if local not in peers.aggregators():
            reported = self._reported.get(sender, {})
            self._load.handle_all(summary.in_flight, reported)
            if len(summary.moved) == 2:
                self._shift_bound.handle_region(*summary.moved)
        self._compare_all(sender, summary)

    def _handle_region(self, sender: str, told: RegionLoadReport) -> None:
        if (
            self._dependencies.peers.local.name
            in self._dependencies.peers.aggregators()
        ):
            self._load.handle_peer_counts(told.region, told.in_flight)
        self._compare_all(sender, told)

    def _compare_all(
        self,
        sender: str,
        told: LoadReport | LoadSummary | RegionLoadReport,
    ) -> None:
        """Compare what a peer knows with what is known here."""
        self._state.compare(sender, told.known)
        verdicts = self._dependencies.quarantine.digest
        if verdicts and verdicts != told.verdicts:
            self._dependencies.quarantine.send_verdicts(sender)

    def _forget_silent(self) -> None:
        """Look after peers that were not heard of for a while."""
        self._load.forget_peers()
        self.roster.record_silent()
        known = self._dependencies.peers.live()
        for gone in self._reported.keys() - known.keys():
            self._reported.pop(gone)
        for gone in self._moved.keys() - known.keys():
            self._moved.pop(gone)
