"""Commands that read gateways' logs."""

import collections
import json
import pathlib
import sys
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from nutmegshore.commands.base import BaseCommand, ExitCode
from nutmegshore.commands.log_files import FILES, iter_lines, read_all
from nutmegshore.tracing import (
    LoggedFault,
    LogRecord,
    Story,
    estimate_offsets,
    find_story,
    read_faults,
    summarise,
)

__all__ = ('FaultsCommand', 'SummaryCommand', 'TraceCommand')

_MS_PER_S = 1000
#: Stands for what a log does not tell.
_UNKNOWN = '-'


class TraceCommand(BaseCommand):
    """Tells the story of a request."""

    name = 'trace'
    description = 'Tell what happened to a request, from logs of gateways.'
    help = (
        'Lines of one instance keep the order of its log. Clocks of instances '
        'are compared by changes of the store that all of them logged; the '
        'offset is shown.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('request', 'Id of the request.'),
        FILES,
    ]

    def run_command(self) -> int:
        """Print the story; exit code 1 if no line names the request."""
        records = read_all(self.argument('files'))
        request = self.argument('request')
        stories = find_story(records, request)
        offsets = estimate_offsets(records)
        for story in stories:
            self._show_story(story, offsets.get(story.instance, 0))
        if stories:
            return ExitCode.SUCCESS
        self.show(f'{request}: no line names it')
        return ExitCode.FAILURE

    def _show_story(self, story: Story, offset_s: float) -> None:
        offset_ms = round(offset_s * _MS_PER_S)
        self.show(' '.join(('request', story.request, 'at', story.instance)))
        clock = format(offset_ms, '+')
        self.show(f'  clock {clock} ms against the other instances')
        self.show('  believed at that moment:')
        for record in story.beliefs:
            age_s = story.ended_s - record.time_s
            described = _describe(record)
            age = format(age_s, '8.3f')
            self.show(f'    {age} s old  {described}')
        self.show('  what happened:')
        for record in story.lines:
            described = _describe(record)
            self.show(f'    {described}')


class SummaryCommand(BaseCommand):
    """Counts what logs tell."""

    name = 'log-summary'
    description = 'Count events, reasons and attempts in logs of gateways.'
    arguments: ClassVar[list[Argument]] = [FILES]

    def run_command(self) -> int:
        """Print the counts, the most frequent first."""
        summary = summarise(read_all(self.argument('files')))
        reasons = (
            (' '.join(key), count) for key, count in _top(summary.reasons)
        )
        ended = (
            (f'attempts ended with {result}', count)
            for result, count in _top(summary.attempts)
        )
        for text, count in (*_top(summary.events), *reasons, *ended):
            shown = format(count, '8')
            self.show(f'{shown} {text}')
        if summary.dropped:
            self.show(f'{summary.dropped} lines were not written')
        return ExitCode.SUCCESS


class FaultsCommand(BaseCommand):
    """Names the faults that logs tell of."""

    name = 'faults'
    description = 'List lines of level error and tracebacks in logs.'
    help = (
        'Reads logs of gateways and entries, also with a time and a name'
        ' before each line. The exit code is 1 if there is any fault.'
    )
    arguments: ClassVar[list[Argument]] = [FILES]

    def run_command(self) -> int:
        """Print the faults, then how often each came; 1 if there is any."""
        found = _read_faults(self.argument('files'))
        for fault in found:
            self._show_fault(fault)
        counts = collections.Counter(map(_cause_of, found))
        for cause, count in _top(counts):
            shown = format(count, '8')
            self.show(f'{shown} {cause}')
        if found:
            return ExitCode.FAILURE
        self.show('no fault')
        return ExitCode.SUCCESS

    def _show_fault(self, fault: LoggedFault) -> None:
        named = (fault.time, fault.instance, fault.part, fault.request)
        place = ' '.join(name or _UNKNOWN for name in named)
        self.show(f'{place} {fault.event}: {fault.error}')
        for line in fault.stack:
            self.show(f'    {line}')


def _cause_of(fault: LoggedFault) -> str:
    part = fault.part or _UNKNOWN
    return f'{part} {fault.error}'


def _read_faults(paths: list[str]) -> list[LoggedFault]:
    """Faults of all files; a file's name stands for a missing instance."""
    if not paths:
        return list(read_faults(sys.stdin))
    return [
        fault
        for path in paths
        for fault in read_faults(iter_lines([path]), pathlib.Path(path).stem)
    ]


def _top(counts: collections.Counter) -> list[tuple[Any, int]]:
    return counts.most_common()


def _describe(record: LogRecord) -> str:
    pairs = ((name, json.dumps(one)) for name, one in record.fields.items())
    fields = ' '.join(f'{name}={text}' for name, text in pairs)
    return f'{record.event} {fields}'
