"""The command line's list of commands."""

from typing import Any

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.io import IO

from nutmegshore import __version__
from nutmegshore.commands.apply import ApplyCommand
from nutmegshore.commands.base import Context, ExitCode
from nutmegshore.commands.daemon import (
    EntryCommand,
    GatewayCommand,
    PlatformCommand,
)
from nutmegshore.commands.demo import DemoCommand
from nutmegshore.commands.intents import DrainCommand, ShiftCommand
from nutmegshore.commands.local import (
    CheckCommand,
    ExampleCommand,
    ObjectsCommand,
    TokenCommand,
)
from nutmegshore.commands.logs import (
    FaultsCommand,
    SummaryCommand,
    TraceCommand,
)
from nutmegshore.commands.warmth import WarmthCommand
from nutmegshore.commands.objects import (
    DeleteCommand,
    GetCommand,
    WatchCommand,
)
from nutmegshore.commands.reports import ExplainCommand, StatusCommand

__all__ = ('COMMANDS', 'make_application')

COMMANDS = (
    ApplyCommand,
    CheckCommand,
    DeleteCommand,
    DemoCommand,
    DrainCommand,
    EntryCommand,
    ExampleCommand,
    ExplainCommand,
    FaultsCommand,
    GatewayCommand,
    GetCommand,
    ObjectsCommand,
    PlatformCommand,
    ShiftCommand,
    StatusCommand,
    SummaryCommand,
    TokenCommand,
    TraceCommand,
    WarmthCommand,
    WatchCommand,
)


class _Application(Application):
    """Answers a wrong command line with the exit code for invalid input."""

    def __init__(self) -> None:
        super().__init__('nutmegshore', __version__)
        self.auto_exits(auto_exits=False)
        self._is_misused = False

    def render_error(self, error: Exception, io: IO) -> None:
        """Show an error, and remember whether the command line is at fault."""
        self._is_misused = isinstance(error, CleoError)
        super().render_error(error, io)

    def run(self, *streams: Any) -> int:
        """Run a command; returns its exit code."""
        self._is_misused = False
        code = super().run(*streams)
        return ExitCode.INVALID if self._is_misused else code


def make_application(context: Context | None = None) -> Application:
    """Application with every command."""
    application = _Application()
    for command in COMMANDS:
        application.add(command(context or Context()))
    return application
