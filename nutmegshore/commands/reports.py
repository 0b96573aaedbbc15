"""Commands that show what the system does and why."""

import datetime
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import ClientCommand, ExitCode, text_option
from nutmegshore.operators.client import OperatorClient

__all__ = ('ExplainCommand', 'StatusCommand')

_STATUS_COLUMNS = (
    'kind',
    'name',
    'region',
    'generation',
    'in_force_since',
    'in_force_at',
    'done',
    'progress',
    'held_back_by',
    'conflicts',
    'problems',
)


class StatusCommand(ClientCommand):
    """Shows the status of objects by region."""

    name = 'status'
    description = 'Show since when and where objects are in force.'
    arguments: ClassVar[list[Argument]] = [
        argument('kind', 'Kind, such as shift.', optional=True, default=''),
        argument('name', 'Name of one object.', optional=True, default=''),
    ]

    async def call(self, client: OperatorClient) -> int:
        """Read and show; nothing found for one object is a failure."""
        kind = self.argument('kind')
        name = self.argument('name')
        rows = await client.read_statuses(kind, name)
        if name and not rows:
            self.show_errors([f'not_found: no status of {kind}/{name}'])
            return ExitCode.FAILURE
        if not self.is_json:
            rows = [_with_time(row) for row in rows]
        self.show_rows(_STATUS_COLUMNS, rows)
        return ExitCode.SUCCESS


class ExplainCommand(ClientCommand):
    """Shows where requests go and which objects put them there."""

    name = 'explain'
    description = 'Show where requests go, and the objects behind it.'
    arguments: ClassVar[list[Argument]] = [
        argument('service', 'One service.', optional=True, default=''),
    ]
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        text_option('region', 'Region of the callers.', ''),
    ]

    async def call(self, client: OperatorClient) -> int:
        """Read and show, one line per region in order."""
        service = self.argument('service')
        found = await client.explain(service, self.option('region'))
        if self.is_json:
            self.show_json(found)
            return ExitCode.SUCCESS
        for explanation in found:
            self.show(
                '{service} for callers in {region}:'.format(**explanation)
            )
            for place in explanation['regions']:
                self.show(_write_place(place))
        return ExitCode.SUCCESS


def _write_place(place: dict[str, Any]) -> str:
    pairs = ', '.join(
        f'{key}={value}' for key, value in place.items() if key != 'origins'
    )
    origins = ', '.join(
        '{kind}/{name} generation {generation} by {author}'.format(**origin)
        for origin in place.get('origins', ())
    )
    return f'  {pairs} because of {origins}' if origins else f'  {pairs}'


def _with_time(row: dict[str, Any]) -> dict[str, Any]:
    since_s = row['in_force_since']
    if not since_s:
        return {**row, 'in_force_since': None}
    since = datetime.datetime.fromtimestamp(since_s, datetime.UTC)
    shown = since.strftime('%Y-%m-%dT%H:%M:%SZ')
    return {**row, 'in_force_since': shown}
