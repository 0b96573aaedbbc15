"""Tests of the watch for busy entries."""

import asyncio

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.entry.overload import OverloadWatch
from nutmegshore.peers import Member, MemoryNetwork

_LATE_S = 0.5


def _watches():
    network = MemoryNetwork()
    watches = {}
    for name, region in (('e1', 'west'), ('e2', 'west'), ('e3', 'south')):
        clock = VirtualClock()
        peers = network.join(Member(name, region, region), clock)
        watches[name] = OverloadWatch(peers, clock, Counters())
    return watches


@pytest.mark.parametrize(('checks', 'names'), [(3, set()), (4, {'e1'})])
def test_a_busy_entry_is_known_in_its_region(checks, names):
    """Guards against callers sent to a busy entry, or moved by a blip."""

    async def session():
        watches = _watches()
        for _ in range(checks):
            watches['e1'].record_delay(_LATE_S)
        await asyncio.sleep(0.1)
        return [watch.overloaded() for watch in watches.values()]

    assert run_virtual(session) == [names, names, set()]


def test_a_busy_entry_comes_back():
    """Guards against an entry that stays out after its load has gone."""

    async def session():
        watches = _watches()
        for late_s in (_LATE_S, 0):
            for _ in range(4):
                watches['e1'].record_delay(late_s)
        await asyncio.sleep(0.1)
        return [watch.overloaded() for watch in watches.values()]

    assert run_virtual(session) == [set(), set(), set()]


def test_a_busy_entry_that_died_is_forgotten():
    """Guards against a state that nobody can take back."""

    async def session():
        watches = _watches()
        for _ in range(4):
            watches['e1'].record_delay(_LATE_S)
        await asyncio.sleep(4)
        return watches['e2'].overloaded()

    assert run_virtual(session) == set()
