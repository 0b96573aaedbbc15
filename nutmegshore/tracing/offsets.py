"""How far the clocks of instances are apart."""

import statistics
from collections.abc import Iterable

from nutmegshore.tracing.records import LogRecord

__all__ = ('estimate_offsets',)

#: Events that every instance logs for the same change of the store.
_SHARED = frozenset(
    ('configuration_adopted', 'evacuation_changed', 'upstream_changed'),
)

_Change = tuple[str, int]


def estimate_offsets(records: Iterable[LogRecord]) -> dict[str, float]:
    """Seconds that each instance's clock is ahead of the common time.

    All instances hear of a change of the store within some tenths of a
    second, so that the times at which they log the same revision differ
    mostly by their clocks. The offset of an instance is the median of its
    differences to the median time of each shared change. Instances that share
    no change with others have an offset of 0.
    """
    times = _times_by_change(records)
    differences: dict[str, list[float]] = {}
    for by_instance in times.values():
        if len(by_instance) < 2:
            continue
        middle = statistics.median(by_instance.values())
        for instance, time_s in by_instance.items():
            differences.setdefault(instance, []).append(time_s - middle)
    return {name: statistics.median(one) for name, one in differences.items()}


def _times_by_change(
    records: Iterable[LogRecord],
) -> dict[_Change, dict[str, float]]:
    times: dict[_Change, dict[str, float]] = {}
    for record in records:
        revision = record.get('revision')
        if record.event in _SHARED and revision:
            by_instance = times.setdefault((record.event, revision), {})
            by_instance.setdefault(record.instance, record.time_s)
    return times
