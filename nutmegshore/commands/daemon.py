"""Commands that run a daemon until it is told to stop."""

import asyncio
import signal
from collections.abc import Awaitable
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from nutmegshore.entry import EntryDaemon
from nutmegshore.errors import SettingsError
from nutmegshore.logs import configure_logs
from nutmegshore.platform import MemoryStore, make_standin
from nutmegshore.settings import EntrySettings, read_settings

__all__ = ('EntryCommand', 'PlatformCommand')

_EXIT_INVALID = 2
_LOOPBACK = '127.0.0.1'


class EntryCommand(Command):
    """Runs an entry until SIGTERM or SIGINT."""

    name = 'entry'
    description = 'Run an entry daemon.'
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the INI file.'),
    ]

    def handle(self) -> int:  # noqa: WPS110 - cleo calls this name
        """Check the settings, run the daemon, and stop it on a signal."""
        try:
            settings = read_settings(self.argument('settings'))
        except SettingsError as error:
            self.line_error(str(error))
            return _EXIT_INVALID
        configure_logs(settings.get('logs', 'form'))
        asyncio.run(_run_entry(settings))
        return 0


class PlatformCommand(Command):
    """Runs the stand-in of the platform for trials; it keeps nothing."""

    name = 'platform-standin'
    description = 'Run a stand-in of the platform, for trials only.'
    options: ClassVar[list[Option]] = [
        option('port', None, 'Port on 127.0.0.1.', flag=False, default='9000'),
    ]

    def handle(self) -> int:  # noqa: WPS110 - cleo calls this name
        """Serve an empty store on loopback until a signal."""
        asyncio.run(_run_platform(int(self.option('port'))))
        return 0


async def _run_entry(settings: EntrySettings) -> None:
    daemon = EntryDaemon(settings)
    await daemon.start()
    await _until_signal()
    await daemon.stop()


async def _run_platform(port: int) -> None:
    server = make_standin(MemoryStore()).listen(port, _LOOPBACK)
    await _until_signal()
    server.stop()


def _until_signal() -> Awaitable[bool]:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped.wait()
