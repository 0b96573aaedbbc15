"""Command that writes the objects of a file."""

from typing import Any, ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import (
    REASON,
    ClientCommand,
    ExitCode,
    UsageError,
)
from nutmegshore.commands.manifest import read_manifest
from nutmegshore.commands.preview import list_faults, write_done, write_preview
from nutmegshore.operators.client import OperatorClient

__all__ = ('ApplyCommand',)


class ApplyCommand(ClientCommand):
    """Writes the objects of a file, after showing what changes."""

    name = 'apply'
    description = 'Write the objects of a JSON file.'
    help = (
        'The file holds one object or a list of objects with kind, name and'
        ' spec; spec null deletes. A generation in an object is the one it'
        ' must have now; without it, the one that the dry run saw. What'
        ' changes is shown first. A fault in any object writes nothing. The'
        ' objects are written in their order, up to the first that fails.'
    )
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        option('file', 'f', 'Path of the file, - for input.', flag=False),
        option('dry-run', None, 'Show what would change, write nothing.'),
        REASON,
    ]

    async def call(self, client: OperatorClient) -> int:
        """Preview all objects, then write those that change."""
        if not self.option('file'):
            raise UsageError('-f: expected the path of a file')
        wishes = read_manifest(self.option('file'))
        found = await client.dry_run(wishes)
        self._show_preview(found)
        if list_faults(found):
            self.show_errors(list_faults(found))
            return ExitCode.INVALID
        if self.option('dry-run'):
            return ExitCode.SUCCESS
        pairs = list(zip(wishes, found['previews'], strict=True))
        changing = [pair for pair in pairs if pair[1]['change'] != 'unchanged']
        while changing:
            await self._write(client, *changing.pop(0))
        return ExitCode.SUCCESS

    def _show_preview(self, found: dict[str, Any]) -> None:
        if self.is_json:
            self.show_json(found)
            return
        for line in write_preview(found):
            self.show(line)

    async def _write(
        self,
        client: OperatorClient,
        wish: dict[str, Any],
        preview: dict[str, Any],
    ) -> None:
        written = await client.write(
            wish['kind'],
            wish['name'],
            wish.get('spec'),
            wish.get('generation', preview['generation']),
            self.option('reason') or wish.get('reason', ''),
        )
        if not self.is_json:
            self.show(write_done(written))
