"""A gateway in the model of cold starts, and what gateways tell each other."""

import collections
import functools
from collections.abc import Mapping

import attrs

from bench.cold_views import ColdViews
from bench.event_clock import EventClock
from nutmegshore.balancing import Balancer
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


class ReportExchange:
    """Passes the requests in flight on between gateways that see each other."""

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
            name: gateway.balancer.candidate_builder.load.own_counts()
            for name, gateway in self._gateways.items()
        }
        self._clock.after(_TRANSIT_S, functools.partial(self._deliver, reports))

    def _deliver(self, reports: Mapping[str, _Counts]) -> None:
        totals: dict[tuple[str, ...], _Counts] = {}
        for name, gateway in self._gateways.items():
            seen = tuple(self._views.names(name, ''))
            if seen not in totals:
                totals[seen] = _sum_counts(reports, seen)
            load = gateway.balancer.candidate_builder.load
            load.handle_all(totals[seen], reports[name])


def _sum_counts(
    reports: Mapping[str, _Counts], names: tuple[str, ...]
) -> _Counts:
    total: collections.Counter[str] = collections.Counter()
    for name in names:
        total.update(reports[name])
    return total
