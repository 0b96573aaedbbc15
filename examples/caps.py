"""Two entries keep one cap: the idle one lends its units to the busy one."""

import asyncio
import random

from nutmegshore.caps import Caps
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.resources import Envelope, Shift


async def session():
    store, network, entries = MemoryStore(), MemoryNetwork(), []
    spec = Shift('orders', 'west', 'south', share=1, cap=10)
    shift = Envelope('shift', 'move', 1, 'uid', 'ann', '', 'op', spec)
    for name in ('e1', 'e2'):
        clock, table = VirtualClock(), ConfigurationTable()
        peers = network.join(Member(name, 'west', 'west-a'), clock)
        platform = MemoryPlatform(store, clock)
        rng = random.Random(name)
        caps = Caps(table, platform, peers, clock, rng, Counters())
        table.merge([shift])
        await caps.start()
        entries.append(caps)
    for _ in range(300):
        entries[0].try_acquire('shift', 'move')
        await asyncio.sleep(0.1)
    return entries[0].status('shift', 'move')[0]


print(run_virtual(session))
