"""Entry point of `python -m nutmegshore.gateway`."""

import asyncio
import os
import signal
import sys

from nutmegshore.errors import SettingsError
from nutmegshore.gateway.daemon import GatewayDaemon, make_outside
from nutmegshore.gateway.settings import read_settings
from nutmegshore.logs import configure_logs

_SETTINGS_PATH = 'NUTMEGSHORE_NODE_FILE'
_INVALID_SETTINGS = 2


async def _run(path: str) -> None:
    with open(path, encoding='utf-8') as settings_file:
        settings = read_settings(settings_file.read())
    daemon = GatewayDaemon(settings, make_outside(settings))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _pass)
    start = asyncio.ensure_future(daemon.start())
    stopped = asyncio.ensure_future(stop.wait())
    await asyncio.wait((start, stopped), return_when=asyncio.FIRST_COMPLETED)
    if start.done():
        start.result()
    await stopped
    start.cancel()
    await daemon.stop()


def _pass() -> None:
    """Keep running."""


def main() -> int:
    """Run the gateway until a signal stops it; returns the exit code."""
    configure_logs()
    try:
        asyncio.run(_run(os.environ[_SETTINGS_PATH]))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _INVALID_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
