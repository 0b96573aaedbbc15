"""Tests of loading the table and keeping it up to date."""

import itertools
import random

import pytest

from nutmegshore.blocks import (
    WORK_PER_SLICE,
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
    """Serves what its replica writes, or the given bytes instead."""

    def __init__(self, replica=None, body=None):
        self.replica = replica
        self.body = body
        self.asked = 0

    async def read_chunk(self, generation, index):
        self.asked += 1
        if self.replica is None:
            return self.body
        return await self.replica.write_chunk(generation, index)


class _Side:
    """A store client with a table and its replica."""

    def __init__(self, memory, *sources):
        clock = VirtualClock()
        platform = MemoryPlatform(memory, clock)
        self.store = BlockStore(platform, random.Random(7))
        self.table = BlockTable()
        self.replica = BlockReplica(self.table, self.store, clock, sources)

    async def load(self, *steps):
        """Load, with a step after each slice."""
        waiting = list(steps)
        async for _ in self.replica.load():
            if waiting:
                await waiting.pop(0)()

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
    monkeypatch.setattr(store_module, 'CHUNK_BLOCKS', 8)


def test_a_load_gives_what_was_published_and_changed(blocks, small_chunks):
    """Guards against blocks or changes that a load leaves out."""

    async def session():
        side = _Side(MemoryStore())
        generation = (await side.store.publish(blocks)).generation
        await side.store.change(blocks[3].network, None)
        await side.store.fold_chunk(generation, 0)
        await side.store.change(blocks[4].network, (5, 6))
        await side.load()
        return side.sites

    expected = {block.network: block.sites for block in blocks}
    expected.pop(blocks[3].network)
    expected[blocks[4].network] = (5, 6)
    assert run_virtual(session) == expected


def test_changes_during_a_load_are_in_force_after_it(blocks, small_chunks):
    """Guards against a load that reverts or loses a change."""

    async def session():
        memory = MemoryStore()
        side, writer = _Side(memory), _Side(memory)
        await side.store.publish(blocks)
        await side.load()
        stale = await writer.store.change(blocks[0].network, (7,))

        async def change():
            # Already in the listing that the load read, and then a newer one.
            assert side.replica.merge(stale)
            delta = await writer.store.change(blocks[0].network, (8,))
            assert side.replica.merge(delta)
            assert side.replica.merge(stale)
            assert side.sites[blocks[0].network] == (8,)

        await side.load(change)
        return side.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_a_late_change_does_not_undo_what_a_load_read(blocks):
    """Guards against a revert by a delta that comes after its successor."""

    async def session():
        memory = MemoryStore()
        side = _Side(memory)
        await side.store.publish(blocks)
        stale = await side.store.change(blocks[0].network, (7,))
        await side.store.change(blocks[0].network, (8,))
        await side.load()
        assert side.replica.merge(stale)
        return side.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_a_missed_delta_asks_for_a_load(blocks):
    """Guards against a replica that goes on without folded changes."""

    async def session():
        memory = MemoryStore()
        side, writer = _Side(memory), _Side(memory)
        generation = (await side.store.publish(blocks)).generation
        await side.load()
        await writer.store.change(blocks[0].network, (7,))
        await writer.store.fold_chunk(generation, 0)
        delta = await writer.store.change(blocks[1].network, (8,))
        assert not side.replica.merge(delta)

        async def merge_late():
            side.replica.merge(delta)

        await side.load(merge_late)
        return side.sites

    sites = run_virtual(session)
    assert sites[blocks[0].network] == (7,)
    assert sites[blocks[1].network] == (8,)


def test_a_fold_during_a_load_fails_the_load(blocks, small_chunks):
    """Guards against a load that misses changes folded beside it."""

    async def session():
        memory = MemoryStore()
        side, writer = _Side(memory), _Side(memory)
        generation = (await side.store.publish(blocks)).generation

        async def fold():
            await writer.store.change(blocks[0].network, (7,))
            await writer.store.fold_chunk(generation, 0)
            delta = await writer.store.change(blocks[0].network, (8,))
            side.replica.merge(delta)

        with pytest.raises(ChunkFault, match='folded'):
            await side.load(fold)
        assert not side.sites
        await side.load()
        return side.sites[blocks[0].network]

    assert run_virtual(session) == (8,)


def test_chunks_come_from_peers_first(blocks, small_chunks):
    """Guards against every instance reading every chunk of the platform."""

    async def session():
        memory = MemoryStore()
        first = _Side(memory)
        await first.store.publish(blocks)
        await first.load()
        await first.store.change(blocks[0].network, (7,))
        peer = _Peer(first.replica)
        second = _Side(memory, peer)
        memory.call_counts.clear()
        await second.load()
        assert peer.asked == 6
        assert memory.call_counts['read'] == 2
        return first, second

    first, second = run_virtual(session)
    assert second.sites == {**first.sites, blocks[0].network: (7,)}


def test_a_damaged_or_stale_chunk_comes_from_the_platform(blocks):
    """Guards against a peer whose chunk lacks changes or is broken."""

    async def session():
        memory = MemoryStore()
        old = _Side(memory)
        generation = (await old.store.publish(blocks)).generation
        await old.load()
        await old.store.change(blocks[0].network, (7,))
        await old.store.fold_chunk(generation, 0)
        new = _Side(memory, _Peer(old.replica), _Peer(body=b'x'))
        await new.load()
        return new.sites

    sites = run_virtual(session)
    assert sites == {
        **{block.network: block.sites for block in blocks},
        blocks[0].network: (7,),
    }


def test_a_chunk_of_another_place_comes_from_the_platform(blocks):
    """Guards against a peer that answers with a chunk not asked for."""

    async def session():
        memory = MemoryStore()
        side = _Side(memory)
        generation = (await side.store.publish(blocks)).generation
        other = await side.store.read_chunk(generation, 1)
        new = _Side(memory, _Peer(body=other))
        await new.load()
        return new.sites

    assert len(run_virtual(session)) == len(blocks)


def test_a_watch_brings_changes_and_asks_for_loads(blocks):
    """Guards against a change or a publication that goes unnoticed."""

    async def session():
        memory = MemoryStore()
        side = _Side(memory)
        await side.store.publish(blocks)
        assert not _merge_all(side, memory)
        await side.load()
        await side.store.change(blocks[0].network, (7,))
        assert _merge_all(side, memory)
        assert side.sites[blocks[0].network] == (7,)
        await side.store.publish(blocks)
        assert not _merge_all(side, memory)
        await side.load()
        assert _merge_all(side, memory)
        return side.sites[blocks[0].network]

    assert run_virtual(session) == blocks[0].sites


def _merge_all(side, memory):
    changes = [Change(key, stored) for key, stored in memory.by_key.items()]
    return all([side.replica.merge_stored(one.stored) for one in changes])


def test_a_load_that_fails_leaves_the_table(blocks, small_chunks):
    """Guards against a table that is empty or half full after a failure."""

    async def session():
        memory = MemoryStore()
        side = _Side(memory)
        with pytest.raises(ChunkFault, match='published'):
            await side.load()
        generation = (await side.store.publish(blocks)).generation
        await side.load()
        memory.by_key.pop(f'blocks/{generation}/chunk/2')
        with pytest.raises(ChunkFault, match='no source'):
            await side.load()
        async for _ in side.table.fold(VirtualClock()):
            assert side.sites
        return side.sites

    assert len(run_virtual(session)) == len(blocks)


def test_a_load_gives_way_after_each_slice_of_work(monkeypatch):
    """Guards against a load that holds the loop for a whole chunk."""
    count = 3 * WORK_PER_SLICE + 1
    built = []
    append = Rebuild.append

    def counted(rebuild, bits, row):
        built.append(row)
        append(rebuild, bits, row)

    monkeypatch.setattr(Rebuild, 'append', counted)

    async def session():
        side = _Side(MemoryStore())
        await side.store.publish(
            Block(Network(32, number << 8, 24), (1,)) for number in range(count)
        )
        seen = [len(built)]
        sleep = VirtualClock.sleep

        async def noted(clock, seconds):
            seen.append(len(built))
            await sleep(clock, seconds)

        monkeypatch.setattr(VirtualClock, 'sleep', noted)
        await side.load()
        return seen

    seen = run_virtual(session)
    steps = [after - before for before, after in itertools.pairwise(seen)]
    assert max(steps) == WORK_PER_SLICE
    assert sum(steps) == count
