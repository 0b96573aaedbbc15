"""Commands that read, write and delete objects."""

import asyncio
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import (
    REASON,
    ClientCommand,
    ExitCode,
    UsageError,
    text_option,
)
from nutmegshore.commands.preview import write_done
from nutmegshore.operators.client import OperatorClient

__all__ = ('DeleteCommand', 'GetCommand', 'WatchCommand')

_COLUMNS = ('kind', 'name', 'generation', 'author', 'reason', 'spec')


class GetCommand(ClientCommand):
    """Shows objects in force."""

    name = 'get'
    description = 'Show one object, the objects of a kind, or all.'
    arguments: ClassVar[list[Argument]] = [
        argument('kind', 'Kind, such as shift.', optional=True, default=''),
        argument('name', 'Name of one object.', optional=True, default=''),
    ]

    async def call(self, client: OperatorClient) -> int:
        """Read and show."""
        kind = self.argument('kind')
        name = self.argument('name')
        if kind and name:
            rows = [await client.get(kind, name)]
        else:
            rows = await client.iter_objects(kind)
        self.show_rows(_COLUMNS, rows)
        return ExitCode.SUCCESS


class DeleteCommand(ClientCommand):
    """Deletes one object."""

    name = 'delete'
    description = 'Delete one object.'
    arguments: ClassVar[list[Argument]] = [
        argument('kind', 'Kind, such as shift.'),
        argument('name', 'Name of the object.'),
    ]
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        text_option('generation', 'Delete only at this generation.'),
        REASON,
    ]

    async def call(self, client: OperatorClient) -> int:
        """Delete at the generation that is in force now or was given."""
        kind = self.argument('kind')
        name = self.argument('name')
        generation = self.option('generation')
        if generation is None:
            present = await client.get(kind, name)
            generation = present['generation']
        elif not generation.isdecimal():
            raise UsageError('--generation: expected a whole number')
        reason = self.option('reason')
        written = await client.write(kind, name, None, int(generation), reason)
        if self.is_json:
            self.show_json(written)
        else:
            self.show(write_done(written))
        return ExitCode.SUCCESS


class WatchCommand(ClientCommand):
    """Shows changes as they come in force."""

    name = 'watch'
    description = 'Show objects in force and then each change.'
    help = 'Runs until interrupted, or until --count lines were shown.'
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        text_option('after', 'Position to go on after.', ''),
        text_option('count', 'Lines to show; 0 for no end.', '0'),
    ]

    async def call(self, client: OperatorClient) -> int:
        """Watch on from the position of each answer."""
        if not self.option('count').isdecimal():
            raise UsageError('--count: expected a whole number')
        left = int(self.option('count')) or float('inf')
        after = self.option('after')
        while left > 0:
            found = await client.watch(after)
            after = found['position']
            left -= self._show_changes(found['envelopes'], left)
            # Lets an interrupt through where answers come at once.
            await asyncio.sleep(0)
        return ExitCode.SUCCESS

    def _show_changes(self, envelopes: list[Any], left: float) -> int:
        shown = envelopes[: min(len(envelopes), left)]
        for envelope in shown:
            if self.is_json:
                self.show_json(envelope)
            else:
                self.show(write_done(envelope))
        return len(shown)
