"""Counts of customers' requests, as gateways pass them on to each other."""

from collections.abc import Collection

from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.balancing.quota_counts import Count
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
)

__all__ = ('QuotaGossip',)

#: Decimal places of the number of gateways that a message covers.
_DIGITS = 1
_COUNT_FIELDS = len(Count._fields)
#: Number of gateways that a report covers, and how many its sender saw lately.
_COVERAGE_FIELDS = 2
#: Put before the name of a region, which a gateway may have as well.
_REGION = 'region '

_Packed = dict[str, list[float]]


class QuotaGossip:
    """Packs the counts of a gateway or of many, and applies those of peers.

    A message holds, by customer, the fields of `Count`, and in `coverage` how
    many gateways these cover and how many the sender saw lately. Gateways
    report their own counts; aggregators send the sum of their region to other
    regions, and the sum over all regions to their own.
    """

    def __init__(self, quotas: CustomerQuotas) -> None:
        """Exchange the counts of `quotas`."""
        self._quotas = quotas

    def own(self, receiver: str = '') -> _Packed:
        """Return this gateway's counts, for one receiver or for all."""
        return _pack(self._quotas.own(receiver))

    def own_coverage(self) -> list[float]:
        """Return the coverage of this gateway's own report."""
        return [1, self._quotas.known_gateways()]

    def sum_region(
        self, gateways: Collection[str]
    ) -> tuple[_Packed, list[float]]:
        """Return the counts of the gateways of a region, and their coverage."""
        return self._sum(gateways)

    def sum_fleet(
        self, gateways: Collection[str], regions: Collection[str]
    ) -> tuple[_Packed, list[float]]:
        """Return the counts of all regions, and their coverage."""
        return self._sum([*gateways, *(_REGION + one for one in regions)])

    def handle_report(
        self, sender: str, report: LoadReport, transit_s: float
    ) -> None:
        """Record the counts of one gateway, sent `transit_s` ago."""
        self._adopt(sender, report, transit_s)

    def handle_region(self, report: RegionLoadReport, transit_s: float) -> None:
        """Record the counts of another region."""
        self._adopt(_REGION + report.region, report, transit_s)

    def handle_summary(
        self, sender: str, summary: LoadSummary, transit_s: float
    ) -> None:
        """Record the counts of all regions."""
        if len(summary.quota_coverage) >= _COVERAGE_FIELDS:
            gateways, known, *_ = summary.quota_coverage
            self._quotas.adopt_summary(
                sender, _unpack(summary.quotas), gateways, known, transit_s
            )

    def _sum(self, sources: Collection[str]) -> tuple[_Packed, list[float]]:
        summed, gateways = self._quotas.sum_sources(sources)
        coverage = [round(gateways, _DIGITS), self._quotas.known_gateways()]
        return _pack(summed), coverage

    def _adopt(
        self,
        source: str,
        report: LoadReport | RegionLoadReport,
        transit_s: float,
    ) -> None:
        # Earlier versions report nothing, so that they are not covered.
        if len(report.quota_coverage) >= _COVERAGE_FIELDS:
            gateways, known, *_ = report.quota_coverage
            self._quotas.adopt(
                source, _unpack(report.quotas), gateways, known, transit_s
            )


def _pack(counts: dict[str, Count]) -> _Packed:
    """Return whole numbers, which take a few bytes each."""
    return {
        name: [round(number) for number in count]
        for name, count in counts.items()
        if any(count)
    }


def _unpack(packed: _Packed) -> dict[str, Count]:
    """Return the counts by customer; later versions may send more fields."""
    return {
        name: Count(*numbers[:_COUNT_FIELDS])
        for name, numbers in packed.items()
    }
