"""Four members link up, and the others notice that one has died."""

import asyncio
import random

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.peers import LinkNetwork, Member, MeshOptions, MeshPeers


async def session():
    network, members = LinkNetwork(), []
    names = ('e1', 'e2', 'e3', 'e4')

    async def read_list():
        return {name: name for name in names}

    for name in names:
        clock, rng = VirtualClock(), random.Random(name)
        member = Member(name, 'west', 'west-a')
        transport = network.join(member, clock)
        options = MeshOptions('demo', b'0123456789abcdef')
        outer = (clock, rng, Counters())
        members.append(MeshPeers(member, transport, options, read_list, outer))
        members[-1].start()
    await asyncio.sleep(10)
    before = len(members[0].live())
    network.kill('e4')
    await asyncio.sleep(20)
    return before, len(members[0].live())


print(run_virtual(session))
