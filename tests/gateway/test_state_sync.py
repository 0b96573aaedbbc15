"""Tests of following the store through aggregators, on virtual time."""

import asyncio
import collections
import contextlib
import random

import attrs
import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.follower import FollowerContext, KindFollower, Replica
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.quarantine import Quarantine
from nutmegshore.store import Expected, MemoryPlatform, MemoryStore

_PREFIX = 'servers/'
#: Seconds within which the users want a leaving upstream left alone.
_DRAIN_S = 3


class KeptReplica(Replica):
    """Keeps keys as a follower delivers them."""

    def __init__(self):
        self.keys = set()

    def replace(self, listed, *, is_after_outage):
        self.keys = {one.key for one in listed}

    def change(self, change, *, is_after_outage):
        if change.stored is None:
            self.keys.discard(change.key)
        else:
            self.keys.add(change.key)


class CountingPlatform(MemoryPlatform):
    """Counts the calls of one gateway."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.calls = 0

    async def read_listing(self, prefix):
        self.calls += 1
        return await super().read_listing(prefix)

    async def watch(self, prefix, after, wait_s=30):
        self.calls += 1
        return await super().watch(prefix, after)


@attrs.define(eq=False)
class Gateway:
    """One gateway that follows the store, without callers."""

    platform: CountingPlatform
    replica: KeptReplica
    follower: KindFollower
    peers: object
    network: MemoryNetwork
    tasks: list

    def kill(self):
        """Stop it without notice to its peers."""
        for task in self.tasks:
            task.cancel()


class Fleet(collections.UserDict):
    """Gateways by name, with the store that they follow."""

    def __init__(self, make_log):
        super().__init__()
        self.store = MemoryStore()
        self.network = MemoryNetwork()
        self._make_log = make_log

    def start(self, count):
        """Start gateways in two regions."""
        for index in range(count):
            name = 'g{0:02}'.format(index)
            self[name] = self._build(name, ('west', 'north')[index % 2])

    async def write(self, name):
        """Register an upstream; returns what is stored."""
        platform = MemoryPlatform(self.store, VirtualClock())
        return await platform.write(_PREFIX + name, b'{}', None, name)

    async def remove(self, stored):
        """Remove an upstream."""
        platform = MemoryPlatform(self.store, VirtualClock())
        await platform.remove(stored.key, Expected.of(stored))

    def aggregators(self):
        """Names of the aggregators of both regions."""
        peers = self['g00'].peers
        regions = ('west', 'north')
        return [name for one in regions for name in peers.aggregators(one)]

    def gateways_with(self, name):
        """Gateways that know an upstream."""
        key = _PREFIX + name
        return {one for one in self if key in self[one].replica.keys}

    def calls(self):
        """Calls of all gateways to the store so far."""
        return sum(one.platform.calls for one in self.values())

    def _build(self, name, region):
        clock = VirtualClock()
        peers = self.network.join(Member(name, region, f'{region}-a'), clock)
        rng = random.Random(name)
        balancer_dependencies = BalancerDependencies(
            clock, rng, name, region, lambda _: [], 0.15
        )
        counters = Counters()
        log = self._make_log(clock)
        platform = CountingPlatform(self.store, clock)
        replica = KeptReplica()
        follower = KindFollower(
            _PREFIX,
            replica,
            FollowerContext(platform, clock, rng, counters, log),
            _DRAIN_S,
        )
        state = FleetState(clock)
        balancer = Balancer(state, balancer_dependencies)
        quarantine = Quarantine(
            peers,
            clock,
            counters,
            lambda _: set(),
            lambda _: False,
        )
        peering = Peering(
            PeeringDependencies(
                peers,
                balancer,
                quarantine,
                clock,
                rng,
                counters,
                log,
                LeavingUpstreams(state, log, counters),
                CustomerQuotas(clock, rng, balancer.candidate_builder.members),
            ),
            [follower],
        )
        peering.is_ready = True
        works = (peering.run(), follower.run(), follower.run_checks())
        tasks = [asyncio.ensure_future(work) for work in works]
        return Gateway(platform, replica, follower, peers, self.network, tasks)


@pytest.fixture
def run_fleet(make_log):
    """Runs a session with a fleet of many gateways, settled for some time."""

    def run(session, count=24):
        async def running():
            fleet = Fleet(make_log)
            with contextlib.ExitStack() as stack:
                fleet.start(count)
                for gateway in fleet.values():
                    stack.callback(gateway.kill)
                await asyncio.sleep(5)
                return await session(fleet)

        return run_virtual(running)

    return run


def test_changes_reach_all_within_their_bound(run_fleet):
    """Guards against a gateway without a watch that misses an upstream which
    comes or leaves."""

    async def session(fleet):
        stored = await fleet.write('u1')
        await asyncio.sleep(1.5)
        assert fleet.gateways_with('u1') == set(fleet)
        await fleet.remove(stored)
        await asyncio.sleep(1.5)
        assert not fleet.gateways_with('u1')

    run_fleet(session)


@pytest.mark.parametrize('count', [24, 72])
def test_calls_to_the_store_do_not_grow_with_the_fleet(run_fleet, count):
    """Guards against a watch per gateway, each of which a change ends: a
    small twin of vks-boots-large made 2,526 calls a day so."""

    async def session(fleet):
        before = fleet.calls()
        for index in range(10):
            await fleet.write(f'u{index}')
            await asyncio.sleep(1)
        return fleet.calls() - before

    # A watch of each of four aggregators for each change, and listings.
    listings = 2 * 10 / _DRAIN_S
    assert run_fleet(session, count) <= 4 * 10 + listings + 10


def test_dead_aggregators_are_not_waited_for(run_fleet):
    """Guards against gateways that go on with an old list when both
    aggregators of their region are killed at the moment of a change."""

    async def session(fleet):
        dead = fleet.aggregators()
        for name in dead:
            fleet[name].kill()
        await fleet.write('u1')
        await asyncio.sleep(_DRAIN_S)
        return set(fleet) - set(dead) - fleet.gateways_with('u1')

    assert not run_fleet(session)


def test_aggregators_without_the_store_are_not_used(run_fleet):
    """Guards against a store that refuses the few gateways that follow it for
    all others."""

    async def session(fleet):
        for name in fleet.aggregators():
            fleet[name].platform.faults.is_down = True
        await asyncio.sleep(1)
        await fleet.write('u1')
        await asyncio.sleep(_DRAIN_S)
        return set(fleet) - fleet.gateways_with('u1')

    assert not run_fleet(session)


def test_a_gateway_without_aggregators_still_asks_peers(run_fleet):
    """Guards against a refused gateway of a small fleet that misses a drain."""

    async def session(fleet):
        fleet['g01'].platform.faults.is_down = True
        await asyncio.sleep(1)
        await fleet.write('u1')
        await asyncio.sleep(_DRAIN_S)
        return fleet.gateways_with('u1')

    assert run_fleet(session, count=4) == {'g00', 'g01', 'g02', 'g03'}
