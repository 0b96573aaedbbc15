"""Commands that read gateways' logs."""

import collections
import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from nutmegshore.commands.base import BaseCommand, ExitCode, UsageError
from nutmegshore.tracing import (
    LogRecord,
    Story,
    estimate_offsets,
    find_story,
    read_records,
    summarise,
)

__all__ = ('SummaryCommand', 'TraceCommand')

_FILES = argument(
    'files',
    'Log files of one or several instances; standard input without any.',
    multiple=True,
    optional=True,
)
_MS_PER_S = 1000


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
        _FILES,
    ]

    def run_command(self) -> int:
        """Print the story; exit code 1 if no line names the request."""
        records = _read_all(self.argument('files'))
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
    arguments: ClassVar[list[Argument]] = [_FILES]

    def run_command(self) -> int:
        """Print the counts, the most frequent first."""
        summary = summarise(_read_all(self.argument('files')))
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


def _read_all(paths: list[str]) -> list[LogRecord]:
    return list(read_records(_iter_lines(paths)))


def _top(counts: collections.Counter) -> list[tuple[Any, int]]:
    return counts.most_common()


def _iter_lines(paths: list[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding='utf-8')
        except OSError as failure:
            raise UsageError(f'{path}: {failure.strerror}') from failure
        yield from text.splitlines()


def _describe(record: LogRecord) -> str:
    pairs = ((name, json.dumps(one)) for name, one in record.fields.items())
    fields = ' '.join(f'{name}={text}' for name, text in pairs)
    return f'{record.event} {fields}'
