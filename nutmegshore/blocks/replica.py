"""An instance's copy of the table: loads it and keeps it up to date."""

import abc
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import attrs

from nutmegshore.blocks import codec
from nutmegshore.blocks.bodies import ChunkFault
from nutmegshore.blocks.chunks import (
    Chunk,
    Delta,
    Manifest,
    iter_rows,
    make_chunk,
)
from nutmegshore.blocks.family import Row
from nutmegshore.blocks.slices import iter_slices
from nutmegshore.blocks.store import MANIFEST_KEY, BlockStore, is_delta_key
from nutmegshore.blocks.table import BlockTable, Rebuild
from nutmegshore.clock import Clock
from nutmegshore.store.base import StoredObject

__all__ = ('BlockReplica', 'ChunkSource')


class ChunkSource(abc.ABC):
    """Where chunks come from besides the platform, such as the peers."""

    @abc.abstractmethod
    async def read_chunk(self, generation: int, index: int) -> bytes | None:
        """Body of a chunk as `BlockReplica.write_chunk` gave it, or None."""


@attrs.define
class _Load:
    """A load under way and the deltas that arrived since it began."""

    manifest: Manifest
    rebuild: Rebuild
    deltas: dict[int, Delta] = attrs.field(factory=dict)
    arrived: list[Delta] = attrs.field(factory=list)
    versions: dict[int, int] = attrs.field(factory=dict)

    def append(self, bits: int, rows: list[Row]) -> None:
        """Add the next blocks in order."""
        for row in rows:
            self.rebuild.append(bits, row)

    def hold(self, delta: Delta) -> bool:
        """Keep a delta of this generation for the end of the load."""
        is_same = delta.generation == self.manifest.generation
        if is_same:
            self.arrived.append(delta)
        return is_same

    def apply_delta(self, index: int) -> None:
        """Apply the changes that a built chunk does not contain."""
        delta = self.deltas.get(index)
        if delta is not None:
            _apply(delta, self.versions, self.rebuild.block_set.change)


class BlockReplica:
    """Loads a `BlockTable` in slices and merges deltas into it.

    `sources` are asked for each chunk in their order, the platform last; a
    chunk that is missing, damaged or older than the delta's base is taken
    from the next. During a load the table answers from what it held before.

        replica = BlockReplica(table, store, clock)
        async for done in replica.load():
            logger.debug('client blocks loading', done=done)
    """

    def __init__(
        self,
        table: BlockTable,
        store: BlockStore,
        clock: Clock,
        sources: Sequence[ChunkSource] = (),
    ) -> None:
        """Fill `table` from the sources and the store; starts empty."""
        self.manifest: Manifest | None = None
        self._table = table
        self._store = store
        self._clock = clock
        self._sources = (*sources, store)
        self._versions: dict[int, int] = {}
        self._load: _Load | None = None

    async def load(self) -> AsyncIterator[int]:
        """Load the whole table; yields the blocks done after each slice.

        Raises the platform's errors, and `ChunkFault` when no table is
        published or no source has a usable chunk, for instance because a
        publication replaced the generation: load again. The table is then as
        it was. A later load of this table puts this one out of effect.
        """
        load = await self._begin()
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, load)
            done = 0
            while len(load.versions) < len(load.manifest.positions):
                chunk = await self._read_chunk(load, len(load.versions))
                rows = iter_rows(chunk, load.rebuild.block_set.rankings)
                async for part in iter_slices(rows, self._clock):
                    load.append(chunk.bits, part)
                    done += len(part)
                    yield done
                load.apply_delta(chunk.index)
            self._finish(load)

    def merge(self, delta: Delta) -> bool:
        """Apply the changes that are new; False where a load is needed.

        Numbers decide what is new, so deltas may repeat or come out of order.
        """
        load = self._load
        is_held = load is not None and load.hold(delta)
        if self.manifest is None:
            return is_held
        if delta.generation == self.manifest.generation:
            return _apply(delta, self._versions, self._table.change) or is_held
        # An older generation is no longer in force; a newer one that no load
        # has begun on needs a load.
        return is_held or delta.generation < self.manifest.generation

    def merge_stored(self, stored: StoredObject) -> bool:
        """Take an object that a watch of BLOCKS_PREFIX delivered.

        False where a load is needed: a new manifest or a missed delta.
        """
        if stored.key == MANIFEST_KEY:
            manifest = codec.parse_manifest(stored.body)
            loading = self._load.manifest if self._load else self.manifest
            return manifest in {self.manifest, loading}
        if is_delta_key(stored.key):
            return self.merge(codec.parse_delta(stored.body))
        return True

    async def write_chunk(self, generation: int, index: int) -> bytes | None:
        """Body of a chunk from the present table, for a peer that loads.

        None where this replica does not hold the generation. The rows and
        their version are read together; coding them is a slice of its own.
        """
        manifest = self.manifest
        if manifest is None or manifest.generation != generation:
            return None
        if not 0 <= index < len(manifest.positions):
            return None
        bits, first, end = manifest.get_range(index)
        rankings = self._table.block_set.rankings
        rows = list(self._table.iter_rows(bits, first, end))
        version = Delta(generation, index, self._versions.get(index, 0))
        await self._clock.sleep(0)
        chunk = make_chunk(version, bits, rows, rankings)
        await self._clock.sleep(0)
        return codec.write_chunk(chunk)

    async def _begin(self) -> _Load:
        manifest = await self._store.read_manifest()
        if manifest is None:
            raise ChunkFault('no table is published')
        load = _Load(manifest, self._table.begin_rebuild())
        # From here on deltas that arrive are held, so that none falls between
        # the listing and the end of the load. The listing comes before the
        # chunks: a fold in between leaves its changes in both.
        self._load = load
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, load)
            for delta in await self._store.read_deltas(manifest.generation):
                load.deltas[delta.index] = delta
            stack.pop_all()
        return load

    def _end(self, load: _Load) -> None:
        self._table.abandon_rebuild(load.rebuild)
        if self._load is load:
            self._load = None

    async def _read_chunk(self, load: _Load, index: int) -> Chunk:
        generation = load.manifest.generation
        sources = list(self._sources)
        while sources:
            body = await sources.pop(0).read_chunk(generation, index)
            chunk = _parse_usable(body, load, index)
            if chunk is not None:
                load.versions[index] = chunk.version
                return chunk
        raise ChunkFault(f'no source has chunk {index} of {generation}')

    def _finish(self, load: _Load) -> None:
        block_set = load.rebuild.block_set
        for delta in load.arrived:
            if not _apply(delta, load.versions, block_set.change):
                raise ChunkFault(f'chunk {delta.index} was folded in a load')
        if self._table.finish_rebuild(load.rebuild):
            self.manifest = load.manifest
            self._versions = load.versions


def _parse_usable(body: bytes | None, load: _Load, index: int) -> Chunk | None:
    if body is None:
        return None
    try:
        chunk = codec.parse_chunk(body)
    except ChunkFault:
        return None
    generation = load.manifest.generation
    if (chunk.generation, chunk.index) != (generation, index):
        return None
    delta = load.deltas.get(index)
    if delta is not None and chunk.version < delta.base:
        return None
    return chunk


def _apply(delta: Delta, versions: dict[int, int], change: Any) -> bool:
    known = versions.get(delta.index, 0)
    if known < delta.base:
        return False
    for one in delta.changes:
        if one.number > known:
            change(one.network, one.sites)
    versions[delta.index] = max(known, delta.last)
    return True
