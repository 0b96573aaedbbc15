"""Tests of loading the table and keeping it up to date."""

import itertools
import random

import pytest

from nutmegshore.blocks import (
    ITEMS_PER_SLICE,
    Block,
    BlockReplica,
    BlockStore,
    BlockTable,
    ChunkFault,
    ChunkSource,
    Network,
)
from nutmegshore.blocks import store as store_module
from nutmegshore.blocks.table import Rebuild
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.store import Change, MemoryPlatform, MemoryStore


class _Peer(ChunkSource):
    """Serves the chunks of a replica, or fixed bytes without one."""

    def __init__(self, replica=None, body=None):
        self.replica = replica
        self.body = body
        self.read_count = 0

    async def read_chunk(self, generation, index):
        self.read_count += 1
        if self.replica is None:
            return self.body
        return await self.replica.write_chunk(generation, index)


class _Instance:
    """An instance with its own store client, table and replica."""

    def __init__(self, memory, *sources):
        clock = VirtualClock()
        platform = MemoryPlatform(memory, clock)
        self.store = BlockStore(platform, random.Random(7))
        self.table = BlockTable()
        self.replica = BlockReplica(self.table, self.store, clock, sources)

    async def load(self, *steps):
        """Load the table and run one step after each slice."""
        remaining_steps = list(steps)
        async for _ in self.replica.load():
            if remaining_steps:
                await remaining_steps.pop(0)()

    @property
    def sites(self):
        """Sites by network."""
        return {
            block.network: block.sites
            for bits in (32, 128)
            for block in self.table.iter_blocks(bits)
        }


@pytest.fixture
def blocks():
    """Forty ordered blocks of both families."""
    rng = random.Random(7)
    return [
        Block(Network(bits, number << bits - 8, 8), (rng.randrange(180),))
        for bits in (32, 128)
        for number in range(20)
    ]


@pytest.fixture
def small_chunks(monkeypatch):
    """Chunks of eight blocks."""
    monkeypatch.setattr(store_module, 'BLOCKS_PER_CHUNK', 8)


def test_a_load_includes_published_blocks_and_changes(blocks, small_chunks):
    """Guards against a load that omits blocks or changes."""

    async def session():
        instance = _Instance(MemoryStore())
        generation = (await instance.store.publish(blocks)).generation
        await instance.store.change(blocks[3].network, None)
        await instance.store.fold_chunk(generation, 0)
        await instance.store.change(blocks[4].network, (5, 6))
        await instance.load()
        return instance.sites

    expected = {block.network: block.sites for block in blocks}
    expected.pop(blocks[3].network)
    expected[blocks[4].network] = (5, 6)
    assert run_virtual(session) == expected


def test_changes_during_a_load_are_in_force_after_it(blocks, small_chunks):
    """Guards against a load that reverts or loses a change."""

    async def session():
        memory = MemoryStore()
        instance, writer = _Instance(memory), _Instance(memory)
        await instance.store.publish(blocks)
        await instance.load()
        stale = await writer.store.change(blocks[0].network, (7,))

        async def change():
            # First a delta that the load has already listed, then a newer one.
            assert instance.replica.merge(stale)
            delta = await writer.store.change(blocks[0].network, (8,))
            assert instance.replica.merge(delta)
            assert instance.replica.merge(stale)
            assert instance.sites[blocks[0].network] == (8,)

        await instance.load(change)
        return instance.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_a_late_change_does_not_undo_what_a_load_read(blocks):
    """Guards against a delta that arrives late and reverts its successor."""

    async def session():
        memory = MemoryStore()
        instance = _Instance(memory)
        await instance.store.publish(blocks)
        stale = await instance.store.change(blocks[0].network, (7,))
        await instance.store.change(blocks[0].network, (8,))
        await instance.load()
        assert instance.replica.merge(stale)
        return instance.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_a_missed_delta_requires_a_load(blocks):
    """Guards against a replica that continues without folded changes."""

    async def session():
        memory = MemoryStore()
        instance, writer = _Instance(memory), _Instance(memory)
        generation = (await instance.store.publish(blocks)).generation
        await instance.load()
        await writer.store.change(blocks[0].network, (7,))
        await writer.store.fold_chunk(generation, 0)
        delta = await writer.store.change(blocks[1].network, (8,))
        assert not instance.replica.merge(delta)

        async def merge_late():
            instance.replica.merge(delta)

        await instance.load(merge_late)
        return instance.sites

    sites = run_virtual(session)
    assert sites[blocks[0].network] == (7,)
    assert sites[blocks[1].network] == (8,)


def test_a_fold_during_a_load_fails_the_load(blocks, small_chunks):
    """Guards against a load that misses changes folded meanwhile."""

    async def session():
        memory = MemoryStore()
        instance, writer = _Instance(memory), _Instance(memory)
        generation = (await instance.store.publish(blocks)).generation

        async def fold():
            await writer.store.change(blocks[0].network, (7,))
            await writer.store.fold_chunk(generation, 0)
            delta = await writer.store.change(blocks[0].network, (8,))
            instance.replica.merge(delta)

        with pytest.raises(ChunkFault, match='folded'):
            await instance.load(fold)
        assert not instance.sites
        await instance.load()
        return instance.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_chunks_are_read_from_peers_first(blocks, small_chunks):
    """Guards against each instance reading every chunk from the platform."""

    async def session():
        memory = MemoryStore()
        first = _Instance(memory)
        await first.store.publish(blocks)
        await first.load()
        await first.store.change(blocks[0].network, (7,))
        peer = _Peer(first.replica)
        second = _Instance(memory, peer)
        memory.call_counts.clear()
        await second.load()
        assert peer.read_count == 6
        assert memory.call_counts['read'] == 2
        return first, second

    first, second = run_virtual(session)
    assert second.sites == {**first.sites, blocks[0].network: (7,)}


def test_a_damaged_or_stale_chunk_is_read_from_the_platform(blocks):
    """Guards against a peer whose chunk lacks changes or is damaged."""

    async def session():
        memory = MemoryStore()
        old = _Instance(memory)
        generation = (await old.store.publish(blocks)).generation
        await old.load()
        await old.store.change(blocks[0].network, (7,))
        await old.store.fold_chunk(generation, 0)
        new = _Instance(memory, _Peer(old.replica), _Peer(body=b'x'))
        await new.load()
        return new.sites

    sites = run_virtual(session)
    assert sites == {
        **{block.network: block.sites for block in blocks},
        blocks[0].network: (7,),
    }


def test_a_chunk_of_another_index_is_read_from_the_platform(blocks):
    """Guards against a peer that returns a chunk other than the requested."""

    async def session():
        memory = MemoryStore()
        instance = _Instance(memory)
        generation = (await instance.store.publish(blocks)).generation
        other = await instance.store.read_chunk(generation, 1)
        new = _Instance(memory, _Peer(body=other))
        await new.load()
        return new.sites

    assert len(run_virtual(session)) == len(blocks)


def test_watched_objects_apply_changes_or_require_a_load(blocks):
    """Guards against a change or a publication that goes unnoticed."""

    async def session():
        memory = MemoryStore()
        instance = _Instance(memory)
        await instance.store.publish(blocks)
        assert not _merge_all(instance, memory)
        await instance.load()
        await instance.store.change(blocks[0].network, (7,))
        assert _merge_all(instance, memory)
        assert instance.sites[blocks[0].network] == (7,)
        await instance.store.publish(blocks)
        assert not _merge_all(instance, memory)
        await instance.load()
        assert _merge_all(instance, memory)
        return instance.sites[blocks[0].network]

    assert run_virtual(session) == blocks[0].sites


def _merge_all(instance, memory):
    changes = [Change(key, stored) for key, stored in memory.by_key.items()]
    return all(
        [instance.replica.merge_stored(change.stored) for change in changes]
    )


def test_a_failed_load_leaves_the_table_unchanged(blocks, small_chunks):
    """Guards against an empty or incomplete table after a failed load."""

    async def session():
        memory = MemoryStore()
        instance = _Instance(memory)
        with pytest.raises(ChunkFault, match='published'):
            await instance.load()
        generation = (await instance.store.publish(blocks)).generation
        await instance.load()
        memory.by_key.pop(f'blocks/{generation}/chunk/2')
        with pytest.raises(ChunkFault, match='no source'):
            await instance.load()
        async for _ in instance.table.fold(VirtualClock()):
            assert instance.sites
        return instance.sites

    assert len(run_virtual(session)) == len(blocks)


def test_a_load_yields_to_the_event_loop_after_each_slice(monkeypatch):
    """Guards against a load that blocks the event loop for a whole chunk."""
    count = 3 * ITEMS_PER_SLICE + 1
    built = []
    append = Rebuild.append

    def counting_append(rebuild, bits, row):
        built.append(row)
        append(rebuild, bits, row)

    monkeypatch.setattr(Rebuild, 'append', counting_append)

    async def session():
        instance = _Instance(MemoryStore())
        await instance.store.publish(
            Block(Network(32, number << 8, 24), (1,)) for number in range(count)
        )
        counts = [len(built)]
        sleep = VirtualClock.sleep

        async def counting_sleep(clock, seconds):
            counts.append(len(built))
            await sleep(clock, seconds)

        monkeypatch.setattr(VirtualClock, 'sleep', counting_sleep)
        await instance.load()
        return counts

    counts = run_virtual(session)
    steps = [after - before for before, after in itertools.pairwise(counts)]
    assert max(steps) == ITEMS_PER_SLICE
    assert sum(steps) == count
