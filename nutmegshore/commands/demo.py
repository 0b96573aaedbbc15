"""Command that runs the demonstration."""

import logging
from typing import ClassVar

import structlog
from cleo.helpers import option
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import (
    BaseCommand,
    ExitCode,
    UsageError,
    text_option,
)
from nutmegshore.demo import DemoOptions, run_demo
from nutmegshore.settings import DEPLOYMENTS

__all__ = ('DemoCommand',)

_KNOWN = ', '.join(DEPLOYMENTS)
_MAX_CALLERS = 200
_MAX_SECONDS = 600


class DemoCommand(BaseCommand):
    """Runs a platform, upstreams, entries and callers in this process."""

    name = 'demo'
    description = 'Run a demonstration of a deployment on loopback.'
    help = (
        'The last line counts from the ledgers of upstreams and callers. The'
        ' exit code is 0 only if cut, doubled and over_cap are 0.'
    )
    options: ClassVar[list[Option]] = [
        text_option('deployment', f'One of {_KNOWN}.', 'vestfold'),
        text_option('seed', 'Seed of all draws.', '7'),
        text_option('seconds', 'Length of the load in seconds.', '20'),
        text_option('callers', 'Number of callers.', '24'),
        option('no-progress', None, 'Show the final table only.'),
    ]

    def run_command(self) -> int:
        """Run, and show progress and the final table."""
        deployment = self.option('deployment')
        if deployment not in DEPLOYMENTS:
            raise UsageError(f'{deployment}: expected one of {_KNOWN}')
        self._options = DemoOptions(
            deployment,
            self._read_number('seed', 0),
            self._read_number('seconds', 1, _MAX_SECONDS),
            self._read_number('callers', 1, _MAX_CALLERS),
            _show_nothing if self.option('no-progress') else self.show,
        )
        _silence_logs()
        return self.context.run(self._run)

    async def _run(self) -> int:
        report = await run_demo(self._options, self.context.clock)
        for line in report.lines:
            self.show(line)
        return ExitCode.SUCCESS if report.is_good else ExitCode.FAILURE

    def _read_number(
        self,
        name: str,
        least: int,
        largest: int | None = None,
    ) -> int:
        text = self.option(name)
        number = int(text) if text.isdecimal() else least - 1
        if number < least or (largest is not None and number > largest):
            bound = '' if largest is None else f' to {largest}'
            raise UsageError(
                f'--{name} {text}: expected a whole number from {least}{bound}',
            )
        return number


def _show_nothing(line: str) -> None:
    """Progress was not asked for."""


def _silence_logs() -> None:
    """Keep the last line last: log lines of nine entries are not shown."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
