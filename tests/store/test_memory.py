"""Tests of the in-memory platform and of resolved writes."""

import asyncio

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import (
    HistoryLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.store import (
    Expected,
    MemoryPlatform,
    MemoryStore,
    write_resolved,
)


def _client():
    store = MemoryStore()
    return store, MemoryPlatform(store, VirtualClock())


def test_a_lost_answer_is_resolved_by_the_operation_id():
    """Guards against a stored write reported as failed or done twice."""

    async def session():
        store, platform = _client()
        store.faults.lost_answers = 1
        return await write_resolved(platform, 'k', b'1', None, 'op-1')

    assert run_virtual(session).operation == 'op-1'


def test_an_equal_value_of_another_writer_is_a_conflict():
    """Guards against resolving a lost answer by comparing values."""

    async def session():
        store, platform = _client()
        await platform.write('k', b'1', None, 'op-other')
        store.faults.lost_answers = 1
        await write_resolved(platform, 'k', b'1', None, 'op-mine')

    with pytest.raises(VersionConflict):
        run_virtual(session)


def test_a_stale_write_conflicts_after_remove_and_create():
    """Guards against a restarted version that matches a stale one."""

    async def session():
        _, platform = _client()
        stale = await platform.write('k', b'1', None, 'a')
        await platform.remove('k', Expected.of(stale))
        await platform.write('k', b'2', None, 'b')
        await platform.write('k', b'3', Expected.of(stale), 'c')

    with pytest.raises(VersionConflict):
        run_virtual(session)


def test_a_platform_that_is_down_applies_no_write():
    """Guards against a write that fails but still takes effect."""

    async def session():
        store, platform = _client()
        store.faults.is_down = True
        with pytest.raises(PlatformUnavailable):
            await platform.write('k', b'1', None, 'a')
        return store.by_key

    assert not run_virtual(session)


def test_dropped_history_ends_watches_of_older_positions():
    """Guards against a watch that waits for dropped changes."""

    async def session():
        store, platform = _client()
        await platform.write('k', b'1', None, 'a')
        waiting = asyncio.ensure_future(platform.watch('k', 1))
        await asyncio.sleep(1)
        await platform.write('other', b'1', None, 'b')
        store.compact()
        with pytest.raises(HistoryLost):
            await waiting
        with pytest.raises(HistoryLost):
            await platform.watch('k', 0)
        listing = await platform.read_listing('k')
        assert listing.position == store.position
        return [stored.key for stored in listing.listed]

    assert run_virtual(session) == ['k']
