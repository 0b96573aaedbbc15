"""Tests of push, anti-entropy and readiness between entries."""

import asyncio
import zlib
from types import MappingProxyType

import msgpack
import pytest

from bench.peers_cluster import Cluster
from bench.peers_faults import run_schedule
from nutmegshore.clock import run_virtual
from nutmegshore.configuration import ConfigurationTable, next_generation
from nutmegshore.configuration.messages import Snapshot
from nutmegshore.configuration.packing import (
    iter_snapshots,
    is_missing,
    pack_versions,
    read_snapshot,
    unpack_versions,
)
from nutmegshore.configuration.elected_watcher import choose_watchers
from nutmegshore.errors import ErrorKind, LinkError

_KEY = ('drain', 'd')
_WEST = MappingProxyType({'region': 'west'})
_NORTH = MappingProxyType({'region': 'north'})


def _in_force(cluster):
    return [
        process.generations().get('config/drain/d', 0)
        for process in cluster.by_name.values()
    ]


def test_a_change_is_replicated_after_the_store_fails():
    """Guards against replication that reads the store again."""

    async def session():
        cluster = Cluster(9, 1)
        await cluster.boot()
        await cluster.declare('e000', _KEY, _WEST)
        cluster.store.faults.is_down = True
        # Shorter than a digest round, so only the push can deliver it.
        await asyncio.sleep(0.2)
        return set(_in_force(cluster)), cluster.failures()

    assert run_virtual(session) == ({1}, [])


def test_a_cut_off_region_catches_up_with_deletes():
    """Guards against a deleted object that stays or reappears."""

    async def session():
        cluster = Cluster(9, 1)
        await cluster.boot()
        await cluster.declare('e000', _KEY, _WEST)
        await asyncio.sleep(2)
        cluster.network.partition('south', 'west')
        cluster.network.partition('south', 'north')
        for name in ('e002', 'e005', 'e008'):
            cluster.by_name[name].set_store_down(is_down=True)
        await cluster.declare('e000', _KEY, None)
        await asyncio.sleep(20)
        before = sorted(_in_force(cluster))
        cluster.network.heal()
        await asyncio.sleep(20)
        return before, sorted(_in_force(cluster))

    before, after = run_virtual(session)
    assert before == [1, 1, 1, 2, 2, 2, 2, 2, 2]
    assert set(after) == {2}


def test_a_boot_does_not_trust_an_old_listing():
    """Guards against a ready entry that is older than its peers."""

    async def session():
        cluster = Cluster(4, 1)
        await cluster.boot()
        await cluster.declare('e000', _KEY, _WEST)
        await cluster.kill('e003')
        replica = cluster.by_name['e000'].platform
        replica.freeze()
        await cluster.declare('e001', _KEY, _NORTH)
        process = cluster.start('e003')
        process.platform.frozen = replica.frozen
        # The peers are linked but silent while the old listing is read.
        while len(process.peers.neighbours()) < 3:
            await asyncio.sleep(0.01)
        for name in ('e000', 'e001', 'e002'):
            cluster.by_name[name].pause(2)
        while not process.is_ready:
            await asyncio.sleep(0.05)
        return process.generations()['config/drain/d']

    assert run_virtual(session) == 2


def test_a_boot_without_peers_and_store_is_not_ready():
    """Guards against readiness with an empty configuration."""

    async def session():
        cluster = Cluster(1, 1)
        cluster.store.faults.is_down = True
        process = cluster.start('e000')
        await asyncio.sleep(60)
        before = process.follower.is_ready
        cluster.store.faults.is_down = False
        await asyncio.sleep(30)
        return before, process.follower.is_ready

    assert run_virtual(session) == (False, True)


def test_a_boot_without_store_loads_the_snapshot_of_a_peer():
    """Guards against a restart that needs the store."""

    async def session():
        cluster = Cluster(9, 1)
        await cluster.boot()
        for index in range(100):
            await cluster.declare('e000', ('drain', f'd{index}'), _WEST)
        cluster.store.faults.is_down = True
        await cluster.kill('e004')
        process = cluster.start('e004')
        await asyncio.sleep(8)
        return process.follower.is_ready, len(process.generations())

    assert run_virtual(session) == (True, 100)


def test_confirmations_name_the_members_with_a_change():
    """Guards against a status that reports a change in force too early."""

    async def session():
        cluster = Cluster(9, 1)
        await cluster.boot()
        cluster.by_name['e004'].clock.pause(5)
        envelope = await cluster.declare('e000', _KEY, _WEST)
        follower = cluster.by_name['e003'].follower
        place = (envelope.key, envelope.generation)
        await asyncio.sleep(3)
        first = set(follower.confirmations(*place))
        await asyncio.sleep(6)
        later = set(follower.confirmations(*place))
        return first, later, follower.confirmations(envelope.key, 2)

    first, later, newer = run_virtual(session)
    names = set(Cluster(9, 1).names)
    assert first == names - {'e004'}
    assert later == names
    assert not newer


@pytest.mark.parametrize('size', [9, 90])
def test_two_members_of_a_region_watch(size):
    """Guards against an election of all members as watchers."""
    names = [f'e{index}' for index in range(size)]
    watchers = choose_watchers('west', names)
    assert len(set(watchers)) == 2
    gone = [name for name in names if name != watchers[0]]
    assert watchers[1] in choose_watchers('west', gone)


def test_a_damaged_snapshot_is_refused(declare):
    """Guards against a damaged snapshot that is merged."""
    envelopes = [declare('drain', 'd', _WEST)]
    good = iter_snapshots(envelopes, is_ready=True)[0]
    assert len(read_snapshot(good)) == 1
    other = iter_snapshots([], is_ready=True)[0]
    bad = Snapshot(other.payload, good.checksum, True, True)
    with pytest.raises(LinkError):
        read_snapshot(bad)


def test_a_small_payload_that_unpacks_to_much_is_refused():
    """Guards against a few KB that unpack to gigabytes."""
    packed = zlib.compress(msgpack.packb({'k': b'\0' * 20_000_000}))
    assert len(packed) < 100_000
    with pytest.raises(LinkError) as caught:
        unpack_versions(packed)
    assert caught.value.kind is ErrorKind.FRAME_TOO_LARGE


def test_versions_show_which_envelopes_are_missing(declare):
    """Guards against an answer that omits a missing envelope."""
    old = declare('drain', 'd', _WEST)
    new = declare('drain', 'd', _NORTH, generation=2)
    other = declare('drain', 'd', _NORTH, uid='another')
    versions = unpack_versions(pack_versions([old]))
    assert [is_missing(versions, one) for one in (old, new, other)] == [
        False,
        True,
        True,
    ]
    assert not is_missing(unpack_versions(pack_versions([new])), old)


def test_the_next_generation_goes_above_what_is_in_force(declare):
    """Guards against an accepted write that can never take effect."""
    table = ConfigurationTable()
    table.merge([declare('drain', 'd', _WEST, generation=5)])
    in_force = table.get('config/drain/d')
    assert next_generation(in_force, None) == 6
    assert next_generation(in_force, declare('drain', 'd', _WEST)) == 6
    assert next_generation(None, None) == 1


@pytest.mark.parametrize('seed', [3, 22, 23, 108])
def test_no_fault_schedule_makes_the_configuration_revert(seed):
    """Guards against config_revert; 22, 23 and 108 once found faults."""
    verdict = run_schedule(seed)
    assert verdict.accepted
    assert verdict.is_sound, verdict
