"""Tests of reloads of the settings of a gateway process."""

import asyncio
import contextlib

import pytest

from nutmegshore.counters import Counters
from nutmegshore.faults import Faults
from nutmegshore.gateway.run import _Process
from nutmegshore.gateway.settings_watch import SettingsWatch

_PATIENCE_S = 20


class _Daemon:
    """Records reloads; the first settings that it gets fail."""

    def __init__(self):
        self.reported = []
        self.checks = 0

    def report_reload(self, fault):
        self.reported.append(fault)
        self.checks += 1
        if self.checks == 1:
            raise ZeroDivisionError('of a test')


@pytest.mark.expects_faults
def test_a_fault_in_a_reload_ends_no_watch(tmp_path):
    """Guards against a gateway that heeds no SIGHUP any more, silently, after
    a fault in one reload."""
    daemon = _Daemon()

    async def session():
        path = tmp_path / 'missing'
        process = _Process(path)
        watched = SettingsWatch(path, '', daemon, Faults(Counters()))
        watch = asyncio.ensure_future(process._watch(watched))
        for count in (1, 2):
            process._reload.set()
            async with asyncio.timeout(_PATIENCE_S):
                while daemon.checks < count and not watch.done():
                    await asyncio.sleep(0.01)
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch

    asyncio.run(session())
    assert daemon.checks > 1
