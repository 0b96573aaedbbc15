"""Runs a gateway as a process: signals and reloads of its settings."""

import asyncio
import pathlib
import signal

from nutmegshore.faults import report_logged_faults
from nutmegshore.gateway.daemon import GatewayDaemon
from nutmegshore.gateway.process_dependencies import make_dependencies
from nutmegshore.gateway.settings import read_settings
from nutmegshore.gateway.settings_watch import SettingsWatch

__all__ = ('SETTINGS_VARIABLE', 'run_gateway')

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'NUTMEGSHORE_NODE_FILE'
#: Seconds between polls of the settings file, which may change without a
#: signal.
_POLL_INTERVAL_S = 1


def run_gateway(path: str) -> None:
    """Run a gateway until SIGTERM or SIGINT; raises `SettingsError`.

    SIGHUP, and a settings file with other contents, reload the settings.
    """
    asyncio.run(_Process(pathlib.Path(path)).run())


class _Process:
    """A daemon, its settings file and its signals."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()

    async def run(self) -> None:
        """Start, wait for a signal, and stop."""
        text = self._path.read_text(encoding='utf-8')
        settings = read_settings(text)
        dependencies = make_dependencies(settings)
        daemon = GatewayDaemon(settings, dependencies)
        settings_watch = SettingsWatch(
            self._path, text, daemon, dependencies.log.faults
        )
        with report_logged_faults(dependencies.log.faults):
            await self._run(daemon, settings_watch)

    async def _run(
        self, daemon: GatewayDaemon, settings_watch: SettingsWatch
    ) -> None:
        self._handle_signals()
        start = asyncio.ensure_future(daemon.start())
        watch = asyncio.ensure_future(self._watch(settings_watch))
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

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def _watch(self, settings_watch: SettingsWatch) -> None:
        while True:
            is_requested = await _wait_for(self._reload, _POLL_INTERVAL_S)
            self._reload.clear()
            settings_watch.check(is_requested=is_requested)


async def _wait_for(event: asyncio.Event, within_s: float) -> bool:
    try:
        async with asyncio.timeout(within_s):
            return await event.wait()
    except TimeoutError:
        return False
