"""Estimates the clock offsets between instances from their logs."""

import statistics
from collections.abc import Iterable

from nutmegshore.tracing.records import LogRecord

__all__ = ('estimate_offsets',)

#: Events that every instance logs for the same change of the store.
_SHARED_EVENTS = frozenset(
    ('configuration_adopted', 'evacuation_changed', 'upstream_changed'),
)

_ChangeId = tuple[str, int]


def estimate_offsets(records: Iterable[LogRecord]) -> dict[str, float]:
    """Estimate how many seconds each instance's clock is ahead of the median.

    All instances receive a store change within some tenths of a second, so the
    times at which they log the same revision differ mostly by their clock
    offsets. For each change that several instances logged, the difference of
    each instance to the median time is taken; its offset is the median of
    these differences. The result omits instances that share no change with
    others; their offset counts as 0.
    """
    times_by_change = _times_by_change(records)
    differences: dict[str, list[float]] = {}
    for by_instance in times_by_change.values():
        if len(by_instance) < 2:
            continue
        median_s = statistics.median(by_instance.values())
        for instance, time_s in by_instance.items():
            differences.setdefault(instance, []).append(time_s - median_s)
    return {
        name: statistics.median(own_differences)
        for name, own_differences in differences.items()
    }


def _times_by_change(
    records: Iterable[LogRecord],
) -> dict[_ChangeId, dict[str, float]]:
    times_by_change: dict[_ChangeId, dict[str, float]] = {}
    for record in records:
        revision = record.get('revision')
        if record.event in _SHARED_EVENTS and revision:
            by_instance = times_by_change.setdefault(
                (record.event, revision), {}
            )
            by_instance.setdefault(record.instance, record.time_s)
    return times_by_change
