"""Tests of the time from a change in the store until no gateway uses an
upstream any more, over all hops together, on virtual time."""

import asyncio
import contextlib
import json
import random
from types import MappingProxyType

import attrs
import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformUnavailable
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.replicas import ReplicaContext, UpstreamReplica
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.quarantine import Quarantine
from nutmegshore.store import Expected, MemoryPlatform, MemoryStore

_PREFIX = 'servers/'
_REGIONS = ('west', 'north', 'south')
_REGION_DELAY_S = 0.055
_LARGE = 90
_SMALL = 9
#: Seconds within which the users want a leaving upstream left alone, on their
#: deployments of as many gateways, and seconds of these for the request's way.
_DRAIN_S = MappingProxyType({_LARGE: 3, _SMALL: 2})
_REQUEST_S = 0.1
#: Seconds after a disruption of its own after which a gateway is bound again.
_STABLE_S = 3
#: Seconds after the return of the store in which live upstreams register again.
_WRITTEN_AGAIN_S = 2
_EXPIRY_S = 0.1
_POLL_S = 0.02
#: Seconds within which a client notices what happens to its watch.
_STEP_S = 0.02
_CONNECT_TIMEOUT_S = 1
#: Seconds after which the kernel closes a connection without acknowledgements.
_SILENT_S = 3


class CutPlatform(MemoryPlatform):
    """A client whose path to the store is cut, or whose watches are deaf."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.is_cut = False
        self.is_deaf = False
        self.resets = 0

    async def read_listing(self, prefix):
        await self._connect()
        return await super().read_listing(prefix)

    async def watch(self, prefix, after, wait_s=30):
        await self._connect()
        waiting = asyncio.ensure_future(super().watch(prefix, after))
        with contextlib.ExitStack() as stack:
            stack.callback(waiting.cancel)
            await self._wait_deliverable(waiting)
            return waiting.result()

    async def _wait_deliverable(self, waiting):
        resets = self.resets
        silent_s = 0
        while self.is_cut or self.is_deaf or not waiting.done():
            await asyncio.sleep(_STEP_S)
            if self.resets > resets:
                raise PlatformUnavailable('reset')
            silent_s = silent_s + _STEP_S if self.is_cut else 0
            if silent_s > _SILENT_S:
                raise PlatformUnavailable('silent')

    async def _connect(self):
        if self.is_cut:
            await self._clock.sleep(_CONNECT_TIMEOUT_S)
            raise PlatformUnavailable('no answer')


@attrs.define(eq=False)
class Gateway:
    """One gateway that follows the store, without callers."""

    name: str
    clock: VirtualClock
    platform: CutPlatform
    state: FleetState
    peers: object
    works: list
    tasks: list = attrs.field(factory=list)

    def start(self):
        """Run what the daemon runs, but for listeners."""
        self.tasks = [asyncio.ensure_future(work()) for work in self.works]

    def stop(self):
        """Stop without notice."""
        for task in self.tasks:
            task.cancel()

    def uses(self, upstream):
        """Whether new requests may go to an upstream."""
        return upstream in {one.instance for one in self.state.usable('orders')}


class Fleet:
    """A store, its upstreams, and gateways in three regions."""

    def __init__(self, make_log, count, stack):
        self.store = MemoryStore()
        self.drain_s = _DRAIN_S[count]
        self.network = MemoryNetwork()
        self.by_name = {}
        self._make_log = make_log
        self._stack = stack
        self._operator = MemoryPlatform(self.store, VirtualClock())
        west, north, south = _REGIONS
        self.network.set_delay(west, north, _REGION_DELAY_S)
        self.network.set_delay(west, south, _REGION_DELAY_S)
        self.network.set_delay(north, south, _REGION_DELAY_S)
        for index in range(count):
            self.start('g{0:02}'.format(index))

    def start(self, name):
        """Start a gateway, or start it again without what it knew."""
        before = self.by_name.get(name)
        if before is not None:
            before.stop()
        region = _REGIONS[int(name[1:]) % len(_REGIONS)]
        gateway = self._build(name, region)
        self.by_name[name] = gateway
        self._stack.callback(gateway.stop)
        gateway.start()

    def aggregators(self, *regions):
        """Gateways that collect the reports of regions."""
        peers = self.by_name['g00'].peers
        return [
            self.by_name[name]
            for region in regions
            for name in peers.aggregators(region)
        ]

    def gateways(self, region):
        """Gateways of a region."""
        return [
            one
            for one in self.by_name.values()
            if one.peers.local.region == region
        ]

    async def register(self, name, state='ready', region='west'):
        """Write an entry as an upstream does."""
        spec = {
            'Addr': '10.0.0.9:80',
            'born': 1,
            'Info': {'Service': 'orders', 'Zone': f'{region}-a', 'Slots': 3},
            'Status': {'State': state, 'Sequence': 1, 'ColdLeftS': 0},
        }
        present = self.store.by_key.get(_PREFIX + name)
        expected = Expected.of(present) if present else None
        body = json.dumps({'Spec': spec}).encode()
        await self._operator.write(_PREFIX + name, body, expected, state)

    def remove(self, name):
        """Remove an entry, which a store that is away may do as well."""
        present = self.store.by_key[_PREFIX + name]
        self.store.discard(present.key, Expected.of(present))

    async def leave(self, name, how):
        """Let an upstream leave in one of the two ways."""
        if how == 'removed':
            self.remove(name)
        else:
            await self.register(name, 'draining')

    async def seconds_in_use(self, name, except_for=()):
        """Seconds from now until no other gateway uses an upstream."""
        began_at = _now()
        bound = [one for one in self.by_name.values() if one not in except_for]
        while any(one.uses(name) for one in bound):
            assert _now() - began_at < 30
            await asyncio.sleep(_POLL_S)
        return _now() - began_at

    def _build(self, name, region):
        clock = VirtualClock()
        peers = self.network.join(Member(name, region, f'{region}-a'), clock)
        rng = random.Random(name)
        counters = Counters()
        log = self._make_log(clock)
        state = FleetState(clock)
        balancer = Balancer(
            state,
            BalancerDependencies(clock, rng, name, region, lambda _: [], 0.15),
        )
        upstreams = UpstreamReplica(
            ReplicaContext(state, log, counters, clock),
            {f'{one}-a': one for one in _REGIONS},
            balancer.candidate_builder.forget,
        )
        platform = CutPlatform(self.store, clock)
        follower = KindFollower(
            _PREFIX,
            upstreams,
            FollowerContext(platform, clock, rng, counters, log),
            self.drain_s,
        )
        quarantine = Quarantine(
            peers, clock, counters, lambda _: set(), lambda _: False
        )
        leaving = LeavingUpstreams(state, log, counters)
        peering = Peering(
            PeeringDependencies(
                peers, balancer, quarantine, clock, rng, counters, log, leaving
            ),
            [follower],
        )
        peering.is_ready = True

        async def expire():
            while True:
                follower.expire()
                await clock.sleep(_EXPIRY_S)

        works = [peering.run, follower.run, follower.run_checks, expire]
        return Gateway(name, clock, platform, state, peers, works)


def _now():
    return asyncio.get_running_loop().time()


@pytest.fixture
def run_fleet(make_log):
    """Run a session with a fleet that knows some upstreams."""

    def run(session, count, upstreams=8):
        async def running():
            with contextlib.ExitStack() as stack:
                fleet = Fleet(make_log, count, stack)
                for index in range(upstreams):
                    region = _REGIONS[index % len(_REGIONS)]
                    await fleet.register(f'u{index}', region=region)
                await asyncio.sleep(6)
                # A gateway that never used an upstream would pass each test.
                for gateway in fleet.by_name.values():
                    assert len(gateway.state.usable('orders')) == upstreams
                return await session(fleet)

        return run_virtual(running)

    return run


async def _blip(fleet):
    """The store's answers to aggregators break off once, while it is up."""
    for gateway in fleet.aggregators(*_REGIONS) or fleet.by_name.values():
        gateway.platform.resets += 1
    await asyncio.sleep(0.5)
    return []


async def _cut_one_region(fleet):
    """The aggregators of a region lose the store, with no sign of it."""
    cut = fleet.aggregators('west') or fleet.gateways('west')[:2]
    for gateway in cut:
        gateway.platform.is_cut = True
    return cut


async def _cut_all_aggregators(fleet):
    """All aggregators lose the store, with no sign of it."""
    cut = fleet.aggregators(*_REGIONS) or fleet.gateways('west')
    for gateway in cut:
        gateway.platform.is_cut = True
    return cut


async def _slow_aggregators(fleet):
    """The aggregators of a region stop for seconds."""
    slow = fleet.aggregators('west') or fleet.gateways('west')[:2]
    for gateway in slow:
        gateway.clock.pause(5)
    return slow


async def _restart_aggregators(fleet):
    """The aggregators of a region are restarted."""
    restarted = fleet.aggregators('west') or fleet.gateways('west')[:2]
    for gateway in restarted:
        fleet.start(gateway.name)
    return restarted


async def _deafen(fleet):
    """No watch hears anything; listings show what is there."""
    for gateway in fleet.by_name.values():
        gateway.platform.is_deaf = True
    return []


_DISRUPTIONS = MappingProxyType(
    {
        'blip': _blip,
        'cut': _cut_one_region,
        'cut_all': _cut_all_aggregators,
        'slow': _slow_aggregators,
        'restarted': _restart_aggregators,
        'deaf': _deafen,
    }
)


@pytest.mark.parametrize('count', [_SMALL, _LARGE])
@pytest.mark.parametrize('how', ['removed', 'draining'])
@pytest.mark.parametrize('disruption', _DISRUPTIONS)
def test_a_leaving_upstream_is_left_alone_in_time(
    run_fleet, disruption, how, count
):
    """Guards against DRAIN: each hop of a change kept its own bound, and their
    sum did not; a request reached an upstream 3.058 s after it had left."""

    async def session(fleet):
        disrupted = await _DISRUPTIONS[disruption](fleet)
        worst_s = 0
        for index in range(4):
            await asyncio.sleep(0.3 * index)
            name = f'u{index}'
            await fleet.leave(name, how)
            in_use_s = await fleet.seconds_in_use(name, disrupted)
            worst_s = max(worst_s, in_use_s)
        return worst_s, fleet.drain_s

    worst_s, drain_s = run_fleet(session, count)
    assert worst_s + _REQUEST_S <= drain_s


@pytest.mark.parametrize('how', ['removed', 'draining'])
@pytest.mark.parametrize('leaving', [2, 4])
def test_upstreams_that_leave_together_are_left_alone_in_time(
    run_fleet, leaving, how
):
    """Guards against DRAIN: the changes of two upstreams cancelled each other
    in the digest by which a gateway sees that an aggregator is ahead."""

    async def session(fleet):
        names = [f'u{index}' for index in range(leaving)]
        # Watches pause between changes, and deliver the next ones together.
        for other in ('u8', 'u9'):
            await fleet.register(other)
            await asyncio.sleep(0.1)
        for name in names:
            await fleet.leave(name, how)
        in_use = [fleet.seconds_in_use(name) for name in names]
        return max(await asyncio.gather(*in_use))

    worst_s = run_fleet(session, _LARGE)
    assert worst_s + _REQUEST_S <= _DRAIN_S[_LARGE]


@pytest.mark.parametrize('phase_s', [0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8])
def test_a_removal_after_a_cut_is_a_removal(run_fleet, phase_s):
    """Guards against DRAIN: for some seconds after a cut from the store a
    gateway took each removal for an entry that may come back."""

    async def session(fleet):
        cut = fleet.by_name['g04']
        await asyncio.sleep(phase_s)
        cut.platform.is_cut = True
        await asyncio.sleep(5.5)
        cut.platform.is_cut = False
        await asyncio.sleep(_STABLE_S)
        fleet.remove('u1')
        return await fleet.seconds_in_use('u1')

    in_use_s = run_fleet(session, _SMALL)
    assert in_use_s + _REQUEST_S <= _DRAIN_S[_SMALL]


@pytest.mark.parametrize('phase_s', [0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8])
def test_a_removal_during_a_cut_is_not_kept_past_it(run_fleet, phase_s):
    """Guards against DRAIN: what a gateway missed during a cut was kept for
    seconds from when it found the store again."""

    async def session(fleet):
        cut = fleet.by_name['g04']
        await asyncio.sleep(phase_s)
        cut.platform.is_cut = True
        await asyncio.sleep(3)
        fleet.remove('u1')
        await asyncio.sleep(2.5)
        cut.platform.is_cut = False
        return await fleet.seconds_in_use('u1')

    in_use_s = run_fleet(session, _SMALL)
    assert in_use_s + _REQUEST_S <= _STABLE_S


async def _take_store_away(fleet, away_s):
    """Take the store away; the entries expire in it."""
    for gateway in fleet.by_name.values():
        gateway.platform.is_cut = True
    await asyncio.sleep(away_s)
    for key in tuple(fleet.store.by_key):
        fleet.remove(key.removeprefix(_PREFIX))
    for gateway in fleet.by_name.values():
        gateway.platform.is_cut = False


@pytest.mark.parametrize('away_s', [5, 9])
@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_live_upstreams_outlast_an_outage_of_the_store(
    run_fleet, count, away_s
):
    """Guards against requests that are refused since the entries of upstreams
    expired while the store was away; those that lived are back after 2 s."""

    async def session(fleet):
        await _take_store_away(fleet, away_s)
        returned_at = _now()
        while _now() < returned_at + _WRITTEN_AGAIN_S:
            for gateway in fleet.by_name.values():
                assert gateway.uses('u0'), gateway.name
            await asyncio.sleep(_POLL_S)
        await fleet.register('u0')
        await asyncio.sleep(1.5)
        assert all(one.uses('u0') for one in fleet.by_name.values())
        await fleet.seconds_in_use('u1')
        return _now() - returned_at

    gone_s = run_fleet(session, count)
    assert gone_s + _REQUEST_S <= _STABLE_S + _DRAIN_S[count]


@pytest.mark.parametrize('count', [_SMALL, _LARGE])
def test_a_removal_after_an_outage_is_a_removal(run_fleet, count):
    """Guards against DRAIN: seconds after the return of the store a removal
    was still taken for an entry that may come back, by each gateway anew."""

    async def session(fleet):
        for gateway in fleet.by_name.values():
            gateway.platform.is_cut = True
        await asyncio.sleep(6)
        for gateway in fleet.by_name.values():
            gateway.platform.is_cut = False
        await asyncio.sleep(_STABLE_S)
        fleet.remove('u1')
        return await fleet.seconds_in_use('u1')

    in_use_s = run_fleet(session, count)
    assert in_use_s + _REQUEST_S <= _DRAIN_S[count]


@pytest.mark.parametrize('phase_s', [0, 0.5, 1])
def test_live_upstreams_outlast_a_cut_of_their_region(run_fleet, phase_s):
    """Guards against a region that stops using its own upstreams, since their
    entries expired while the region was cut off from the store."""

    async def session(fleet):
        await asyncio.sleep(phase_s)
        for other in _REGIONS[1:]:
            fleet.network.partition('west', other)
        west = fleet.gateways('west')
        for gateway in west:
            gateway.platform.is_cut = True
        await asyncio.sleep(6)
        fleet.remove('u0')
        await asyncio.sleep(2)
        fleet.network.heal()
        for gateway in west:
            gateway.platform.is_cut = False
        healed_at = _now()
        while _now() < healed_at + 1:
            assert all(one.uses('u0') for one in west)
            await asyncio.sleep(_POLL_S)
        await fleet.register('u0')
        await asyncio.sleep(1)
        assert all(one.uses('u0') for one in west)

    run_fleet(session, _LARGE)
