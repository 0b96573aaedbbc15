"""The log files that a command line names."""

import pathlib
import sys
from collections.abc import Iterator

from cleo.helpers import argument

from nutmegshore.commands.base import UsageError
from nutmegshore.tracing import LogRecord, read_records

__all__ = ('FILES', 'iter_lines', 'read_all')

#: The argument that names the files.
FILES = argument(
    'files',
    'Log files of one or several instances; standard input without any.',
    multiple=True,
    optional=True,
)


def read_all(paths: list[str]) -> list[LogRecord]:
    """Read the events of all files, or of standard input without any."""
    return list(read_records(iter_lines(paths)))


def iter_lines(paths: list[str]) -> Iterator[str]:
    """Yield the lines of all files; raise `UsageError` if one is missing."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            text = pathlib.Path(path).read_text('utf-8', errors='replace')
        except OSError as failure:
            raise UsageError(f'{path}: {failure.strerror}') from failure
        yield from text.splitlines()
