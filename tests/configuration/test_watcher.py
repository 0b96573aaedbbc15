"""Tests of platform reads and of the stored changes they must reject."""

import asyncio
from types import MappingProxyType

import pytest

from bench.peers_cluster import Cluster
from nutmegshore.clock import run_virtual
from nutmegshore.store import Expected
from nutmegshore.resources import write_envelope

_KEY = 'config/drain/d'
_WEST = MappingProxyType({'region': 'west'})
_NORTH = MappingProxyType({'region': 'north'})


def _tamper(change):
    """Return problems and generations after a write that bypassed the API."""

    async def session():
        cluster = Cluster(6, 1)
        await cluster.boot()
        for raw in (_WEST, _NORTH):
            await cluster.declare('e000', ('drain', 'd'), raw)
        await asyncio.sleep(2)
        change(cluster.store, cluster.store.by_key[_KEY])
        # A listing verifies the change after 2 s; reports follow within 1 s.
        await asyncio.sleep(5)
        found = [
            {problem.kind.value for problem in process.follower.problems}
            for process in cluster.by_name.values()
        ]
        generations = {
            process.table.get(_KEY).generation
            for process in cluster.by_name.values()
        }
        accepted = await cluster.declare('e001', ('drain', 'd'), _WEST)
        await asyncio.sleep(12)
        settled = [
            process.follower.problems for process in cluster.by_name.values()
        ]
        return found, generations, accepted.generation, settled

    return run_virtual(session)


def _break(store, stored):
    store.apply(_KEY, b'not JSON', Expected.of(stored), 'direct')


def _vanish(store, stored):
    store.discard(_KEY, Expected.of(stored))


@pytest.mark.parametrize(
    ('change', 'kind'),
    [(_break, 'rejected'), (_vanish, 'vanished')],
)
def test_a_direct_write_changes_nothing_and_is_reported(change, kind):
    """Guards against a revert through the store, and an unreported one."""
    found, generations, accepted, settled = _tamper(change)
    assert generations == {2}
    assert all(kinds == {kind} for kinds in found)
    assert accepted == 3
    assert not any(settled)


def test_an_older_object_changes_nothing_and_is_reported(declare):
    """Guards against a revert by a store restored from a backup."""
    older = write_envelope(declare('drain', 'd', _WEST))

    def restore(store, stored):
        store.apply(_KEY, older, Expected.of(stored), 'direct')

    found, generations, accepted, settled = _tamper(restore)
    assert generations == {2}
    assert all(kinds == {'older'} for kinds in found)
    assert accepted == 3
    assert not any(settled)


def test_an_object_under_another_key_is_rejected(declare):
    """Guards against an object that is in force under two names."""

    async def session():
        cluster = Cluster(2, 1)
        body = write_envelope(declare('drain', 'other', _WEST))
        cluster.store.apply(_KEY, body, None, 'direct')
        await cluster.boot()
        await asyncio.sleep(2)
        process = cluster.by_name['e000']
        return process.generations(), len(process.follower.problems)

    assert run_virtual(session) == ({}, 1)


def test_few_members_read_the_platform_at_boot():
    """Guards against a boot with more reads than the platform serves."""

    async def session():
        cluster = Cluster(30, 1)
        await cluster.boot()
        return cluster.store.call_counts

    counts = run_virtual(session)
    # One read of the list each, and two reads for each of six watchers.
    assert counts['read'] <= 30 + 6 * 2 + 6
    assert counts['watch'] <= 8


def test_the_recovery_of_the_store_causes_few_reads():
    """Guards against a burst of reads when the store recovers."""

    async def session():
        cluster = Cluster(30, 1)
        await cluster.boot()
        cluster.store.faults.is_down = True
        cluster.store.apply('config/x', b'', None, 'wakes the watches')
        await asyncio.sleep(12)
        before = cluster.store.call_counts['read']
        cluster.store.faults.is_down = False
        # Longer than the longest backoff of a watcher.
        await asyncio.sleep(20)
        return cluster.store.call_counts['read'] - before

    assert run_virtual(session) <= 6 * 3
