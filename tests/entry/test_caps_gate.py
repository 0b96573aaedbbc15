"""Tests of caps as the gate of steering."""

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
    ('units', 'taken'),
    [(0, 5), (1, 4), (3, 1), (5, 0)],
)
def test_a_cap_of_bytes_counts_the_length_of_bodies(
    units, taken, table, declare
):
    """Guards against uploads that pass a byte cap as if they were empty."""

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
        found = [gate.try_acquire('shift', 'm', size_bytes) for _ in range(5)]
        await caps.stop()
        return sum(found)

    assert run_virtual(session) == taken
