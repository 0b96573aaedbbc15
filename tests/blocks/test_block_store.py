"""Tests of the table in platform objects."""

import asyncio
import random

import pytest

from nutmegshore.blocks import BlockStore, ChunkFault, store as store_module
from nutmegshore.blocks import codec
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import PlatformUnavailable, VersionConflict
from nutmegshore.store import MemoryPlatform, MemoryStore


def _make_store(memory, seed=7):
    platform = MemoryPlatform(memory, VirtualClock())
    return BlockStore(platform, random.Random(seed))


@pytest.fixture
def blocks(make_block):
    """Seven ordered blocks, two of them with the same start."""
    return [
        make_block('10.0.0.0/8', 1),
        make_block('10.0.0.0/24', 2),
        make_block('10.0.1.0/24', 3),
        make_block('11.0.0.0/24', 1),
        make_block('12.0.0.0/24', 2),
        make_block('2001:db8::/32', 1),
        make_block('2001:db8:1::/48', 2),
    ]


def test_blocks_are_split_by_family_and_start(blocks, monkeypatch):
    """Guards against chunks whose ranges do not cover their blocks."""
    monkeypatch.setattr(store_module, 'BLOCKS_PER_CHUNK', 1)

    async def session():
        return await _make_store(MemoryStore()).publish(blocks)

    assert run_virtual(session).positions == (
        (32, 0),
        *((32, blocks[index].network.start) for index in (2, 3, 4)),
        (128, 0),
        (128, blocks[6].network.start),
    )


def test_an_interrupted_publication_does_not_block_the_next(
    blocks, monkeypatch
):
    """Guards against left-over chunks that make later publications fail."""

    async def session():
        memory = MemoryStore()
        store, interrupted = _make_store(memory, 1), _make_store(memory, 2)
        first = await store.publish(blocks)
        write = interrupted._write

        async def fail_manifest_write(key, body, expected):
            memory.faults.is_down = key == store_module.MANIFEST_KEY
            await write(key, body, expected)

        monkeypatch.setattr(interrupted, '_write', fail_manifest_write)
        with pytest.raises(PlatformUnavailable):
            await interrupted.publish(blocks)
        memory.faults.is_down = False
        second = await store.publish(blocks)
        assert second.generation > first.generation
        assert await store.read_manifest() == second
        before = len(memory.by_key)
        await store.remove_generation(first.generation)
        return before - len(memory.by_key)

    assert run_virtual(session) == 2


def test_changes_are_numbered_across_writers_and_lost_answers(blocks):
    """Guards against a change that is lost or applied twice."""

    async def session():
        memory = MemoryStore()
        writers = [_make_store(memory, seed) for seed in (1, 2)]
        manifest = await writers[0].publish(blocks)
        network = blocks[0].network
        await writers[0].change(network, (5,))
        memory.faults.lost_answers = 1
        await writers[1].change(network, None)
        deltas = await writers[0].read_deltas(manifest.generation)
        return [
            (change.number, change.sites)
            for delta in deltas
            for change in delta.changes
        ]

    assert run_virtual(session) == [(1, (5,)), (2, None)]


def test_a_change_to_a_replaced_generation_is_repeated(blocks, monkeypatch):
    """Guards against an accepted change that a publication drops."""

    async def session():
        memory = MemoryStore()
        store, other = _make_store(memory, 1), _make_store(memory, 2)
        await store.publish(blocks)
        append = store._append
        replaced = []

        async def publish_first(manifest, network, sites):
            if not replaced:
                replaced.append(await other.publish(blocks))
            return await append(manifest, network, sites)

        monkeypatch.setattr(store, '_append', publish_first)
        delta = await store.change(blocks[0].network, (5,))
        return delta, await store.read_manifest()

    delta, manifest = run_virtual(session)
    assert delta.generation == manifest.generation


def test_a_fold_applies_each_change_once(blocks):
    """Guards against a fold that loses, repeats or reorders changes."""

    async def session():
        memory = MemoryStore()
        store = _make_store(memory)
        manifest = await store.publish(blocks)
        generation = manifest.generation
        await store.change(blocks[0].network, (5,))
        await store.change(blocks[2].network, None)
        await store.fold_chunk(generation, 0)
        await store.fold_chunk(generation, 0)
        delta = await store.change(blocks[2].network, (6,))
        chunk = codec.parse_chunk(await store.read_chunk(generation, 0))
        return delta, chunk

    delta, chunk = run_virtual(session)
    assert (delta.base, delta.last, chunk.version) == (2, 3, 2)
    kept = [blocks[index].network.start for index in (0, 1, 3, 4)]
    assert list(chunk.starts) == kept
    assert chunk.lists[chunk.rankings[0]] == b'\x05\0'


def test_a_fold_keeps_a_concurrent_change(blocks):
    """Guards against emptying a delta that contains a newer change."""

    async def session():
        memory = MemoryStore()
        store, other = _make_store(memory, 1), _make_store(memory, 2)
        generation = (await store.publish(blocks)).generation
        await store.change(blocks[0].network, (5,))
        memory.faults.delay_s = 1
        fold = asyncio.create_task(store.fold_chunk(generation, 0))
        await asyncio.sleep(1.2)
        memory.faults.delay_s = 0
        await other.change(blocks[0].network, (6,))
        with pytest.raises(VersionConflict):
            await fold
        deltas = await store.read_deltas(generation)
        return deltas[0]

    delta = run_virtual(session)
    assert [change.sites for change in delta.changes] == [(5,), (6,)]


def test_a_slow_fold_does_not_undo_a_newer_one(blocks):
    """Guards against a chunk that reverts to older changes."""

    async def session():
        memory = MemoryStore()
        other = _make_store(memory, 1)
        platform = MemoryPlatform(memory, VirtualClock())
        slow = BlockStore(platform, random.Random(2))
        generation = (await other.publish(blocks)).generation
        await other.change(blocks[0].network, (5,))
        platform.faults.delay_s = 1
        fold = asyncio.create_task(slow.fold_chunk(generation, 0))
        await asyncio.sleep(0.7)
        await other.change(blocks[0].network, (6,))
        await other.fold_chunk(generation, 0)
        with pytest.raises(VersionConflict):
            await fold
        return codec.parse_chunk(await other.read_chunk(generation, 0))

    chunk = run_virtual(session)
    assert chunk.version == 2
    assert chunk.lists[chunk.rankings[0]] == b'\x06\0'


def test_a_change_before_the_first_publication_is_refused(blocks):
    """Guards against a change that no table contains."""

    async def session():
        await _make_store(MemoryStore()).change(blocks[0].network, None)

    with pytest.raises(ChunkFault, match='published'):
        run_virtual(session)
