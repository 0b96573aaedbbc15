"""Tests of the detection of overloaded entries."""

import asyncio

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.entry.overload import OverloadWatch
from nutmegshore.peers import Member, MemoryNetwork

_DELAY_S = 0.5


def _watches():
    network = MemoryNetwork()
    watches = {}
    for name, region in (('e1', 'west'), ('e2', 'west'), ('e3', 'south')):
        clock = VirtualClock()
        peers = network.join(Member(name, region, region), clock)
        watches[name] = OverloadWatch(peers, clock, Counters())
    return watches


@pytest.mark.parametrize(('checks', 'names'), [(3, set()), (4, {'e1'})])
def test_an_overloaded_entry_is_reported_to_its_region(checks, names):
    """Guards against callers sent to a busy entry or moved by a short delay."""

    async def session():
        watches = _watches()
        for _ in range(checks):
            watches['e1'].record_delay(_DELAY_S)
        await asyncio.sleep(0.1)
        return [watch.overloaded() for watch in watches.values()]

    assert run_virtual(session) == [names, names, set()]


def test_an_entry_recovers_from_overload():
    """Guards against an entry that stays overloaded after its load ends."""

    async def session():
        watches = _watches()
        for delay_s in (_DELAY_S, 0):
            for _ in range(4):
                watches['e1'].record_delay(delay_s)
        await asyncio.sleep(0.1)
        return [watch.overloaded() for watch in watches.values()]

    assert run_virtual(session) == [set(), set(), set()]


def test_the_overload_of_a_dead_entry_expires():
    """Guards against a state that outlives the entry that reported it."""

    async def session():
        watches = _watches()
        for _ in range(4):
            watches['e1'].record_delay(_DELAY_S)
        await asyncio.sleep(4)
        return watches['e2'].overloaded()

    assert run_virtual(session) == set()
