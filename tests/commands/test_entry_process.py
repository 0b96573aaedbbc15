"""Tests of an entry's process."""

import asyncio

import pytest

from nutmegshore.commands import daemon as commands
from nutmegshore.counters import Counters
from nutmegshore.faults import Faults


class _Daemon:
    """A daemon with a fault in a timer of its start."""

    def __init__(self, counters):
        self.faults = Faults(counters)

    async def start(self):
        asyncio.get_running_loop().call_later(0, self._fail)
        await asyncio.sleep(0.01)

    async def stop(self):
        await asyncio.sleep(0)

    def _fail(self):
        raise ZeroDivisionError('of a test')


async def _stop_at_once():
    await asyncio.sleep(0)


@pytest.mark.expects_faults
def test_the_process_of_an_entry_reports_its_loop(monkeypatch, capsys):
    """Guards against a process whose event loop reports to nobody
    (issue 47)."""
    counters = Counters()
    monkeypatch.setattr(commands, 'EntryDaemon', lambda _: _Daemon(counters))
    monkeypatch.setattr(commands, '_until_signal', _stop_at_once)
    asyncio.run(commands._run_entry(None, ''))
    assert counters.total('internal_faults', part='asyncio') == 1
    assert 'internal_fault' in capsys.readouterr().out
