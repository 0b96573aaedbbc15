"""Tests of a store that returns from an older copy, on virtual time.

Whole gateways follow a stand-in store through the real client; only callers,
upstreams and sockets are missing.
"""

import asyncio
import contextlib
import json
import random
from types import MappingProxyType

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformUnavailable, VersionConflict
from nutmegshore.gateway.assembly import Assembly, GatewayDependencies
from nutmegshore.gateway.messages import (
    UNKNOWN_ERA,
    RestoreAnswer,
    RestoreQuestion,
)
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.gateway.sync_dependencies import PeeringDependencies
from nutmegshore.peers import MemoryNetwork
from nutmegshore.platform.standin import (
    StandinStore,
    StoreFaults,
    make_store_application,
)
from nutmegshore.platform.standin_calls import StandinCalls
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import Expected

#: Seconds within which a change is in force and a drain is respected.
_BOUND_S = 2
#: Seconds after its return in which the store gets again what it lost.
_WRITTEN_AGAIN_S = 2
#: Seconds after which an upstream that never registers again is not used.
_GONE_S = 5
#: Seconds within which a gateway that the store answers can serve.
_START_S = 0.05
_POLL_S = 0.05
_KINDS = 3


class Gateway:
    """One gateway with its own view of the store; `faults` are its calls'."""

    def __init__(self, name, store, network, applications, make_log):
        self.name = name
        self.faults = StoreFaults()
        self.clock = VirtualClock()
        self._network = network
        address = f'{name}:80'
        applications[address] = make_store_application(store, self.faults)
        counters = Counters()
        dependencies = GatewayDependencies(
            PlatformStore(address),
            self.clock,
            random.Random(name),
            counters,
            make_log(self.clock, counters),
        )
        self.assembly = Assembly(_settings(name, address), dependencies)
        self.state = self.assembly.state
        self.tasks = []

    def start(self):
        """Run what the daemon runs, but for listeners."""
        assembly = self.assembly
        dependencies = assembly.dependencies
        peering_dependencies = PeeringDependencies(
            assembly.peers,
            assembly.balancer,
            assembly.quarantine,
            self.clock,
            dependencies.rng,
            dependencies.counters,
            dependencies.log,
            assembly.reports.leaving,
            assembly.quotas.quotas,
        )
        peering = Peering(peering_dependencies, assembly.replicas.followers)
        peering.is_ready = True
        works = [peering.run(), self._register(), self._expire()]
        for follower in assembly.replicas.followers:
            works.extend((follower.run(), follower.run_checks()))
        self.tasks = [asyncio.ensure_future(work) for work in works]

    def stop(self):
        """Stop without notice."""
        for task in self.tasks:
            task.cancel()
        self._network.leave(self.name)

    def read_version(self):
        """Version of the configuration in force."""
        configuration = self.state.configuration
        return configuration.version if configuration else 0

    def names(self):
        """Upstreams that get new requests."""
        return {one.instance for one in self.state.usable('orders')}

    async def _register(self):
        await self.assembly.registry.read_seeds()
        await self.assembly.registry.run(self.assembly.peers)

    async def _expire(self):
        while True:
            self.assembly.replicas.expire()
            await self.clock.sleep(_POLL_S)


def _upstream(zone, state='ready', born=1):
    """Return what an upstream writes."""
    return {
        'Addr': '10.0.0.9:80',
        'born': born,
        'Info': {'Service': 'orders', 'Zone': zone, 'Slots': 3},
        'Status': {'State': state, 'Sequence': 1, 'ColdLeftS': 0},
    }


class Fleet:
    """A store with its operator and upstreams, and gateways that follow it."""

    def __init__(self, stack, start, network):
        self.store = StandinStore()
        self.network = network
        self.gateways = []
        self._stack = stack
        self._start = start
        self.configure(1)
        self.register('i-1')

    def start(self, name='g1', **faults):
        """Start one more gateway."""
        gateway = self._start(name, self.store)
        for fault, strength in faults.items():
            setattr(gateway.faults, fault, strength)
        gateway.start()
        self.gateways.append(gateway)
        self._stack.callback(gateway.stop)
        return gateway

    def configure(self, version):
        """Write a configuration as the operator does."""
        text = format(version, '08x')
        spec = {'Version': text, 'Routes': {}, 'Services': {}}
        self.store.put('config', 'main', spec)

    def register(self, name, state='ready', zone='west-a', born=1):
        """Write an entry as an upstream does."""
        self.store.put('servers', name, _upstream(zone, state, born))

    def write_much(self):
        """Write more revisions than the store lost, of no followed kind."""
        for number in range(50):
            self.store.put('notes', str(number), {})

    async def return_from(self, kept, away_s=0.5, **options):
        """Take the store away for a moment and restore it."""
        present = [one for one in self.gateways if not one.faults.status]
        for gateway in present:
            gateway.faults.status = 503
        if not options.get('hangs_watches'):
            self.store.cut_watches()
        await asyncio.sleep(away_s)
        self.store.restore(kept, **options)
        for gateway in present:
            gateway.faults.status = 0


@pytest.fixture
def run_fleet(make_log, monkeypatch):
    """Run a session with a store that gateways can follow."""

    def run(session):
        async def running():
            applications = {}
            network = MemoryNetwork()
            _patch_sockets(monkeypatch, applications, network)
            async with contextlib.AsyncExitStack() as stack:
                fleet = Fleet(
                    stack,
                    lambda name, store: Gateway(
                        name, store, network, applications, make_log
                    ),
                    network,
                )
                return await session(fleet)

        return run_virtual(running)

    return run


def _patch_sockets(monkeypatch, applications, network):
    """Replace what opens sockets, which virtual time does not have."""
    monkeypatch.setattr(
        'nutmegshore.platform.store_http.StoreCalls',
        lambda origin, *options: StandinCalls(
            applications[origin.removeprefix('http://')]
        ),
    )
    monkeypatch.setattr(
        'nutmegshore.gateway.assembly.MeshPeers',
        lambda local, *options: network.join(local, VirtualClock()),
    )


def _settings(name, address):
    return GatewaySettings(
        name=name,
        ip='127.0.0.1',
        region='west',
        availability_zone='west-a',
        callers='127.0.0.1:0',
        ready='127.0.0.1:0',
        lookup='127.0.0.1:0',
        peer_port=0,
        metrics_port=0,
        store=address,
        cluster='test',
        key='a key of a test cluster',
        regions_by_zone=MappingProxyType({'west-a': 'west', 'west-b': 'west'}),
    )


async def _hold(seconds, read, expected):
    """Assert that something stays as expected all the time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        assert read() == expected
        await asyncio.sleep(_POLL_S)


@pytest.mark.parametrize('hangs_watches', [False, True])
@pytest.mark.parametrize('away_s', [0, 0.5, 3])
def test_a_configuration_after_the_return_is_in_force_in_time(
    run_fleet, away_s, hangs_watches
):
    """Guards against a gateway that drops every listing and change of a
    restored store until its revisions have passed those that it lost."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept, away_s, hangs_watches=hangs_watches)
        await asyncio.sleep(2)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3

    run_fleet(session)


def test_a_change_is_seen_after_the_lost_revisions_are_passed(run_fleet):
    """Guards against a watch from a lost revision that the store has given
    out again: the change lies below it."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept, hangs_watches=True)
        fleet.configure(3)
        fleet.write_much()
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3

    run_fleet(session)


def test_a_restored_store_is_not_flooded(run_fleet):
    """Guards against a listing that is dropped and a watch that gets 410, in
    turn and without pause."""

    async def session(fleet):
        fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        before = fleet.store.calls
        await asyncio.sleep(5)
        # A listing and a watch of each kind in 0.5 s, as at a usual change.
        assert fleet.store.calls - before <= 5 * 4 * _KINDS

    run_fleet(session)


def test_a_store_without_history_is_not_flooded(run_fleet):
    """Guards against a listing at each 410 of a store that changes all the
    time and keeps no history."""

    async def session(fleet):
        fleet.start()
        await asyncio.sleep(3)
        before = fleet.store.calls
        for _ in range(100):
            fleet.store.put('notes', 'n', {})
            fleet.store.compact()
            await asyncio.sleep(_POLL_S)
        assert fleet.store.calls - before <= 5 * 4 * _KINDS

    run_fleet(session)


def test_an_upstream_that_comes_after_the_return_is_used(run_fleet):
    """Guards against a new upstream whose entry is older than what was lost."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        await asyncio.sleep(1)
        fleet.register('i-2')
        await asyncio.sleep(_BOUND_S)
        assert gateway.names() == {'i-1', 'i-2'}

    run_fleet(session)


@pytest.mark.parametrize('has_left', [False, True])
@pytest.mark.parametrize('writes_much', [False, True])
def test_an_upstream_that_left_is_not_revived(run_fleet, has_left, writes_much):
    """Guards against requests to an upstream that left before the restore and
    whose old entry is back with the copy."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2', state='draining')
        await asyncio.sleep(3)
        if has_left:
            fleet.store.delete('servers', 'i-2')
            await asyncio.sleep(3)
        assert gateway.names() == {'i-1'}
        await fleet.return_from(kept)
        if writes_much:
            fleet.write_much()
        await _hold(10, gateway.names, {'i-1'})

    run_fleet(session)


def test_a_new_start_under_the_id_of_one_that_left_is_used(run_fleet):
    """Guards against an upstream that stays excluded because an earlier start
    of it left before a restore."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.store.delete('servers', 'i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        await asyncio.sleep(1)
        fleet.register('i-2', born=2)
        await asyncio.sleep(_BOUND_S)
        assert gateway.names() == {'i-1', 'i-2'}

    run_fleet(session)


@pytest.mark.parametrize('hangs_watches', [False, True])
def test_an_upstream_that_the_copy_lacks_may_register_again(
    run_fleet, hangs_watches
):
    """Guards against a live upstream that is dropped because the copy is older
    than its entry."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept, hangs_watches=hangs_watches)
        await _hold(_WRITTEN_AGAIN_S, gateway.names, {'i-1', 'i-2'})
        fleet.register('i-2')
        await _hold(10, gateway.names, {'i-1', 'i-2'})

    run_fleet(session)


def test_an_upstream_that_does_not_register_again_is_gone(run_fleet):
    """Guards against requests to an upstream that ended beside a restore: no
    removal of its lost entry is ever seen."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        await asyncio.sleep(_GONE_S)
        assert gateway.names() == {'i-1'}

    run_fleet(session)


@pytest.mark.parametrize('writes_much', [False, True])
def test_an_evacuation_that_is_lost_holds_until_it_is_written_again(
    run_fleet, writes_much
):
    """Guards against requests to an evacuated zone, since the copy is older
    than the evacuation."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', zone='west-b')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(3)
        assert gateway.names() == {'i-1'}
        await fleet.return_from(kept)
        if writes_much:
            fleet.write_much()
        await _hold(_WRITTEN_AGAIN_S, gateway.names, {'i-1'})
        fleet.store.put('evacuations', 'west-b', {})
        await _hold(10, gateway.names, {'i-1'})
        fleet.store.delete('evacuations', 'west-b')
        await asyncio.sleep(_BOUND_S)
        assert gateway.names() == {'i-1', 'i-2'}

    run_fleet(session)


@pytest.mark.parametrize('writes_much', [False, True])
def test_an_evacuation_that_was_taken_back_is_not_revived_for_long(
    run_fleet, writes_much
):
    """Guards against a zone that stays empty because the copy is older than
    the end of its evacuation."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', zone='west-b')
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.store.delete('evacuations', 'west-b')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        if writes_much:
            fleet.write_much()
        await asyncio.sleep(_WRITTEN_AGAIN_S)
        fleet.store.delete('evacuations', 'west-b')
        await asyncio.sleep(_BOUND_S)
        await _hold(5, gateway.names, {'i-1', 'i-2'})

    run_fleet(session)


@pytest.mark.parametrize('writes_much', [False, True])
def test_the_configuration_in_force_never_goes_back(run_fleet, writes_much):
    """Guards against a configuration of the copy in place of a newer one that
    the operator had been told is stored."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        if writes_much:
            fleet.write_much()
        await _hold(_WRITTEN_AGAIN_S, gateway.read_version, 2)
        fleet.configure(2)
        await _hold(4, gateway.read_version, 2)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3

    run_fleet(session)


def test_a_peer_with_the_lost_history_does_not_mislead_a_new_gateway(
    run_fleet,
):
    """Guards against a gateway that boots after a restore and takes over the
    position of a peer that has not heard of it."""

    async def session(fleet):
        told = fleet.start('g1')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        fleet.configure(2)
        fleet.register('i-2')
        await asyncio.sleep(3)
        told.faults.status = 503
        await fleet.return_from(kept)
        booted = fleet.start('g2', status=503)
        await asyncio.sleep(3)
        assert booted.read_version() == 2
        booted.faults.status = 0
        await asyncio.sleep(1)
        fleet.configure(3)
        fleet.register('i-3')
        await asyncio.sleep(_BOUND_S)
        assert booted.read_version() == 3
        assert 'i-3' in booted.names()

    run_fleet(session)


def test_a_gateway_that_is_cut_off_learns_of_a_restore_from_its_peers(
    run_fleet,
):
    """Guards against a gateway without the store that refuses what its peers
    read from the restored one, since its own position is higher."""

    async def session(fleet):
        cut_off = fleet.start('g1')
        fleet.start('g2')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        await asyncio.sleep(3)
        cut_off.faults.status = 503
        await fleet.return_from(kept)
        await asyncio.sleep(1)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert cut_off.read_version() == 3

    run_fleet(session)


def test_gateways_agree_after_a_restore(run_fleet):
    """Guards against gateways that list the store for ever, each thinking the
    other one ahead, or that keep different upstreams."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(4)]
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        fleet.register('i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.register('i-3')
        await asyncio.sleep(_GONE_S)
        found = {frozenset(one.names()) for one in gateways}
        assert found == {frozenset(('i-1', 'i-3'))}
        before = fleet.store.calls
        await asyncio.sleep(10)
        # One listing of each kind within its bound, and a watch by each.
        assert fleet.store.calls - before <= 10 * _KINDS + 4 * _KINDS

    run_fleet(session)


@pytest.mark.parametrize('writes_much', [False, True])
def test_the_own_entry_is_written_again(run_fleet, writes_much):
    """Guards against a gateway that no other one finds after a restore, since
    the copy is older than its entry."""

    async def session(fleet):
        kept = fleet.store.copy()
        fleet.start('g1')
        await asyncio.sleep(3)
        assert fleet.store.get('gateways', 'g1')
        await fleet.return_from(kept)
        if writes_much:
            fleet.write_much()
        await asyncio.sleep(10)
        assert fleet.store.get('gateways', 'g1')

    run_fleet(session)


def test_a_store_may_be_restored_twice(run_fleet):
    """Guards against a second restore that is taken for the first one."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.write_much()
        fleet.configure(2)
        await asyncio.sleep(1)
        await fleet.return_from(kept)
        await asyncio.sleep(1)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3

    run_fleet(session)


@pytest.mark.parametrize(
    'era_text',
    [
        '',
        'x',
        '-1',
        '0',
        '1',
        '1.5',
        '9' * 400,
        '2, 3',
        'nan',
        # The stand-in cannot write this header, and fails.
        pytest.param('٣', marks=pytest.mark.expects_faults),
    ],
)
def test_an_odd_era_does_not_stop_the_gateway(run_fleet, era_text):
    """Guards against a follower that ends at an era that is missing, malformed
    or older than the last one."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        await fleet.return_from(fleet.store.copy())
        await asyncio.sleep(3)
        gateway.faults.era_text = era_text
        await asyncio.sleep(3)
        fleet.configure(2)
        await asyncio.sleep(_BOUND_S)
        gateway.faults.era_text = None
        await asyncio.sleep(3)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3
        assert not any(task.done() for task in gateway.tasks)

    run_fleet(session)


def test_a_late_answer_of_the_lost_history_is_not_used(run_fleet):
    """Guards against an answer from before the restore that arrives after
    newer ones: its revision is higher."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        fleet.register('i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.register('i-3')
        await asyncio.sleep(_GONE_S)
        gateway.faults.outdated_listings = _KINDS
        await _hold(10, gateway.names, {'i-1', 'i-3'})
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 3

    run_fleet(session)


def test_a_large_fleet_follows_a_restore_through_its_aggregators(run_fleet):
    """Guards against gateways that get their state from aggregators and stay in
    the lost history, and against a store that all of them ask at once."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(20)]
        await asyncio.sleep(4)
        kept = fleet.store.copy()
        fleet.configure(2)
        fleet.register('i-2')
        fleet.write_much()
        await asyncio.sleep(3)
        before = fleet.store.calls
        await fleet.return_from(kept)
        await asyncio.sleep(1)
        fleet.configure(3)
        fleet.register('i-3')
        await asyncio.sleep(_BOUND_S)
        assert {gateway.read_version() for gateway in gateways} == {3}
        await asyncio.sleep(_GONE_S)
        used = {frozenset(gateway.names()) for gateway in gateways}
        assert used == {frozenset(('i-1', 'i-3'))}
        for gateway in gateways:
            assert fleet.store.get('gateways', gateway.name)
        # Some ten calls of each aggregator and kind, none of the others.
        assert fleet.store.calls - before < 150

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4, 20])
def test_equal_revisions_of_two_eras_are_told_apart(run_fleet, count):
    """Guards against gateways that take a lost configuration for a new one
    that got its revision: the digests are equal, and nobody asks."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        await asyncio.sleep(4)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert {one.read_version() for one in gateways} == {3}

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4])
def test_a_watch_that_hangs_after_a_restore_without_loss_is_replaced(
    run_fleet, count
):
    """Guards against a watch that is kept since the listing after a restore
    shows the same objects: the store never answers it."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        await fleet.return_from(kept, away_s=0, hangs_watches=True)
        await asyncio.sleep(3)
        for version in (2, 3, 4):
            fleet.configure(version)
            await asyncio.sleep(_BOUND_S)
            assert {one.read_version() for one in gateways} == {version}

    run_fleet(session)


def test_a_new_start_with_a_lost_revision_is_used(run_fleet):
    """Guards against an upstream that is taken for one that left, since its
    entry was created at the same revision in another era."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2')
        await asyncio.sleep(3)
        fleet.store.delete('servers', 'i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.register('i-2', born=2)
        await asyncio.sleep(_BOUND_S)
        assert gateway.names() == {'i-1', 'i-2'}

    run_fleet(session)


def test_an_evacuation_with_a_lost_revision_is_in_force(run_fleet):
    """Guards against an evacuation that is taken for one that had ended, since
    it was created at the same revision in another era."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', zone='west-b')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(3)
        fleet.store.delete('evacuations', 'west-b')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(5)
        assert gateway.names() == {'i-1'}

    run_fleet(session)


def test_an_era_far_too_high_does_not_hide_the_store_for_good(run_fleet):
    """Guards against one answer with a wrong era, after which all answers of
    the store look older."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        gateway.faults.era_text = '900'
        await asyncio.sleep(3)
        gateway.faults.era_text = None
        await asyncio.sleep(10)
        fleet.configure(2)
        await asyncio.sleep(_BOUND_S)
        assert gateway.read_version() == 2

    run_fleet(session)


def test_a_gateway_that_missed_a_restore_finds_equal_revisions(run_fleet):
    """Guards against a gateway without the store that keeps a lost upstream,
    since its peers know other objects of the same revisions."""

    async def session(fleet):
        cut_off = fleet.start('g1')
        fleet.start('g2')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        cut_off.faults.status = 503
        await fleet.return_from(kept)
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S)
        assert cut_off.read_version() == 3

    run_fleet(session)


def test_the_store_is_away(run_fleet):
    """Guards against a test of an absence in which the store answers."""

    async def session(fleet):
        gateway = fleet.start()
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        task = asyncio.ensure_future(fleet.return_from(kept, away_s=3))
        await asyncio.sleep(2.5)
        followers = gateway.assembly.replicas.followers
        assert not any(one.is_store_reachable for one in followers)
        await task

    run_fleet(session)


def test_an_earlier_start_is_not_taken_back(run_fleet):
    """Guards against the entry of an earlier start of an upstream that was
    overwritten in place (one CreatedAt), back with the copy."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', born=1)
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2', born=2)
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        await _hold(2, lambda: gateway.state.by_id['i-2'].born_ms, 2)

    run_fleet(session)


def test_a_draining_start_is_not_replaced_by_an_earlier_one(run_fleet):
    """Guards against requests to a draining upstream: the copy holds its
    earlier start, which was ready."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', born=1)
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.register('i-2', born=2)
        await asyncio.sleep(1)
        fleet.register('i-2', born=2, state='draining')
        await asyncio.sleep(2)
        assert gateway.names() == {'i-1'}
        await fleet.return_from(kept)
        await _hold(2, gateway.names, {'i-1'})

    run_fleet(session)


@pytest.mark.parametrize('is_back', [False, True])
def test_the_start_before_the_last_one_is_not_revived(run_fleet, is_back):
    """Guards against requests to a start of an upstream two starts ago: only
    the last removed object of a key is kept."""

    async def session(fleet):
        gateway = fleet.start()
        fleet.register('i-2', born=1)
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        for born in (2, 3):
            fleet.store.delete('servers', 'i-2')
            await asyncio.sleep(1)
            fleet.register('i-2', born=born)
            await asyncio.sleep(1)
        if not is_back:
            fleet.store.delete('servers', 'i-2')
            await asyncio.sleep(1)
        await fleet.return_from(kept)
        await _hold(
            2,
            lambda: getattr(gateway.state.by_id.get('i-2'), 'born_ms', None),
            3 if is_back else None,
        )

    run_fleet(session)


def _record_wrong(gateways, expected, wrong):
    for gateway in gateways:
        if gateway.names() != expected:
            wrong[gateway.name] = gateway.names()


@pytest.mark.parametrize('prefix', ['g', 'h', 'k'])
@pytest.mark.parametrize('away_s', [0, 0.5, 2])
@pytest.mark.parametrize('is_busy', [False, True])
def test_a_large_fleet_keeps_what_the_copy_lacks(
    run_fleet, away_s, prefix, is_busy
):
    """Guards against relayed gateways that drop live upstreams, or revive
    those that left, before the owners can have written again."""

    async def session(fleet):
        gateways = [fleet.start(f'{prefix}{number}') for number in range(20)]
        fleet.register('i-2')
        await asyncio.sleep(4)
        kept = fleet.store.copy()
        fleet.store.delete('servers', 'i-2')
        fleet.register('i-3')
        await asyncio.sleep(3)
        await fleet.return_from(kept, away_s=away_s)
        wrong = {}
        for step in range(36):
            if is_busy and step % 4 == 0:
                fleet.register('i-1', born=1)
            _record_wrong(gateways, {'i-1', 'i-3'}, wrong)
            await asyncio.sleep(_POLL_S)
        assert not wrong

    run_fleet(session)


def _strip_eras(body):
    if hasattr(body, 'eras'):
        return attrs.evolve(body, eras={})
    if hasattr(body, 'era'):
        return attrs.evolve(body, era=UNKNOWN_ERA)
    return body


def _make_old(gateway):
    """Send what gateways send that know no eras, and read no era."""
    gateway.faults.era_text = ''
    peers = gateway.assembly.peers
    send, send_each = peers.send, peers.send_each
    broadcast = peers.broadcast
    peers.send = lambda name, body: send(name, _strip_eras(body))
    peers.send_each = lambda names, body: send_each(names, _strip_eras(body))
    peers.broadcast = lambda body: broadcast(_strip_eras(body))


@pytest.mark.parametrize('away_s', [3, 6])
def test_old_aggregators_do_not_hold_new_gateways_back(run_fleet, away_s):
    """Guards against a gateway that knows the new era and is relayed by
    aggregators that name none: it takes nothing from them and asks nobody."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(20)]
        await asyncio.sleep(4)
        aggregators = set(gateways[0].assembly.peers.aggregators())
        for name in aggregators:
            _make_old(next(one for one in gateways if one.name == name))
        await asyncio.sleep(1)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept, away_s=away_s)
        await asyncio.sleep(2)
        # Past the lost revisions, so that old gateways are right again.
        fleet.write_much()
        await asyncio.sleep(10)
        fleet.configure(3)
        await asyncio.sleep(5)
        behind = [one.name for one in gateways if one.read_version() != 3]
        assert not behind

    run_fleet(session)


def test_a_gateway_that_boots_at_the_return_respects_an_evacuation(run_fleet):
    """Guards against requests to an evacuated zone by a gateway that boots
    before the operator has repeated the evacuation."""

    async def session(fleet):
        first = fleet.start('g1')
        fleet.register('i-2', zone='west-b')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(6)
        await fleet.return_from(kept)
        booted = fleet.start('g2')
        await asyncio.sleep(1)
        assert booted.state.is_complete
        assert (first.names(), booted.names()) == ({'i-1'}, {'i-1'})

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4, 20])
@pytest.mark.parametrize('after_s', [0, 0.5, 1.7])
def test_a_gateway_that_boots_follows_the_owners_again(
    run_fleet, count, after_s
):
    """Guards against a gateway that boots after a restore and goes on with what
    others held back when its owners have written again or not at all."""

    async def session(fleet):
        for number in range(count):
            fleet.start(f'g{number}')
        fleet.register('i-2', zone='west-b')
        await asyncio.sleep(4)
        kept = fleet.store.copy()
        fleet.configure(2)
        fleet.store.put('evacuations', 'west-b', {})
        fleet.register('i-3')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        await asyncio.sleep(after_s)
        booted = fleet.start('g99')
        await asyncio.sleep(1)
        fleet.store.put('evacuations', 'west-b', {})
        await _hold(
            _GONE_S,
            lambda: (booted.read_version(), 'i-2' in booted.names()),
            (2, False),
        )
        assert booted.names() == {'i-1'}
        fleet.configure(3)
        fleet.store.delete('evacuations', 'west-b')
        await asyncio.sleep(_BOUND_S)
        assert booted.read_version() == 3
        assert booted.names() == {'i-1', 'i-2'}

    run_fleet(session)


def test_a_gateway_that_boots_takes_nothing_from_one_that_was_cut_off(
    run_fleet,
):
    """Guards against requests to upstreams that are long gone: one without
    the store told of them, and they were kept as if a restore had lost them."""

    async def session(fleet):
        cut_off = fleet.start('g1')
        fleet.register('i-2')
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        cut_off.faults.status = 503
        fleet.store.delete('servers', 'i-2')
        await fleet.return_from(kept)
        fleet.store.delete('servers', 'i-2')
        await asyncio.sleep(20)
        booted = fleet.start('g2')
        await _hold(3, lambda: 'i-2' in booted.names(), False)
        assert booted.names() == {'i-1'}

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4])
def test_gateways_that_boot_together_wait_for_nobody(run_fleet, count):
    """Guards against gateways that wait for each other's word."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        await asyncio.sleep(1)
        assert all(one.state.is_complete for one in gateways)

    run_fleet(session)


async def _lose_writes(fleet):
    """Restore a copy without configuration 2 and without an evacuation."""
    fleet.register('i-2', zone='west-b')
    await asyncio.sleep(4)
    kept = fleet.store.copy()
    fleet.configure(2)
    fleet.store.put('evacuations', 'west-b', {})
    await asyncio.sleep(3)
    await fleet.return_from(kept)


async def _time_completion(gateways):
    """Return the seconds until all gateways can serve."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not all(one.state.is_complete for one in gateways):
        await asyncio.sleep(0.001)
    return loop.time() - started_at


@pytest.mark.parametrize('delay_s', [0.02, 0.1, 0.2])
@pytest.mark.parametrize('count', [1, 20])
def test_a_word_that_comes_after_the_first_listing_counts(
    run_fleet, count, delay_s
):
    """Guards against a gateway that boots after a restore and stays with the
    copy, since the others' word came after its first listing."""

    async def session(fleet):
        for number in range(count):
            fleet.start(f'g{number}')
        await _lose_writes(fleet)
        fleet.network.set_delay('west', 'west', delay_s)
        booted = fleet.start('g99')
        await asyncio.sleep(2 * delay_s + _POLL_S)
        assert booted.read_version() == 2
        assert booted.names() == {'i-1'}
        fleet.store.delete('servers', 'i-1')
        fleet.configure(3)
        await asyncio.sleep(_BOUND_S + 2 * delay_s)
        assert booted.read_version() == 3
        assert not booted.names() & {'i-1'}

    run_fleet(session)


def test_a_gateway_that_boots_asks_another_if_one_is_cut_off(run_fleet):
    """Guards against a gateway that boots after a restore and serves the copy,
    since the one that it asked did not answer."""

    async def session(fleet):
        for number in range(3):
            fleet.start(f'g{number}')
        await _lose_writes(fleet)
        fleet.network.partition('g0', 'g99')
        booted = fleet.start('g99')
        await asyncio.sleep(0.3)
        assert booted.read_version() == 2
        assert booted.names() == {'i-1'}

    run_fleet(session)


def test_a_gateway_that_knows_nothing_is_no_end_of_the_questions(run_fleet):
    """Guards against a gateway that boots after a restore and asks only one
    that has just started itself."""

    async def session(fleet):
        fleet.start('g1')
        await _lose_writes(fleet)
        fleet.network.partition('g0', 'g1')
        unaware = fleet.start('g0')
        await asyncio.sleep(0.3)
        booted = fleet.start('g99')
        await asyncio.sleep(0.2)
        assert (unaware.read_version(), booted.read_version()) == (1, 2)

    run_fleet(session)


def _forget_restores(gateway):
    """Have a gateway neither ask nor answer what is held back."""
    handlers = gateway.assembly.peers._handlers
    for handled in (RestoreQuestion, RestoreAnswer):
        handlers.pop(handled)


@pytest.mark.parametrize('is_booted_old', [False, True])
def test_a_gateway_that_boots_beside_old_ones_starts_at_once(
    run_fleet, is_booted_old
):
    """Guards against a rolling update in which gateways wait for a word that
    an earlier version never sends, or stumble over a question."""

    async def session(fleet):
        old = [fleet.start(f'g{number}') for number in range(3)]
        if not is_booted_old:
            for gateway in old:
                _forget_restores(gateway)
        await _lose_writes(fleet)
        booted = fleet.start('g99')
        if is_booted_old:
            _forget_restores(booted)
        assert await _time_completion([booted]) < _START_S
        fleet.configure(3)
        fleet.store.put('evacuations', 'west-b', {})
        await asyncio.sleep(_BOUND_S)
        assert booted.read_version() == 3
        assert booted.names() == {'i-1'}

    run_fleet(session)


_GHOST = (
    'servers/i-9',
    json.dumps({'Spec': _upstream('west-a'), 'Status': None}).encode(),
    'u',
    9,
)


@pytest.mark.parametrize(
    ('answer', 'is_believed'),
    [
        (RestoreAnswer('servers/', 99, kept=[_GHOST]), False),
        (RestoreAnswer('servers/', 2, [_GHOST]), False),
        (RestoreAnswer('servers/', 0, [_GHOST]), False),
        (RestoreAnswer('servers/', 1, [_GHOST]), False),
        (RestoreAnswer('servers/', 1, kept=[_GHOST]), True),
        (RestoreAnswer('servers/', 1, kept=[_GHOST], age_s=11), False),
        (RestoreAnswer('servers/', kept=[_GHOST]), False),
        (RestoreAnswer('odd/', 1, kept=[_GHOST]), False),
    ],
)
def test_a_word_that_is_wrong_does_no_harm(run_fleet, answer, is_believed):
    """Guards against a gateway that starts and follows another one's error: an
    era that the store never had, or for long an upstream that never was."""

    async def session(fleet):
        other = fleet.start('g1')
        peers = other.assembly.peers
        send = peers.send
        peers.send = lambda name, body: send(
            name, answer if isinstance(body, RestoreAnswer) else body
        )
        await asyncio.sleep(4)
        booted = fleet.start('g99')
        assert await _time_completion([booted]) < _START_S
        await asyncio.sleep(_POLL_S)
        assert booted.read_version() == 1
        used = {'i-1', 'i-9'} if is_believed else {'i-1'}
        assert booted.names() == used
        fleet.configure(2)
        await asyncio.sleep(_BOUND_S)
        assert booted.read_version() == 2
        await asyncio.sleep(_BOUND_S)
        assert booted.names() == {'i-1'}

    run_fleet(session)


@pytest.mark.parametrize('count', [2, 9, 20, 60])
@pytest.mark.parametrize('was_restored', [False, True])
def test_a_fleet_that_starts_at_once_is_ready_as_one_gateway_is(
    run_fleet, count, was_restored
):
    """Guards against gateways that wait for each other's word after a loss of
    power, when nobody has one: that took up to 0.8 s of each recovery."""

    async def session(fleet):
        alone = await _time_completion([fleet.start('g99')])
        fleet.gateways.pop().stop()
        if was_restored:
            fleet.store.restore(fleet.store.copy())
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        assert await _time_completion(gateways) <= alone

    run_fleet(session)


def test_a_sweep_that_crosses_a_restore_spares_a_new_entry(run_fleet):
    """Guards against the removal of a live gateway's entry that got the
    revision of a dead one's: only the revision is sent."""

    async def session(fleet):
        kept = fleet.store.copy()
        gateway = fleet.start('g1')
        await asyncio.sleep(3)
        store = fleet.store
        store.restore(kept)
        first = store.put(
            'gateways', 'g9', {'operation': '', 'body': {'address': 'a'}}
        )
        client = gateway.assembly.dependencies.store
        listed = await client.iter_objects('gateways/')
        dead = next(one for one in listed if one.key == 'gateways/g9')
        store.restore(kept)
        second = store.put(
            'gateways', 'g9', {'operation': '', 'body': {'address': 'b'}}
        )
        assert first['Metadata']['Revision'] == second['Metadata']['Revision']
        with pytest.raises(VersionConflict):
            await client.remove(dead.key, Expected.of(dead))

    run_fleet(session)


@pytest.mark.parametrize('count', [2, 20])
def test_a_gateway_that_boots_at_the_return_never_has_less(run_fleet, count):
    """Guards against a gateway that boots at the return and serves the
    configuration of the copy while its peers hold the confirmed one."""

    async def session(fleet):
        for number in range(count - 1):
            fleet.start(f'g{number}')
        await asyncio.sleep(4)
        kept = fleet.store.copy()
        fleet.configure(2)
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        booted = fleet.start('g99')
        seen = set()
        for _ in range(30):
            await asyncio.sleep(0.05)
            if booted.state.is_complete:
                seen.add(booted.read_version())
        assert seen == {2}

    run_fleet(session)


def test_an_era_too_high_at_one_gateway_stays_there(run_fleet):
    """Guards against one gateway that spreads a wrong era to all others."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(20)]
        await asyncio.sleep(4)
        name = gateways[0].assembly.peers.aggregators()[0]
        one = next(one for one in gateways if one.name == name)
        one.faults.era_text = '900'
        await asyncio.sleep(3)
        one.faults.era_text = None
        await asyncio.sleep(10)
        before = fleet.store.calls
        fleet.configure(2)
        await asyncio.sleep(_BOUND_S)
        behind = [one.name for one in gateways if one.read_version() != 2]
        calls = fleet.store.calls - before
        assert (len(behind), calls) < (1, 100)

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4, 20])
def test_a_restore_after_a_wrong_era_is_noticed(run_fleet, count):
    """Guards against a restore that seems older than a wrong era, and against
    gateways that return to the wrong one when they hear of it again."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        await asyncio.sleep(4)
        for gateway in gateways[::2]:
            gateway.faults.era_text = '900'
        await asyncio.sleep(3)
        for gateway in gateways:
            gateway.faults.era_text = None
        await asyncio.sleep(10)
        kept = fleet.store.copy()
        fleet.configure(2)
        fleet.register('i-2')
        await asyncio.sleep(3)
        await fleet.return_from(kept)
        wrong = {}
        for _ in range(20):
            _record_wrong(gateways, {'i-1', 'i-2'}, wrong)
            await asyncio.sleep(_POLL_S)
        fleet.configure(3)
        fleet.register('i-2')
        await asyncio.sleep(_BOUND_S)
        assert {one.read_version() for one in gateways} == {3}
        assert not wrong

    run_fleet(session)


@pytest.mark.parametrize('count', [1, 4])
@pytest.mark.parametrize('hung_s', [0.5, 1, 1.5, 2])
@pytest.mark.parametrize('later_s', [0.1, 1])
def test_a_check_that_a_restore_crosses_is_repeated(
    run_fleet, count, later_s, hung_s
):
    """Guards against a listing that is asked for while one is under way that
    fails: the watch of the lost history stays."""

    async def session(fleet):
        gateways = [fleet.start(f'g{number}') for number in range(count)]
        await asyncio.sleep(3)
        kept = fleet.store.copy()
        fleet.write_much()
        await asyncio.sleep(3)
        assembly = gateways[0].assembly
        follower = assembly.replicas.followers[0]
        store = assembly.dependencies.store
        read_listing = store.read_listing

        async def fail(prefix):
            if prefix != follower.prefix:
                return await read_listing(prefix)
            store.read_listing = read_listing
            await asyncio.sleep(hung_s)
            raise PlatformUnavailable('no answer')

        while follower._check_requested.is_set():
            await asyncio.sleep(0.01)
        store.read_listing = fail
        follower.check()
        await fleet.return_from(kept, away_s=0.1, hangs_watches=True)
        await asyncio.sleep(later_s)
        fleet.configure(2)
        await asyncio.sleep(_BOUND_S)
        assert {one.read_version() for one in gateways} == {2}

    run_fleet(session)
