"""Parses the lines of gateway logs."""

import json
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any

import attrs

__all__ = ('LogRecord', 'parse_fields', 'read_records')


@attrs.frozen
class LogRecord:
    """One event that an instance logged.

    `time_s` is the time in seconds by the clock of the instance. `number`
    counts the events of the instance from 1 and orders them, also if its clock
    was adjusted.
    """

    instance: str
    number: int
    time_s: float
    event: str
    fields: MappingProxyType[str, Any]

    def get(self, name: str) -> Any:
        """Value of a field of the event, or None if it has no such field."""
        return self.fields.get(name)


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Parse the lines that are events and skip all others.

    Text before the first brace of a line, such as the prefix of a log
    collector, is ignored.
    """
    numbers: dict[str, int] = {}
    for line in lines:
        fields = _parse_event(line)
        if fields is None:
            continue
        instance = str(fields.pop('instance', ''))
        numbers[instance] = numbers.get(instance, 0) + 1
        yield LogRecord(
            instance,
            numbers[instance],
            float(fields.pop('time', 0)),
            str(fields.pop('event')),
            MappingProxyType(fields),
        )


def parse_fields(line: str) -> dict[str, Any] | None:
    """Parse the JSON object that a line ends with, or None without one.

    Text before the first brace is ignored.
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        parsed = json.loads(line[start:])
    except (ValueError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None


def _parse_event(line: str) -> dict[str, Any] | None:
    fields = parse_fields(line)
    is_event = fields is not None and 'event' in fields
    return fields if is_event and 'instance' in fields else None
