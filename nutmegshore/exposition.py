"""Metrics in the Prometheus text exposition format."""

import itertools
from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram

from nutmegshore.counters import Counters, Labels

__all__ = ('CONTENT_TYPE', 'write_exposition')

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_PREFIX = 'nutmegshore_'
_TOTAL = '_total'
_PERCENTILES = (50, 90, 99, 99.9)
_PERCENT = 100
_US_PER_S = 1_000_000
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


def write_exposition(counters: Counters) -> str:
    """Write all counters, gauges and histograms, sorted by name.

    Histograms are written as summaries in seconds. Their sum is computed from
    the mean and is accurate to the histogram's two significant digits.
    """
    lines = itertools.chain(
        _iter_numbers('counter', _TOTAL, counters.totals),
        _iter_numbers('gauge', '', counters.gauges),
        _iter_summaries(counters),
    )
    return ''.join(f'{line}\n' for line in lines)


def _iter_numbers(
    kind: str,
    suffix: str,
    numbers: Mapping[tuple[str, Labels], float],
) -> Iterator[str]:
    """Yield all series of a kind, with a TYPE line before each metric."""
    previous = ''
    for (name, labels), number in sorted(numbers.items()):
        metric = f'{_PREFIX}{name}{suffix}'
        if metric != previous:
            yield f'# TYPE {metric} {kind}'
        previous = metric
        yield _write_series(metric, labels, number)


def _iter_summaries(counters: Counters) -> Iterator[str]:
    previous = ''
    for name, labels in sorted(counters.histograms):
        metric = f'{_PREFIX}{name}'
        if metric != previous:
            yield f'# TYPE {metric} summary'
        previous = metric
        histogram = counters.histograms[name, labels]
        yield from _iter_summary(metric, labels, histogram)


def _iter_summary(
    metric: str,
    labels: Labels,
    histogram: HdrHistogram,
) -> Iterator[str]:
    for percentile in _PERCENTILES:
        quantile = ('quantile', str(percentile / _PERCENT))
        seconds = histogram.get_value_at_percentile(percentile) / _US_PER_S
        yield _write_series(metric, (*labels, quantile), seconds)
    count = histogram.get_total_count()
    total_s = histogram.get_mean_value() * count / _US_PER_S if count else 0
    yield _write_series(f'{metric}_sum', labels, total_s)
    yield _write_series(f'{metric}_count', labels, count)


def _write_series(metric: str, labels: Labels, number: float) -> str:
    pairs = ','.join(_write_label(name, text) for name, text in labels)
    shown = f'{{{pairs}}}' if pairs else ''
    return f'{metric}{shown} {number}'


def _write_label(name: str, text: object) -> str:
    escaped = str(text).translate(_ESCAPES)
    return f'{name}="{escaped}"'
