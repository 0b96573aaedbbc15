"""Counts the events in gateway logs."""

import collections
from collections.abc import Iterable

import attrs

from nutmegshore.tracing.records import LogRecord

__all__ = ('Summary', 'summarise')

#: Event that reports dropped log lines, and its fields with their numbers.
_DROP_EVENT = 'lines_dropped'
_DROP_FIELDS = ('routine', 'notices', 'failures')


@attrs.frozen
class Summary:
    """Event counts of a set of logs.

    `events` counts the lines by event, `reasons` those of requests by event,
    reason and route, and `attempts` the attempts by their result. `dropped` is
    the number of log lines that instances dropped.
    """

    events: collections.Counter[str]
    reasons: collections.Counter[tuple[str, str, str]]
    attempts: collections.Counter[str]
    dropped: int


def summarise(records: Iterable[LogRecord]) -> Summary:
    """Count events, reasons of requests, attempts and dropped lines."""
    summary = Summary(
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
        0,
    )
    dropped = 0
    for record in records:
        summary.events[record.event] += 1
        if record.get('reason') and record.get('request') is not None:
            key = (record.event, record.get('reason'), record.get('route'))
            summary.reasons[key] += 1
        for attempt in record.get('attempts') or ():
            summary.attempts[attempt[-1]] += 1
        dropped += _count_dropped(record)
    return attrs.evolve(summary, dropped=dropped)


def _count_dropped(record: LogRecord) -> int:
    if record.event != _DROP_EVENT:
        return 0
    return sum(record.get(name) or 0 for name in _DROP_FIELDS)
