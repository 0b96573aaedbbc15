"""Counters, gauges and latency histograms of a process."""

import collections

from hdrh.histogram import HdrHistogram

__all__ = ('Counters', 'Labels')

#: Sorted (name, value) pairs that identify one series of a metric.
Labels = tuple[tuple[str, str], ...]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000


class Counters:
    """Metrics of a process by name and labels.

    counters.add('requests_refused', reason='overloaded')
    counters.set_gauge('region_headroom', 0.4, region='west')
    counters.record_s('request_seconds', 0.012, service='orders')
    """

    def __init__(self) -> None:
        """Start without any series."""
        self.totals: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def add(self, metric: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        self.totals[metric, _labels(labels)] += amount

    def total(self, metric: str, **labels: str) -> int:
        """Sum of a counter over all series that have these labels."""
        required = set(labels.items())
        return sum(
            count
            for (name, present), count in self.totals.items()
            if name == metric and required <= set(present)
        )

    def set_gauge(self, metric: str, value: float, **labels: str) -> None:
        """Set the current value of a gauge."""
        self.gauges[metric, _labels(labels)] = value

    def drop_gauge(self, metric: str) -> None:
        """Remove all series of a gauge, before the current ones are set."""
        self.gauges = {
            series: value
            for series, value in self.gauges.items()
            if series[0] != metric
        }

    def record_s(self, metric: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        series = (metric, _labels(labels))
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _SIGNIFICANT_DIGITS,
            )
            self.histograms[series] = histogram
        histogram.record_value(max(int(seconds * _US_PER_S), _LOWEST_US))

    def percentile_s(
        self,
        metric: str,
        percentile: float,
        **labels: str,
    ) -> float:
        """Duration in seconds at a percentile; 0 if none is recorded."""
        histogram = self.histograms.get((metric, _labels(labels)))
        if histogram is None:
            return 0
        return histogram.get_value_at_percentile(percentile) / _US_PER_S


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))
