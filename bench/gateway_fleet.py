"""The peering of many gateways on virtual time, without callers."""

import asyncio
import collections
import random
import time

import attrs

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.clock import VirtualClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.crashes import QuarantineDependencies, make_quarantine
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.log import EventLog, LineWriter
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import (
    LinkNetwork,
    Member,
    MeshOptions,
    MeshPeers,
    first_incarnation,
)

__all__ = ('Fleet', 'Load')

_REGIONS = ('west', 'north', 'south')
_NEAR_S = 0.001
_FAR_S = 0.055
_MAX_SHIFT = 0.15
_SEED_BITS = 64
_STDERR = 2
#: Upstreams of the whole fleet that have requests in flight, per gateway.
_UPSTREAMS_PER_GATEWAY = 2
_BUSY_UPSTREAMS = 8


@attrs.frozen
class Load:
    """What a span of a session cost, per gateway and second.

    `core` is processor time on this machine as a part of one core, for the
    whole process that plays the session.
    """

    core: float
    messages: float
    sent_bytes: float
    most_messages: float


@attrs.define(eq=False)
class _Gateway:
    peers: MeshPeers
    peering: Peering
    balancer: Balancer
    task: asyncio.Task


class Fleet:
    """Gateways with links, membership and reports, and nothing else.

    fleet = Fleet(87, seed=7)
    fleet.start()
    load = await fleet.measure(5)
    """

    def __init__(self, size: int, seed: int) -> None:
        """Name the gateways and put them into three regions."""
        self.by_name: dict[str, _Gateway] = {}
        self.network = LinkNetwork()
        self._rng = random.Random(seed)
        self._names = ['g{0:03}'.format(index) for index in range(size)]
        for one in _REGIONS:
            for other in _REGIONS:
                delay_s = _NEAR_S if one == other else _FAR_S
                self.network.set_delay(one, other, delay_s)

    def start(self) -> None:
        """Start all at once."""
        for name in self._names:
            self.by_name[name] = self._build(name)

    def set_busy(self) -> None:
        """Give every gateway requests in flight at a few upstreams."""
        count = _UPSTREAMS_PER_GATEWAY * len(self._names)
        for gateway in self.by_name.values():
            table = gateway.balancer.candidate_builder.load
            for _ in range(_BUSY_UPSTREAMS):
                name = 'i-{0:08x}'.format(self._rng.randrange(count))
                table.get(name).in_flight = 1

    async def kill(self, names: list[str]) -> None:
        """End gateways without a sign."""
        await asyncio.gather(*[self._kill(name) for name in names])

    async def stop(self) -> None:
        """End all gateways."""
        await self.kill(list(self.by_name))

    async def measure(self, seconds: float) -> Load:
        """Let some seconds pass, and say what they cost."""
        before = collections.Counter(self.network.sent_messages)
        size = sum(self.network.sent_bytes.values())
        started = time.process_time()
        await asyncio.sleep(seconds)
        spent_s = time.process_time() - started
        sent = collections.Counter(self.network.sent_messages)
        sent.subtract(before)
        grown = sum(self.network.sent_bytes.values()) - size
        shares = len(self.by_name) * seconds
        return Load(
            spent_s / shares,
            sent.total() / shares,
            grown / shares,
            max(sent.values(), default=0) / seconds,
        )

    async def _kill(self, name: str) -> None:
        gateway = self.by_name.pop(name)
        self.network.kill(name)
        gateway.task.cancel()
        await gateway.peers.stop()

    def _build(self, name: str) -> _Gateway:
        outer = _Outer.make(name, self._rng)
        local = self._place(name, outer.rng)
        peers = MeshPeers(
            local,
            self.network.join(local, outer.clock),
            MeshOptions('bench', b'key', size_hint=len(self._names)),
            self._read_seeds,
            (outer.clock, outer.rng, outer.counters),
        )
        balancer = self._make_balancer(local, outer)
        peering = Peering(_make_dependencies(peers, balancer, outer), ())
        peering.is_ready = True
        peers.start()
        task = asyncio.ensure_future(peering.run())
        return _Gateway(peers, peering, balancer, task)

    def _place(self, name: str, rng: random.Random) -> Member:
        index = self._names.index(name)
        region = _REGIONS[index % len(_REGIONS)]
        zone = '{0}-{1}'.format(region, 'ab'[index // len(_REGIONS) % 2])
        return Member(name, region, zone, first_incarnation(rng))

    def _make_balancer(self, local: Member, outer: '_Outer') -> Balancer:
        around = BalancerDependencies(
            outer.clock,
            outer.rng,
            local.name,
            local.region,
            lambda _: self._names,
            _MAX_SHIFT,
        )
        return Balancer(FleetState(outer.clock), around)

    async def _read_seeds(self) -> dict[str, str]:
        return {name: name for name in self._names}


@attrs.frozen
class _Outer:
    """What the parts of one gateway share."""

    clock: VirtualClock
    rng: random.Random
    counters: Counters
    log: EventLog

    @classmethod
    def make(cls, name: str, rng: random.Random) -> '_Outer':
        clock = VirtualClock()
        counters = Counters()
        log = EventLog(LineWriter(_STDERR), name, clock, counters, 0)
        own = random.Random(rng.getrandbits(_SEED_BITS))
        return cls(clock, own, counters, log)


def _make_dependencies(
    peers: MeshPeers,
    balancer: Balancer,
    outer: _Outer,
) -> PeeringDependencies:
    state = FleetState(outer.clock)
    quarantine = make_quarantine(
        QuarantineDependencies(
            peers,
            state,
            balancer,
            outer.clock,
            outer.counters,
            outer.log,
        ),
    )
    return PeeringDependencies(
        peers,
        balancer,
        quarantine,
        outer.clock,
        outer.rng,
        outer.counters,
        outer.log,
        LeavingUpstreams(state, outer.log, outer.counters),
        CustomerQuotas(
            outer.clock, outer.rng, balancer.candidate_builder.members
        ),
    )
