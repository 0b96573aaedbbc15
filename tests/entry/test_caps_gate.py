"""Tests of the adapter between steering and caps."""

import asyncio
import random

import pytest

from nutmegshore.caps import Caps
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.entry.caps_gate import CapsGate
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore

_UNIT_BYTES = 65_536


@pytest.mark.parametrize(
    ('units', 'acquired'),
    [(0, 5), (1, 4), (3, 1), (5, 0)],
)
def test_a_cap_of_bytes_counts_the_length_of_bodies(
    units, acquired, table, declare
):
    """Guards against a byte cap that ignores the length of uploads."""

    async def session():
        clock = VirtualClock()
        peers = MemoryNetwork().join(Member('e1', 'west', 'west-a'), clock)
        spec = {
            'service': 'scans',
            'from_region': 'west',
            'to_region': 'south',
            'share': 1,
            'cap': 100,
            'cap_bytes': 4 * _UNIT_BYTES,
        }
        table.merge([declare('shift', 'm', spec)])
        platform = MemoryPlatform(MemoryStore(), clock)
        caps = Caps(table, platform, peers, clock, random.Random(7), Counters())
        await caps.start()
        await asyncio.sleep(30)
        gate = CapsGate(caps)
        size_bytes = units * _UNIT_BYTES
        results = [gate.try_acquire('shift', 'm', size_bytes) for _ in range(5)]
        await caps.stop()
        return sum(results)

    assert run_virtual(session) == acquired
