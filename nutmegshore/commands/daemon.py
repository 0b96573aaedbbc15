"""Commands that run a daemon until it is told to stop."""

import asyncio
import signal
from collections.abc import Awaitable
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from nutmegshore.commands.base import BaseCommand, UsageError, text_option
from nutmegshore.entry import EntryDaemon
from nutmegshore.errors import SettingsError
from nutmegshore.faults import report_logged_faults
from nutmegshore.gateway.run import run_gateway
from nutmegshore.logs import configure_logs, get_logger
from nutmegshore.settings import EntrySettings, read_settings
from nutmegshore.store import MemoryStore
from nutmegshore.store.standin import make_standin

__all__ = ('EntryCommand', 'GatewayCommand', 'PlatformCommand')

_LOOPBACK = '127.0.0.1'
_MAX_PORT = 65_535


class EntryCommand(BaseCommand):
    """Runs an entry until SIGTERM or SIGINT; SIGHUP reads credentials."""

    name = 'entry'
    description = 'Run an entry daemon.'
    help = (
        'SIGTERM and SIGINT stop it. SIGHUP reads the settings again and takes'
        ' [operators] tokens, subjects and unauthenticated and the files of'
        ' [tls] from them; with a fault, everything stays as it was.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the INI file.'),
    ]

    def run_command(self) -> int:
        """Check the settings, run the daemon, and stop it on a signal."""
        path = self.argument('settings')
        settings = read_settings(path)
        configure_logs(settings.get('logs', 'form'))
        asyncio.run(_run_entry(settings, path))
        return 0


class GatewayCommand(BaseCommand):
    """Runs a gateway on the users' platform until SIGTERM or SIGINT."""

    name = 'gateway'
    description = "Run a gateway, the daemon on the users' platform."
    help = (
        'SIGTERM and SIGINT stop it within the grace time of the settings.'
        ' SIGHUP, or a change of the file, takes its bounds and seeds.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Path of the INI file.'),
    ]

    def run_command(self) -> int:
        """Check the settings, run the gateway, and stop it on a signal."""
        configure_logs()
        run_gateway(self.argument('settings'))
        return 0


class PlatformCommand(BaseCommand):
    """Runs the stand-in of the platform for trials; it keeps nothing."""

    name = 'platform-standin'
    description = 'Run a stand-in of the platform, for trials only.'
    help = (
        'Faults are set with PUT /faults, a JSON map of is_down, delay_s,'
        ' lost_answers and list_lag_s. GET /counts shows the calls.'
    )
    options: ClassVar[list[Option]] = [
        text_option('port', f'Port on {_LOOPBACK}.', '9000'),
    ]

    def run_command(self) -> int:
        """Serve an empty store on loopback until a signal."""
        port = self.option('port')
        if not (port.isdecimal() and int(port) <= _MAX_PORT):
            raise UsageError(f'--port {port}: expected a port')
        asyncio.run(_run_platform(int(port)))
        return 0


async def _run_entry(settings: EntrySettings, path: str) -> None:
    daemon = EntryDaemon(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_entry, daemon, path)
    with report_logged_faults(daemon.faults):
        await daemon.start()
        await _until_signal()
        await daemon.stop()


def reload_entry(daemon: EntryDaemon, path: str) -> None:
    """Read the settings again; with a fault, keep what was in use."""
    try:
        daemon.reload(read_settings(path))
    except SettingsError as error:
        get_logger('entry').error('reload_refused', faults=error.faults)


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
