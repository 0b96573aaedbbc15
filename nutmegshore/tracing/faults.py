"""Faults in logs: lines of level error, and tracebacks."""

import re
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from nutmegshore.tracing.records import parse_fields

__all__ = ('LoggedFault', 'read_faults')

#: Levels of a log line that tell of a fault.
_LEVELS = frozenset(('error', 'critical'))
#: Fields that may say what went wrong; the first one present does.
_ERROR_FIELDS = ('error', 'failure', 'exc_info', 'reason', 'event')
_STACK_FIELDS = ('stack', 'exception')
_TRACEBACK = 'Traceback (most recent call last):'
#: A log of many machines puts a time and a machine's name before each line.
_PREFIX = re.compile(r'\s*(-?\d+\.\d+) (\S+) ?(.*)')
#: The level in a line that was cut off and is no JSON any more.
_CUT_OFF = re.compile('"level": ?"(error|critical)"')
_MAX_ERROR_CHARS = 300
#: Lines of a stack that are kept, the innermost ones.
_MAX_STACK_LINES = 8


@attrs.frozen
class LoggedFault:
    """A log line of level error, or a traceback.

    `time` is written as the log has it. Fields that the log does not tell are
    empty. `stack` holds the innermost lines of the stack.
    """

    time: str
    instance: str
    part: str
    request: str
    event: str
    error: str
    stack: tuple[str, ...]


@attrs.frozen
class _Line:
    """A line without the prefix, and what the prefix tells."""

    time: str
    instance: str
    text: str


def read_faults(
    lines: Iterable[str], instance: str = ''
) -> Iterator[LoggedFault]:
    """Find the faults in the lines of one log.

    `instance` is named for faults whose lines name none.

        faults = list(read_faults(['{"level": "error", "event": "failed"}']))
    """
    tracebacks = _Tracebacks()
    for line in lines:
        split = _split(line, instance)
        fields = parse_fields(split.text)
        if fields is None:
            yield from tracebacks.read(split)
            continue
        yield from tracebacks.close(split.instance)
        yield from _read_fields(split, fields)
    yield from tracebacks.close_all()


class _Tracebacks:
    """Tracebacks whose last line has not been read, by instance.

    Lines of several instances may alternate.
    """

    def __init__(self) -> None:
        self._open: dict[str, list[_Line]] = {}

    def read(self, line: _Line) -> Iterator[LoggedFault]:
        """Take a line that is no JSON."""
        if _CUT_OFF.search(line.text):
            yield _make_fault(line, 'line cut off', line.text)
        elif line.text.endswith(_TRACEBACK):
            yield from self.close(line.instance)
            self._open[line.instance] = [line]
        elif line.instance in self._open:
            yield from self._add(line)

    def close(self, instance: str) -> Iterator[LoggedFault]:
        """End the traceback of an instance, if it has one."""
        lines = self._open.pop(instance, None)
        if lines:
            stack = '\n'.join(line.text for line in lines[:-1])
            error = lines[-1].text.strip()
            yield _make_fault(lines[0], 'traceback', error, stack)

    def close_all(self) -> Iterator[LoggedFault]:
        """End all tracebacks."""
        for instance in tuple(self._open):
            yield from self.close(instance)

    def _add(self, line: _Line) -> Iterator[LoggedFault]:
        """Add a line to a traceback; one without indentation is its last."""
        if not line.text:
            return
        self._open[line.instance].append(line)
        if not line.text[0].isspace():
            yield from self.close(line.instance)


def _split(line: str, instance: str) -> _Line:
    text = line.rstrip()
    found = _PREFIX.fullmatch(text)
    if found is None:
        return _Line('', instance, text)
    return _Line(*found.groups())


def _read_fields(line: _Line, fields: dict[str, Any]) -> Iterator[LoggedFault]:
    if fields.get('level') not in _LEVELS:
        return
    yield LoggedFault(
        time=line.time or _first_of(fields, ('time', 'timestamp')),
        instance=_first_of(fields, ('instance',)) or line.instance,
        part=_first_of(fields, ('part',)),
        request=_first_of(fields, ('request',)),
        event=_first_of(fields, ('event',)),
        error=_first_of(fields, _ERROR_FIELDS)[:_MAX_ERROR_CHARS],
        stack=_last_lines(_first_of(fields, _STACK_FIELDS)),
    )


def _make_fault(
    line: _Line, event: str, error: str, stack: str = ''
) -> LoggedFault:
    return LoggedFault(
        time=line.time,
        instance=line.instance,
        part='',
        request='',
        event=event,
        error=error[:_MAX_ERROR_CHARS],
        stack=_last_lines(stack),
    )


def _last_lines(stack: str) -> tuple[str, ...]:
    return tuple(stack.splitlines()[-_MAX_STACK_LINES:])


def _first_of(fields: dict[str, Any], names: Iterable[str]) -> str:
    """Text of the first of these fields that is present; '' without any."""
    for name in names:
        if fields.get(name):
            return str(fields[name])
    return ''
