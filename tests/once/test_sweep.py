"""Tests of the removal of old records."""

import asyncio

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.once import OnceRecord, RecordState, RecordSweep
from nutmegshore.once.record import record_key, write_record
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore

_DAY_S = 86_400


def test_a_sweep_removes_only_what_is_older_than_a_day():
    """Guards against a key that is forgotten while callers may repeat it."""

    async def session():
        store = MemoryStore()
        clock = VirtualClock()
        platform = MemoryPlatform(store, clock)
        peers = MemoryNetwork().join(Member('e0', 'west', 'west-a'), clock)
        sweep = RecordSweep(platform, peers, clock, Counters())
        sweep.start()
        for day in range(4):
            key = record_key('orders', '', str(day))
            record = OnceRecord(RecordState.DONE, 'e0', 1, 'd', clock.wall())
            await platform.write(key, write_record(record), None, key)
            await asyncio.sleep(_DAY_S)
        kept = set(store.by_key)
        await sweep.stop()
        return kept

    kept = run_virtual(session)
    assert record_key('orders', '', '3') in kept
    assert record_key('orders', '', '0') not in kept
