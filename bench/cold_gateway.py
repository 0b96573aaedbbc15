"""A gateway in the model of cold starts, and what gateways tell each other."""

import collections
import functools
from collections.abc import Mapping

import attrs

from bench.cold_upstreams import UpstreamFleet
from bench.cold_views import ColdViews
from bench.event_clock import EventClock
from nutmegshore.balancing import Balancer
from nutmegshore.gateway.cold_checks import iter_doubtful
from nutmegshore.gateway.cold_gossip import ColdGossip
from nutmegshore.gateway.state import FleetState

__all__ = ('ModelGateway', 'ReportExchange')

#: Seconds that a report takes to the other gateways, over aggregators.
_TRANSIT_S = 0.3

_Counts = Mapping[str, int]


@attrs.define(eq=False)
class ModelGateway:
    """A gateway; `lateness` is its part of the latest time of word."""

    name: str
    region: str
    state: FleetState
    balancer: Balancer
    lateness: float
    gossip: ColdGossip

    def report(self) -> '_Report':
        """Return what this gateway tells the others."""
        load = self.balancer.candidate_builder.load
        return _Report(load.own_counts(), self.gossip.own())

    def check_health(self, upstreams: UpstreamFleet, now: float) -> None:
        """Ask the health pages that a gateway asks live."""
        builder = self.balancer.candidate_builder
        for statement in tuple(iter_doubtful(builder, now)):
            upstream = statement.upstream
            left_s = upstreams.cold_left_s(upstream.instance)
            if left_s is not None:
                self.state.cold_starts.handle_health(upstream, left_s, now)


@attrs.frozen
class _Report:
    """Requests in flight by upstream, and what `ColdGossip` packs."""

    in_flight: _Counts
    cold: Mapping[str, list[float]]


class ReportExchange:
    """Passes reports on between gateways that see each other."""

    def __init__(
        self,
        gateways: Mapping[str, ModelGateway],
        views: ColdViews,
        clock: EventClock,
    ) -> None:
        """Exchange reports of the gateways that are in `gateways`."""
        self._gateways = gateways
        self._views = views
        self._clock = clock

    def exchange(self) -> None:
        """Send a report of each gateway."""
        reports = {
            name: gateway.report() for name, gateway in self._gateways.items()
        }
        self._clock.after(_TRANSIT_S, functools.partial(self._deliver, reports))

    def _deliver(self, reports: Mapping[str, _Report]) -> None:
        totals: dict[tuple[str, ...], _Counts] = {}
        for name, gateway in self._gateways.items():
            seen = tuple(self._views.names(name, ''))
            if seen not in totals:
                totals[seen] = _sum_counts(reports, seen)
            load = gateway.balancer.candidate_builder.load
            load.handle_all(totals[seen], reports[name].in_flight)
            for sender in seen:
                gateway.gossip.adopt(reports[sender].cold)


def _sum_counts(
    reports: Mapping[str, _Report], names: tuple[str, ...]
) -> _Counts:
    total: collections.Counter[str] = collections.Counter()
    for name in names:
        total.update(reports[name].in_flight)
    return total
