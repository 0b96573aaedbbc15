"""Stores the table of client blocks in platform objects."""

import random
from collections.abc import Iterable, Iterator

import attrs

from nutmegshore.blocks import codec
from nutmegshore.blocks.block import V4_BITS, V6_BITS, Block, Network
from nutmegshore.blocks.bodies import ChunkFault
from nutmegshore.blocks.chunks import (
    BLOCKS_PER_CHUNK,
    BlockChange,
    Delta,
    Manifest,
    iter_rows,
    make_chunk,
)
from nutmegshore.blocks.family import Row
from nutmegshore.blocks.rankings import Rankings
from nutmegshore.errors import VersionConflict
from nutmegshore.store import (
    Expected,
    Platform,
    StoredObject,
    write_resolved,
)

__all__ = (
    'BLOCKS_PREFIX',
    'DELTA_FOLD_THRESHOLD',
    'MANIFEST_KEY',
    'BlockStore',
    'delta_prefix',
    'is_delta_key',
)

BLOCKS_PREFIX = 'blocks/'
MANIFEST_KEY = 'blocks/manifest'

#: Number of changes at which a delta is due to be folded into its chunk.
DELTA_FOLD_THRESHOLD = 512

_MAX_ATTEMPTS = 5
_OPERATION_BITS = 128
#: Random lower bits of a generation; its upper bits are a count. The keys of an
#: interrupted publication then do not collide with those of the next one.
_RANDOM_BITS = 32


def delta_prefix(generation: int) -> str:
    """Key prefix of a generation's deltas."""
    return f'{BLOCKS_PREFIX}{generation}/delta/'


def is_delta_key(key: str) -> bool:
    """Whether a key belongs to a delta of any generation."""
    return key.startswith(BLOCKS_PREFIX) and '/delta/' in key


def _delta_key(generation: int, index: int) -> str:
    return f'{BLOCKS_PREFIX}{generation}/delta/{index}'


def _chunk_key(generation: int, index: int) -> str:
    return f'{BLOCKS_PREFIX}{generation}/chunk/{index}'


@attrs.frozen
class _StoredDelta:
    """A delta and the precondition of its next write."""

    delta: Delta
    expected: Expected | None


@attrs.define
class _PendingChunk:
    """Blocks of a chunk to be written; its range begins at `first`."""

    bits: int
    first: int = 0
    blocks: list[Block] = attrs.field(factory=list)

    def is_full_before(self, block: Block) -> bool:
        """Whether a block belongs in the next chunk.

        Blocks with the same start share a chunk, because the chunk of a change
        is found by start.
        """
        if len(self.blocks) < BLOCKS_PER_CHUNK:
            return False
        return self.blocks[-1].network.start != block.network.start


class BlockStore:
    """Reads and writes the table's manifest, chunks and deltas.

    The manifest names a generation and the address ranges of its chunks. A
    change of one block is appended to its chunk's delta by a conditional
    write; a fold merges the delta into the chunk. Changes to a chunk are
    numbered consecutively, and the chunk records the last one it includes, so
    each change applies once whichever of the two writes of a fold a reader
    has seen.

    Every method raises the platform's errors, and `ChunkFault` for an object
    that cannot be decoded or exceeds 1 MB.

        store = BlockStore(platform, random.Random(7))
        await store.publish(blocks)
        await store.change(parse_network('10.2.0.0/16'), (3, 1))
    """

    def __init__(self, platform: Platform, rng: random.Random) -> None:
        """Use a platform; `rng` generates operation ids and generations."""
        self._platform = platform
        self._rng = rng

    async def read_manifest(self) -> Manifest | None:
        """Read the manifest in force; None before the first publication."""
        stored = await self._platform.read(MANIFEST_KEY)
        return codec.parse_manifest(stored.body) if stored else None

    async def read_deltas(self, generation: int) -> list[Delta]:
        """Read every delta of a generation with one request."""
        prefix = delta_prefix(generation)
        found = await self._platform.iter_objects(prefix)
        return [codec.parse_delta(stored.body) for stored in found]

    async def read_chunk(self, generation: int, index: int) -> bytes | None:
        """Read the body of a chunk; None if it does not exist."""
        stored = await self._platform.read(_chunk_key(generation, index))
        return stored.body if stored else None

    async def publish(self, blocks: Iterable[Block]) -> Manifest:
        """Replace the whole table; `blocks` are ordered by family and start.

        The new chunks are written first and take effect with the manifest.
        Raises `VersionConflict` if another publication came first. Objects of
        the previous generation remain until `remove_generation`.
        """
        stored = await self._platform.read(MANIFEST_KEY)
        generation = _next_generation(stored, self._rng)
        positions: list[tuple[int, int]] = []
        pending_chunks = _split_into_chunks(blocks)
        while pending := next(pending_chunks, None):
            await self._write_chunk(generation, len(positions), pending)
            positions.append((pending.bits, pending.first))
        manifest = Manifest(generation, tuple(positions))
        body = codec.write_manifest(manifest)
        await self._write(MANIFEST_KEY, body, _expect(stored))
        return manifest

    async def change(
        self,
        network: Network,
        sites: tuple[int, ...] | None,
    ) -> Delta:
        """Put one block, or remove it if `sites` is None.

        Returns the delta that includes the change; the change is then
        accepted. The manifest is read again after the write, and a change to a
        generation that was replaced meanwhile is repeated in the new one.
        Raises `VersionConflict` after several conflicts with other writers of
        the same chunk.
        """
        attempts = 0
        delta = None
        while delta is None:
            attempts += 1
            try:
                delta = await self._try_change(network, sites)
            except VersionConflict:
                if attempts == _MAX_ATTEMPTS:
                    raise
        return delta

    async def fold_chunk(self, generation: int, index: int) -> None:
        """Merge the changes of a delta into its chunk and empty the delta.

        Raises `VersionConflict` if another fold or a change intervenes; no
        change is lost then, and the next fold empties the delta.
        """
        found = await self._read_delta(generation, index)
        key = _chunk_key(generation, index)
        stored = await self._platform.read(key)
        if stored is None:
            raise ChunkFault(f'{key} is missing')
        body = _fold(stored.body, found.delta)
        if body is not None:
            await self._write(key, body, _expect(stored))
        emptied = Delta(generation, index, found.delta.last)
        body = codec.write_delta(emptied)
        await self._write(_delta_key(generation, index), body, found.expected)

    async def remove_generation(self, generation: int) -> None:
        """Remove the objects of a generation that is no longer in force."""
        prefix = f'{BLOCKS_PREFIX}{generation}/'
        found = await self._platform.iter_objects(prefix)
        while found:
            stored = found.pop()
            await self._platform.remove(stored.key, Expected.of(stored))

    async def _get_manifest(self) -> Manifest:
        manifest = await self.read_manifest()
        if manifest is None:
            raise ChunkFault('no table is published')
        return manifest

    async def _try_change(
        self,
        network: Network,
        sites: tuple[int, ...] | None,
    ) -> Delta | None:
        manifest = await self._get_manifest()
        delta = await self._append(manifest, network, sites)
        is_in_force = await self._get_manifest() == manifest
        return delta if is_in_force else None

    async def _append(
        self,
        manifest: Manifest,
        network: Network,
        sites: tuple[int, ...] | None,
    ) -> Delta:
        index = manifest.find_chunk(network.bits, network.start)
        found = await self._read_delta(manifest.generation, index)
        delta = found.delta
        change = BlockChange(delta.last + 1, network, sites)
        delta = attrs.evolve(delta, changes=(*delta.changes, change))
        key = _delta_key(manifest.generation, index)
        await self._write(key, codec.write_delta(delta), found.expected)
        return delta

    async def _read_delta(self, generation: int, index: int) -> _StoredDelta:
        stored = await self._platform.read(_delta_key(generation, index))
        delta = Delta(generation, index, base=0)
        if stored is not None:
            delta = codec.parse_delta(stored.body)
        return _StoredDelta(delta, _expect(stored))

    async def _write_chunk(
        self,
        generation: int,
        index: int,
        pending: _PendingChunk,
    ) -> None:
        rankings = Rankings()
        rows = [_make_row(block, rankings) for block in pending.blocks]
        delta = Delta(generation, index, base=0)
        chunk = make_chunk(delta, pending.bits, rows, rankings)
        body = codec.write_chunk(chunk)
        await self._write(_chunk_key(generation, index), body, None)

    async def _write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
    ) -> None:
        operation_number = self._rng.getrandbits(_OPERATION_BITS)
        operation = f'{operation_number:x}'
        await write_resolved(self._platform, key, body, expected, operation)


def _next_generation(stored: StoredObject | None, rng: random.Random) -> int:
    count = 0
    if stored is not None:
        before = codec.parse_manifest(stored.body).generation
        count = before >> _RANDOM_BITS
    return (count + 1 << _RANDOM_BITS) | rng.getrandbits(_RANDOM_BITS)


def _expect(stored: StoredObject | None) -> Expected | None:
    return Expected.of(stored) if stored else None


def _make_row(block: Block, rankings: Rankings) -> Row:
    network = block.network
    return network.start, network.host_bits, rankings.intern(block.sites)


def _split_into_chunks(blocks: Iterable[Block]) -> Iterator[_PendingChunk]:
    pending = _PendingChunk(V4_BITS)
    for block in blocks:
        network = block.network
        if network.bits != pending.bits:
            yield pending
            pending = _PendingChunk(network.bits)
        elif pending.is_full_before(block):
            yield pending
            pending = _PendingChunk(network.bits, network.start)
        pending.blocks.append(block)
    yield pending
    if pending.bits == V4_BITS:
        yield _PendingChunk(V6_BITS)


def _fold(body: bytes, delta: Delta) -> bytes | None:
    chunk = codec.parse_chunk(body)
    if chunk.version >= delta.last:
        # Another fold came first, possibly with newer changes.
        return None
    rankings = Rankings()
    row_by_key = {_sort_key(row): row for row in iter_rows(chunk, rankings)}
    for change in delta.changes:
        _apply(change, row_by_key, rankings)
    rows = [row for _, row in sorted(row_by_key.items())]
    folded = make_chunk(delta, chunk.bits, rows, rankings)
    return codec.write_chunk(folded)


def _apply(
    change: BlockChange,
    row_by_key: dict[tuple[int, int], Row],
    rankings: Rankings,
) -> None:
    network = change.network
    key = (network.start, -network.host_bits)
    row_by_key.pop(key, None)
    if change.sites is not None:
        ranking = rankings.intern(change.sites)
        row_by_key[key] = (network.start, network.host_bits, ranking)


def _sort_key(row: Row) -> tuple[int, int]:
    return row[0], -row[1]
