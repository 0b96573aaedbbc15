"""A model of gateways that follow changes of the store, on virtual time."""

import asyncio
import contextlib
import json
from collections.abc import Callable, Iterable

from bench.cut_platform import CutPlatform
from bench.following_gateway import (
    PREFIX,
    REGIONS,
    FollowingGateway,
    build_gateway,
)
from nutmegshore.clock import VirtualClock
from nutmegshore.gateway.log import EventLog
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import Expected, MemoryPlatform, MemoryStore

__all__ = ('ChangeFleet',)

_REGION_DELAY_S = 0.055
_POLL_S = 0.02
#: Seconds within which members agree that one of them is dead.
_DEATH_NOTICED_S = 4
#: Seconds after which an upstream that is in use counts as never left alone.
_GIVE_UP_S = 30

_MakeLog = Callable[[VirtualClock], EventLog]


class ChangeFleet:
    """A store, its upstreams, and gateways in three regions.

    Upstreams must be left alone within `drain_s` seconds.

        fleet = ChangeFleet(make_log, count=90, drain_s=3, stack=stack)
        await fleet.register('u1')
        fleet.remove('u1')
        await fleet.seconds_in_use('u1')
    """

    def __init__(
        self,
        make_log: _MakeLog,
        count: int,
        drain_s: float,
        stack: contextlib.ExitStack,
    ) -> None:
        """Start `count` gateways, which `stack` stops."""
        self.store = MemoryStore()
        self.drain_s = drain_s
        self.network = MemoryNetwork()
        self.by_name: dict[str, FollowingGateway] = {}
        self._make_log = make_log
        self._stack = stack
        self._operator = MemoryPlatform(self.store, VirtualClock())
        west, north, south = REGIONS
        self.network.set_delay(west, north, _REGION_DELAY_S)
        self.network.set_delay(west, south, _REGION_DELAY_S)
        self.network.set_delay(north, south, _REGION_DELAY_S)
        for index in range(count):
            self.start('g{0:02}'.format(index))

    def start(self, name: str) -> None:
        """Start a gateway, or start it again without what it knew."""
        before = self.by_name.get(name)
        if before is not None:
            before.stop()
        region = REGIONS[int(name[1:]) % len(REGIONS)]
        gateway = self._build(name, region)
        self.by_name[name] = gateway
        self._stack.callback(gateway.stop)
        gateway.start()

    def kill(self, name: str) -> None:
        """Stop a gateway without notice; its peers notice some time later."""
        self.by_name.pop(name).stop()
        for other in self.by_name:
            self.network.partition(name, other)
        loop = asyncio.get_running_loop()
        loop.call_later(_DEATH_NOTICED_S, self.network.leave, name)

    def aggregators(self, *regions: str) -> list[FollowingGateway]:
        """Gateways that collect the reports of regions."""
        peers = next(iter(self.by_name.values())).peers
        return [
            self.by_name[name]
            for region in regions
            for name in peers.aggregators(region)
            if name in self.by_name
        ]

    def gateways(self, region: str) -> list[FollowingGateway]:
        """Gateways of a region."""
        return [
            one
            for one in self.by_name.values()
            if one.peers.local.region == region
        ]

    async def register(
        self,
        name: str,
        state: str = 'ready',
        region: str = 'west',
        cold_s: float = 0,
    ) -> None:
        """Write an entry as an upstream does."""
        spec = {
            'Addr': '10.0.0.9:80',
            'born': 1,
            'Info': {'Service': 'orders', 'Zone': f'{region}-a', 'Slots': 3},
            'Status': {'State': state, 'Sequence': 1, 'ColdLeftS': cold_s},
        }
        present = self.store.by_key.get(PREFIX + name)
        expected = Expected.of(present) if present else None
        body = json.dumps({'Spec': spec}).encode()
        operation = f'{state} {cold_s}'
        await self._operator.write(PREFIX + name, body, expected, operation)

    def remove(self, name: str) -> None:
        """Remove an entry, which a store that is away may do as well."""
        present = self.store.by_key[PREFIX + name]
        self.store.discard(present.key, Expected.of(present))

    async def leave(self, name: str, how: str) -> None:
        """Let an upstream leave in one of the two ways."""
        if how == 'removed':
            self.remove(name)
        else:
            await self.register(name, 'draining')

    async def seconds_in_use(
        self, name: str, except_for: Iterable[FollowingGateway] = ()
    ) -> float:
        """Seconds from now until no other gateway uses an upstream.

        At most 30, which mean that some gateway goes on using it.
        """
        began_at = _now()
        bound = set(self.by_name.values()).difference(except_for)
        while _now() - began_at < _GIVE_UP_S:
            if not any(one.uses(name) for one in bound):
                break
            await asyncio.sleep(_POLL_S)
        return _now() - began_at

    def _build(self, name: str, region: str) -> FollowingGateway:
        clock = VirtualClock()
        peers = self.network.join(Member(name, region, f'{region}-a'), clock)
        platform = CutPlatform(self.store, clock)
        log = self._make_log(clock)
        return build_gateway(peers, platform, log, clock, self.drain_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
