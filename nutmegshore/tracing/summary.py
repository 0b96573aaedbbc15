"""Counts of what gateways' logs tell."""

import collections
from collections.abc import Iterable

import attrs

from nutmegshore.tracing.records import LogRecord

__all__ = ('Summary', 'summarise')

#: Event that counts lines, and its counts.
_DROPS = 'lines_dropped'
_DROPPED = ('routine', 'notices', 'failures')


@attrs.frozen
class Summary:
    """Lines by event, and unserved requests by outcome, reason and route."""

    events: collections.Counter[str]
    reasons: collections.Counter[tuple[str, str, str]]
    attempts: collections.Counter[str]
    dropped: int


def summarise(records: Iterable[LogRecord]) -> Summary:
    """Count lines, reasons of refusals and failures, and attempts."""
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
    if record.event != _DROPS:
        return 0
    return sum(record.get(name) or 0 for name in _DROPPED)
