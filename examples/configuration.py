"""Three members spread a declared object while the platform is down."""

import asyncio
import random

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationFollower, ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.resources import Drain, Envelope


async def session():
    store, network, tables = MemoryStore(), MemoryNetwork(), []
    for name in ('e1', 'e2', 'e3'):
        clock, table = VirtualClock(), ConfigurationTable()
        peers = network.join(Member(name, 'west', 'west-a'), clock)
        outer = (clock, random.Random(name), Counters())
        platform = MemoryPlatform(store, clock)
        ConfigurationFollower(table, platform, peers, outer).start()
        tables.append(table)
    await asyncio.sleep(5)
    store.faults.is_down = True
    drain = Drain(upstream='orders-1')
    tables[0].merge([Envelope('drain', 'd', 1, 'u', 'ann', '', 'op', drain)])
    await asyncio.sleep(1)
    return [table.by_name(Drain)['d'].generation for table in tables]


print(run_virtual(session))
