"""What all commands share: options, exit codes and output."""

import abc
import asyncio
import enum
import json
import os
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, ClassVar

import attrs
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from nutmegshore.clock import Clock, SystemClock
from nutmegshore.errors import ErrorKind, NutmegshoreError, SettingsError
from nutmegshore.operators.client import OperatorClient
from nutmegshore.operators.http_client import HttpOperatorClient, Server

__all__ = (
    'BaseCommand',
    'ClientCommand',
    'REASON',
    'Context',
    'ExitCode',
    'UsageError',
    'text_option',
)

_DEFAULT_SERVER = 'http://127.0.0.1:8081'
_JSON = 'json'
_TABLE = 'table'


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    SUCCESS = 0
    FAILURE = 1
    INVALID = 2
    CONFLICT = 3
    NOT_REACHABLE = 4
    HELD_BACK = 5


_EXIT_CODES = MappingProxyType(
    {
        ErrorKind.INVALID_OBJECT: ExitCode.INVALID,
        ErrorKind.INVALID_SETTINGS: ExitCode.INVALID,
        ErrorKind.VERSION_CONFLICT: ExitCode.CONFLICT,
        ErrorKind.LINK_CLOSED: ExitCode.NOT_REACHABLE,
        ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.NOT_REACHABLE,
    }
)


class UsageError(Exception):
    """An option or a file of the command line is not as expected."""


Main = Callable[[], Awaitable[int]]


def _run(main: Main) -> int:
    return asyncio.run(_awaited(main))


async def _awaited(main: Main) -> int:
    return await main()


@attrs.frozen
class Context:
    """What commands take from outside; tests pass memory versions."""

    open_client: Callable[[Server], OperatorClient] = HttpOperatorClient
    run: Callable[[Main], int] = _run
    clock: Clock = attrs.field(factory=SystemClock)
    environ: Mapping[str, str] = os.environ


def text_option(
    name: str,
    description: str,
    default: str | None = None,
) -> Option:
    """Option with a value."""
    return option(name, None, description, flag=False, default=default)


REASON = text_option('reason', 'Why; logged and stored.', '')


class BaseCommand(Command):
    """A command that answers every error with its exit code."""

    def __init__(self, context: Context) -> None:
        """Remember the context."""
        super().__init__()
        self.context = context

    def handle(self) -> int:  # noqa: WPS110 - cleo calls this name
        """Run, and turn errors into a message and an exit code."""
        try:
            return self.run_command()
        except SettingsError as error:
            self.show_errors(error.faults)
            return ExitCode.INVALID
        except UsageError as error:
            self.show_errors([str(error)])
            return ExitCode.INVALID
        except NutmegshoreError as error:
            kind = error.kind.value
            self.show_errors([f'{kind}: {error}'])
            return _EXIT_CODES.get(error.kind, ExitCode.FAILURE)

    @abc.abstractmethod
    def run_command(self) -> int:
        """Do the work; returns the exit code."""

    def show(self, text: str) -> None:
        """Write a line as it is, without the markup of cleo."""
        self.io.write_line(text, type=Type.RAW)

    def show_errors(self, lines: list[str]) -> None:
        """Write lines to the error output as they are."""
        for line in lines:
            self.io.write_error_line(line, type=Type.RAW)


class ClientCommand(BaseCommand):
    """A command that asks an entry; its options name the entry."""

    options: ClassVar[list[Option]] = [
        text_option(
            'server',
            'URL of an operator listener (or NUTMEGSHORE_SERVER;'
            f' default {_DEFAULT_SERVER}).',
        ),
        text_option('token', 'Bearer token (or NUTMEGSHORE_TOKEN).'),
        text_option('ca', 'PEM file of the CA (or NUTMEGSHORE_CA).'),
        text_option(
            'certificate',
            'PEM file of the client certificate (or NUTMEGSHORE_CERTIFICATE).',
        ),
        text_option('key', 'PEM file of its key (or NUTMEGSHORE_KEY).'),
        option(
            'output',
            'o',
            'Form of the output: table or json.',
            flag=False,
            default=_TABLE,
        ),
    ]

    @abc.abstractmethod
    async def call(self, client: OperatorClient) -> int:
        """Do the work with a client; returns the exit code."""

    def run_command(self) -> int:
        """Open a client, call, and close the client."""
        if self.option('output') not in {_TABLE, _JSON}:
            raise UsageError('--output: expected table or json')
        return self.context.run(self._call_and_close)

    @property
    def is_json(self) -> bool:
        """Whether the output is for programs."""
        return self.option('output') == _JSON

    async def write_changed(
        self,
        client: OperatorClient,
        kind: str,
        name: str,
        spec: Any,
    ) -> Any:
        """Write an object unless it is so already; returns it.

        The write expects the generation that its dry run saw. Warnings go to
        the error output.
        """
        wish = {'kind': kind, 'name': name, 'spec': spec}
        found = await client.dry_run([wish])
        preview = found['previews'][0]
        self.show_errors(
            [f'warning: {warning}' for warning in preview['warnings']],
        )
        if preview['change'] == 'unchanged':
            return await client.get(kind, name)
        reason = self.option('reason')
        generation = preview['generation']
        return await client.write(kind, name, spec, generation, reason)

    def show_written(self, envelope: Any) -> None:
        """Write the object that a command declared."""
        if self.is_json:
            self.show_json(envelope)
            return
        self.show('{kind}/{name} generation {generation}'.format(**envelope))

    def show_rows(self, columns: tuple[str, ...], rows: list[Any]) -> None:
        """Write maps as a table with these columns, or whole as JSON."""
        if self.is_json:
            self.show_json(rows)
            return
        for line in _write_table(columns, rows):
            self.show(line)

    def show_json(self, fields: Any) -> None:
        """Write JSON, indented."""
        self.show(json.dumps(fields, indent=2, sort_keys=True))

    async def _call_and_close(self) -> int:
        client = self._open()
        try:
            code = await self.call(client)
        except BaseException:
            client.close()
            raise
        client.close()
        return code

    def _open(self) -> OperatorClient:
        server = Server(
            self._from_option('server') or _DEFAULT_SERVER,
            self._from_option('token'),
            self._from_option('ca'),
            self._from_option('certificate'),
            self._from_option('key'),
        )
        try:
            return self.context.open_client(server)
        except OSError as failure:
            raise UsageError(f'TLS files: {failure}') from failure

    def _from_option(self, name: str) -> str:
        upper = name.upper()
        inherited = self.context.environ.get(f'NUTMEGSHORE_{upper}', '')
        return self.option(name) or inherited


def _write_table(columns: tuple[str, ...], rows: list[Any]) -> list[str]:
    cells = [[_write_cell(row.get(name)) for name in columns] for row in rows]
    table = [[name.upper() for name in columns], *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    ]


def _write_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, str):
        return value
    if isinstance(value, list):
        return ', '.join(_write_cell(part) for part in value) or '-'
    if isinstance(value, dict):
        pairs = [f'{key}={_write_part(part)}' for key, part in value.items()]
        return ' '.join(pairs) or '-'
    return str(value)


def _write_part(value: Any) -> str:
    """Write a field's value in a cell, without spaces."""
    if isinstance(value, str):
        return value
    return json.dumps(value, separators=(',', ':'))
