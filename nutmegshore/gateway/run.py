"""Runs a gateway as a process: signals and reloads of its settings."""

import asyncio
import pathlib
import signal

from nutmegshore.errors import SettingsError
from nutmegshore.gateway.assembly import GatewayDependencies
from nutmegshore.gateway.daemon import GatewayDaemon
from nutmegshore.gateway.process_dependencies import make_dependencies
from nutmegshore.gateway.settings import GatewaySettings, read_settings

__all__ = ('SETTINGS_VARIABLE', 'run_gateway')

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'NUTMEGSHORE_NODE_FILE'
#: Seconds between polls of the settings file, which may change without a
#: signal.
_POLL_INTERVAL_S = 1
#: Name of this part in reports of faults.
_PART = 'settings'


def run_gateway(path: str) -> None:
    """Run a gateway until SIGTERM or SIGINT; raises `SettingsError`.

    SIGHUP, and a settings file with other contents, reload the settings.
    """
    asyncio.run(_Process(pathlib.Path(path)).run())


class _Process:
    """A daemon and its settings file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._text = ''
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()

    async def run(self) -> None:
        """Start, wait for a signal, and stop."""
        daemon = GatewayDaemon(*self._read_initial_settings())
        self._handle_signals()
        start = asyncio.ensure_future(daemon.start())
        watch = asyncio.ensure_future(self._watch_settings(daemon))
        stopped = asyncio.ensure_future(self._stop.wait())
        await asyncio.wait(
            (start, stopped),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if start.done():
            start.result()
        await stopped
        start.cancel()
        watch.cancel()
        await daemon.stop()

    def _read_initial_settings(
        self,
    ) -> tuple[GatewaySettings, GatewayDependencies]:
        self._text = self._path.read_text(encoding='utf-8')
        settings = read_settings(self._text)
        return settings, make_dependencies(settings)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def _watch_settings(self, daemon: GatewayDaemon) -> None:
        while True:
            is_requested = await _wait_for(self._reload, _POLL_INTERVAL_S)
            self._reload.clear()
            with daemon.faults.contain(_PART):
                self._check_settings(daemon, is_requested=is_requested)

    def _check_settings(
        self, daemon: GatewayDaemon, *, is_requested: bool
    ) -> None:
        """Reload the settings if they changed or a signal requested it."""
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as failure:
            daemon.report_reload(f'settings file: {failure}')
            return
        if text == self._text and not is_requested:
            return
        self._text = text
        try:
            settings = read_settings(text)
        except SettingsError as error:
            daemon.report_reload(str(error))
            return
        daemon.reload(settings)


async def _wait_for(event: asyncio.Event, within_s: float) -> bool:
    try:
        async with asyncio.timeout(within_s):
            return await event.wait()
    except TimeoutError:
        return False
