"""Commands that declare a drain or a shift."""

from collections.abc import Callable
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import (
    REASON,
    ClientCommand,
    ExitCode,
    UsageError,
    text_option,
)
from nutmegshore.commands.progress import DrainWatch
from nutmegshore.operators.client import OperatorClient
from nutmegshore.settings.readers import read_seconds

__all__ = ('DrainCommand', 'ShiftCommand')

_POLL_S = 1
_Reader = Callable[[str], float]
_TARGETS = ('region', 'availability_zone', 'upstream', 'entry')


def _read_number(command: ClientCommand, name: str, read: _Reader) -> Any:
    raw = command.option(name)
    try:
        return read(raw)
    except (TypeError, ValueError):
        raise UsageError(f'--{name} {raw}: expected a number') from None


class DrainCommand(ClientCommand):
    """Declares a drain and can wait for its end."""

    name = 'drain'
    description = 'Take a region, availability zone, upstream or entry out.'
    help = (
        'With --wait, the exit code is 0 when the drain is complete in every'
        ' region that reports it, and 5 when it was held back for --patience'
        ' seconds or not complete after --timeout seconds. The drain stays'
        ' declared either way. End it with: delete drain NAME.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('kind', 'One of {0}.'.format(', '.join(_TARGETS))),
        argument('name', 'Name of what to drain.'),
    ]
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        text_option('as', 'Name of the drain object; default KIND-NAME.'),
        option('wait', 'w', 'Wait until the drain is complete.'),
        text_option('timeout', 'Seconds to wait at most.', '600'),
        text_option('patience', 'Seconds that it may be held back.', '60'),
        REASON,
    ]

    async def call(self, client: OperatorClient) -> int:
        """Declare, and wait if asked to."""
        kind = self.argument('kind')
        target = self.argument('name')
        if kind not in _TARGETS:
            known = ', '.join(_TARGETS)
            raise UsageError(f'{kind}: expected one of {known}')
        progress = DrainWatch(
            self.context.clock.now(),
            _read_number(self, 'timeout', read_seconds),
            _read_number(self, 'patience', read_seconds),
        )
        name = self.option('as') or f'{kind}-{target}'
        spec = {kind: target}
        written = await self.write_changed(client, 'drain', name, spec)
        self.show_written(written)
        if not self.option('wait'):
            return ExitCode.SUCCESS
        return await self._wait(client, written, progress)

    async def _wait(
        self,
        client: OperatorClient,
        written: dict[str, Any],
        progress: DrainWatch,
    ) -> int:
        clock = self.context.clock
        code = None
        while code is None:
            statuses = await client.read_statuses('drain', written['name'])
            code = progress.judge(
                [
                    status
                    for status in statuses
                    if status['generation'] >= written['generation']
                ],
                clock.now(),
            )
            line = progress.take_line()
            if line and not self.is_json:
                self.show(line)
            if code is None:
                await clock.sleep(_POLL_S)
        return code


class ShiftCommand(ClientCommand):
    """Declares a shift."""

    name = 'shift'
    description = 'Move a share of a service from one region to another.'
    arguments: ClassVar[list[Argument]] = [
        argument('service', 'Name of the service.'),
        argument('from', 'Region that gives.'),
        argument('to', 'Region that receives.'),
    ]
    options: ClassVar[list[Option]] = [
        *ClientCommand.options,
        text_option('share', 'Part of the requests to move, 0 to 1.'),
        text_option('cap', 'Requests per second at most, all entries.'),
        text_option('cap-bytes', 'Bytes per second at most; 0 for none.', '0'),
        text_option('ramp', 'Seconds until the whole share moves.', '0'),
        text_option('lease', 'Seconds an entry may go on alone.', '600'),
        text_option('as', 'Name of the object; default SERVICE-FROM-TO.'),
        REASON,
    ]

    async def call(self, client: OperatorClient) -> int:
        """Write the shift."""
        spec = {
            'service': self.argument('service'),
            'from_region': self.argument('from'),
            'to_region': self.argument('to'),
            'share': _read_number(self, 'share', float),
            'cap': _read_number(self, 'cap', int),
            'cap_bytes': _read_number(self, 'cap-bytes', int),
            'ramp_seconds': _read_number(self, 'ramp', int),
            'lease_seconds': _read_number(self, 'lease', int),
        }
        default = '{service}-{from_region}-{to_region}'.format(**spec)
        name = self.option('as') or default
        written = await self.write_changed(client, 'shift', name, spec)
        self.show_written(written)
        return ExitCode.SUCCESS
