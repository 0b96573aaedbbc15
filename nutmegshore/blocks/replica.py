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
    """A source of chunks besides the platform, such as a peer."""

    @abc.abstractmethod
    async def read_chunk(self, generation: int, index: int) -> bytes | None:
        """Body of a chunk as `BlockReplica.write_chunk` encodes it, or None."""


@attrs.define
class _Load:
    """A load in progress and the deltas received since it began."""

    manifest: Manifest
    rebuild: Rebuild
    deltas: dict[int, Delta] = attrs.field(factory=dict)
    buffered: list[Delta] = attrs.field(factory=list)
    versions: dict[int, int] = attrs.field(factory=dict)

    def append(self, bits: int, rows: list[Row]) -> None:
        """Append the next blocks in order."""
        for row in rows:
            self.rebuild.append(bits, row)

    def buffer(self, delta: Delta) -> bool:
        """Buffer a delta of this generation until the end of the load."""
        is_same_generation = delta.generation == self.manifest.generation
        if is_same_generation:
            self.buffered.append(delta)
        return is_same_generation

    def apply_delta(self, index: int) -> None:
        """Apply the listed changes that the chunk does not include."""
        delta = self.deltas.get(index)
        if delta is not None:
            _apply_delta(delta, self.versions, self.rebuild.block_set.change)


class BlockReplica:
    """Loads a `BlockTable` in slices and merges deltas into it.

    Each chunk is read from `sources` in order and then from the platform; a
    chunk that is missing, damaged or older than the delta's base is read from
    the next source. During a load the table answers from its previous blocks.

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
        """Replicate into `table`; nothing is read before `load`."""
        self.manifest: Manifest | None = None
        self._table = table
        self._store = store
        self._clock = clock
        self._sources = (*sources, store)
        self._versions: dict[int, int] = {}
        self._load: _Load | None = None

    async def load(self) -> AsyncIterator[int]:
        """Load the whole table; yields the count of loaded blocks per slice.

        Raises the platform's errors, and `ChunkFault` when no table is
        published, a chunk is folded during the load, or no source has a
        usable chunk, for instance because a publication replaced the
        generation. The table then stays as it was and can be loaded again. A
        later load of this table supersedes this one.
        """
        load = await self._begin()
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, load)
            done = 0
            while len(load.versions) < len(load.manifest.positions):
                chunk = await self._read_chunk(load, len(load.versions))
                rows = iter_rows(chunk, load.rebuild.block_set.rankings)
                async for batch in iter_slices(rows, self._clock):
                    load.append(chunk.bits, batch)
                    done += len(batch)
                    yield done
                load.apply_delta(chunk.index)
            self._finish(load)

    def merge(self, delta: Delta) -> bool:
        """Apply the changes that are new; False if a load is needed.

        Changes are compared by number, so deltas may repeat or arrive out of
        order.
        """
        load = self._load
        is_buffered = load is not None and load.buffer(delta)
        if self.manifest is None:
            return is_buffered
        if delta.generation == self.manifest.generation:
            return (
                _apply_delta(delta, self._versions, self._table.change)
                or is_buffered
            )
        # An older generation is no longer in force; a newer one needs a load,
        # unless a load of it is in progress.
        return is_buffered or delta.generation < self.manifest.generation

    def merge_stored(self, stored: StoredObject) -> bool:
        """Apply an object delivered by a watch of BLOCKS_PREFIX.

        False if a load is needed, after a new manifest or a missed delta.
        Raises `ChunkFault` for a malformed manifest or delta.
        """
        if stored.key == MANIFEST_KEY:
            manifest = codec.parse_manifest(stored.body)
            loading = self._load.manifest if self._load else self.manifest
            return manifest in {self.manifest, loading}
        if is_delta_key(stored.key):
            return self.merge(codec.parse_delta(stored.body))
        return True

    async def write_chunk(self, generation: int, index: int) -> bytes | None:
        """Encode a chunk of the current table for a peer that loads.

        None if this replica does not have the generation or the chunk. The
        rows and their version are read in one slice, so that they match, and
        encoded in later ones.
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
        # Deltas received from here on are buffered, so that none is missed
        # between the listing and the end of the load. The listing precedes the
        # chunk reads, so that changes folded in between are in both.
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
        for delta in load.buffered:
            if not _apply_delta(delta, load.versions, block_set.change):
                raise ChunkFault(
                    f'chunk {delta.index} was folded during the load'
                )
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


def _apply_delta(
    delta: Delta, versions: dict[int, int], apply_change: Any
) -> bool:
    version = versions.get(delta.index, 0)
    if version < delta.base:
        return False
    for change in delta.changes:
        if change.number > version:
            apply_change(change.network, change.sites)
    versions[delta.index] = max(version, delta.last)
    return True
