"""Traffic counts that the gateways of a region report and sum."""

from collections.abc import Collection, Mapping

import attrs

from nutmegshore.balancing.region_choice import RegionChooser
from nutmegshore.balancing.service_traffic import ServiceTraffic, sum_traffic
from nutmegshore.gateway.messages import LoadReport, LoadSummary

__all__ = ('RegionTraffic',)

#: Decimal places of the summed wait ratios in messages.
_DIGITS = 2
_FIELDS = len(attrs.fields(ServiceTraffic))

_Numbers = list[float]


def _pack_traffic(
    by_service: Mapping[str, ServiceTraffic],
) -> dict[str, _Numbers]:
    """Return the fields of each service's traffic, in declaration order."""
    return {
        service: [round(number, _DIGITS) for number in attrs.astuple(traffic)]
        for service, traffic in by_service.items()
    }


def _unpack_traffic(
    packed: Mapping[str, _Numbers],
) -> dict[str, ServiceTraffic]:
    """Return the traffic by service; later versions may send more fields."""
    return {
        service: ServiceTraffic(*numbers[:_FIELDS])
        for service, numbers in packed.items()
    }


@attrs.define
class _Reported:
    """What one gateway of the region reported last."""

    home: int
    away: int
    by_service: dict[str, ServiceTraffic]


class RegionTraffic:
    """Sums the traffic of a region's gateways, and applies the sums.

    Each gateway reports its last 2 s; an aggregator sums the reports and sends
    the sums back to all of them.
    """

    def __init__(self, chooser: RegionChooser) -> None:
        """Report the traffic of `chooser`, and give it that of the region."""
        self._chooser = chooser
        self._by_sender: dict[str, _Reported] = {}

    def shift_counts(self) -> list[int]:
        """Return this gateway's requests within the region and elsewhere."""
        return list(self._chooser.shift_bound.window_counts())

    def own(self) -> dict[str, _Numbers]:
        """Return this gateway's traffic by service, as sent in a report."""
        return _pack_traffic(self._chooser.spillover.report())

    def handle_report(self, sender: str, report: LoadReport) -> None:
        """Record the traffic of one gateway."""
        if len(report.shift_counts) == 2:
            self._by_sender[sender] = _Reported(
                *report.shift_counts, _unpack_traffic(report.traffic)
            )

    def handle_summary(self, summary: LoadSummary) -> None:
        """Apply the traffic of the region."""
        if len(summary.shift_counts) == 2:
            self._chooser.handle_region(
                *summary.shift_counts, _unpack_traffic(summary.traffic)
            )

    def sum_shift_counts(self, senders: Collection[str]) -> list[int]:
        """Sum the requests of this gateway and of the named ones."""
        home, away = self.shift_counts()
        for one in self._reported(senders):
            home += one.home
            away += one.away
        return [home, away]

    def sum_services(self, senders: Collection[str]) -> dict[str, _Numbers]:
        """Sum the traffic of this gateway and of the named ones by service."""
        windows = [one.by_service for one in self._reported(senders)]
        windows.append(self._chooser.spillover.report())
        return _pack_traffic(sum_traffic(windows))

    def retain(self, senders: Collection[str]) -> None:
        """Drop the reports of gateways that are gone."""
        for gone in self._by_sender.keys() - set(senders):
            self._by_sender.pop(gone)

    def _reported(self, senders: Collection[str]) -> list[_Reported]:
        return [
            self._by_sender[name] for name in senders if name in self._by_sender
        ]
