"""Lines of gateways' logs."""

import json
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any

import attrs

__all__ = ('LogRecord', 'read_records')


@attrs.frozen
class LogRecord:
    """One line: the instance that wrote it, when by its clock, and what.

    `number` is the line's place in its instance's log, which gives the order
    there whatever the clock says.
    """

    instance: str
    number: int
    time_s: float
    event: str
    fields: MappingProxyType[str, Any]

    def get(self, name: str) -> Any:
        """A field of the event, or None."""
        return self.fields.get(name)


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Read the lines that are events; others are left out.

    What stands before the first brace of a line, such as the prefix of a log
    collector, does not count.
    """
    numbers: dict[str, int] = {}
    for line in lines:
        fields = _parse(line)
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


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        found = json.loads(line[start:])
    except ValueError:
        return None
    is_event = isinstance(found, dict) and 'event' in found
    return found if is_event and 'instance' in found else None
