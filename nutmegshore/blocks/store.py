"""The table of client blocks in platform objects."""

import random
from collections.abc import Iterable, Iterator

import attrs

from nutmegshore.blocks import codec
from nutmegshore.blocks.block import V4_BITS, V6_BITS, Block, Network
from nutmegshore.blocks.bodies import ChunkFault
from nutmegshore.blocks.chunks import (
    CHUNK_BLOCKS,
    Change,
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
    'FOLD_CHANGES',
    'MANIFEST_KEY',
    'BlockStore',
    'delta_prefix',
    'is_delta_key',
)

BLOCKS_PREFIX = 'blocks/'
MANIFEST_KEY = 'blocks/manifest'

#: Changes in a chunk's delta from which on the chunk is to be folded.
FOLD_CHANGES = 512

_MAX_ATTEMPTS = 5
_OPERATION_BITS = 128
#: A generation is a count with random lower bits, so that a publication that
#: was broken off leaves no keys that the next one meets.
_ATTEMPT_BITS = 32


def delta_prefix(generation: int) -> str:
    """Prefix of the keys of a generation's deltas."""
    return f'{BLOCKS_PREFIX}{generation}/delta/'


def is_delta_key(key: str) -> bool:
    """Whether a key is that of a delta of any generation."""
    return key.startswith(BLOCKS_PREFIX) and '/delta/' in key


def _delta_key(generation: int, index: int) -> str:
    return f'{BLOCKS_PREFIX}{generation}/delta/{index}'


def _chunk_key(generation: int, index: int) -> str:
    return f'{BLOCKS_PREFIX}{generation}/chunk/{index}'


@attrs.frozen
class _StoredDelta:
    """A delta and the condition for its next write."""

    delta: Delta
    expected: Expected | None


@attrs.define
class _Part:
    """Blocks for one chunk; `first` is where the chunk's range begins."""

    bits: int
    first: int = 0
    blocks: list[Block] = attrs.field(factory=list)

    def is_full_before(self, block: Block) -> bool:
        """Whether a block goes into the next chunk.

        Blocks with one start stay in one chunk, as a change goes by start.
        """
        if len(self.blocks) < CHUNK_BLOCKS:
            return False
        return self.blocks[-1].network.start != block.network.start


class BlockStore:
    """Reads and writes the table's manifest, chunks and deltas.

    The manifest names a generation of chunks by address range. A change of
    one block is appended to its chunk's delta by a conditional write; a fold
    takes the delta into the chunk. Each change of a chunk has the next number
    and the chunk says which number it contains, so a change counts once
    whichever of the two writes of a fold was seen.

    Every method raises the platform's errors, and `ChunkFault` for an object
    that cannot be read or grows over 1 MB.

        store = BlockStore(platform, random.Random(7))
        await store.publish(blocks)
        await store.change(parse_network('10.2.0.0/16'), (3, 1))
    """

    def __init__(self, platform: Platform, rng: random.Random) -> None:
        """Use a platform; `rng` draws operation ids and generations."""
        self._platform = platform
        self._rng = rng

    async def read_manifest(self) -> Manifest | None:
        """The manifest in force, None before the first publication."""
        stored = await self._platform.read(MANIFEST_KEY)
        return codec.parse_manifest(stored.body) if stored else None

    async def read_deltas(self, generation: int) -> list[Delta]:
        """Every delta of a generation, in one read."""
        prefix = delta_prefix(generation)
        found = await self._platform.iter_objects(prefix)
        return [codec.parse_delta(stored.body) for stored in found]

    async def read_chunk(self, generation: int, index: int) -> bytes | None:
        """Body of a chunk, None where there is none."""
        stored = await self._platform.read(_chunk_key(generation, index))
        return stored.body if stored else None

    async def publish(self, blocks: Iterable[Block]) -> Manifest:
        """Replace the whole table; `blocks` are ordered by family and start.

        The new chunks are written first and take effect with the manifest.
        Raises `VersionConflict` if another publication came first. Chunks of
        the generation before stay until `remove_generation`.
        """
        stored = await self._platform.read(MANIFEST_KEY)
        generation = _next_generation(stored, self._rng)
        positions: list[tuple[int, int]] = []
        parts = _split(blocks)
        while part := next(parts, None):
            await self._write_part(generation, len(positions), part)
            positions.append((part.bits, part.first))
        manifest = Manifest(generation, tuple(positions))
        body = codec.write_manifest(manifest)
        await self._write(MANIFEST_KEY, body, _condition(stored))
        return manifest

    async def change(
        self,
        network: Network,
        sites: tuple[int, ...] | None,
    ) -> Delta:
        """Put one block, or remove it; the delta with the change.

        The change is accepted when this returns. The manifest is read again
        after the write: a change in a generation that was replaced meanwhile
        is made once more in the new one. Raises `VersionConflict` when other
        writers of the same chunk came first several times.
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
        """Take the changes of a delta into its chunk.

        Raises `VersionConflict` when another fold or a change came between:
        no change is lost, and the next fold empties the delta.
        """
        found = await self._read_delta(generation, index)
        key = _chunk_key(generation, index)
        stored = await self._platform.read(key)
        if stored is None:
            raise ChunkFault(f'{key} is missing')
        body = _fold(stored.body, found.delta)
        if body is not None:
            await self._write(key, body, _condition(stored))
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
        numbered = Change(delta.last + 1, network, sites)
        delta = attrs.evolve(delta, changes=(*delta.changes, numbered))
        key = _delta_key(manifest.generation, index)
        await self._write(key, codec.write_delta(delta), found.expected)
        return delta

    async def _read_delta(self, generation: int, index: int) -> _StoredDelta:
        stored = await self._platform.read(_delta_key(generation, index))
        delta = Delta(generation, index, base=0)
        if stored is not None:
            delta = codec.parse_delta(stored.body)
        return _StoredDelta(delta, _condition(stored))

    async def _write_part(
        self,
        generation: int,
        index: int,
        part: _Part,
    ) -> None:
        rankings = Rankings()
        rows = [_row(block, rankings) for block in part.blocks]
        delta = Delta(generation, index, base=0)
        chunk = make_chunk(delta, part.bits, rows, rankings)
        body = codec.write_chunk(chunk)
        await self._write(_chunk_key(generation, index), body, None)

    async def _write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
    ) -> None:
        drawn = self._rng.getrandbits(_OPERATION_BITS)
        operation = f'{drawn:x}'
        await write_resolved(self._platform, key, body, expected, operation)


def _next_generation(stored: StoredObject | None, rng: random.Random) -> int:
    count = 0
    if stored is not None:
        before = codec.parse_manifest(stored.body).generation
        count = before >> _ATTEMPT_BITS
    return (count + 1 << _ATTEMPT_BITS) | rng.getrandbits(_ATTEMPT_BITS)


def _condition(stored: StoredObject | None) -> Expected | None:
    return Expected.of(stored) if stored else None


def _row(block: Block, rankings: Rankings) -> Row:
    network = block.network
    return network.start, network.host_bits, rankings.intern(block.sites)


def _split(blocks: Iterable[Block]) -> Iterator[_Part]:
    part = _Part(V4_BITS)
    for block in blocks:
        network = block.network
        if network.bits != part.bits:
            yield part
            part = _Part(network.bits)
        elif part.is_full_before(block):
            yield part
            part = _Part(network.bits, network.start)
        part.blocks.append(block)
    yield part
    if part.bits == V4_BITS:
        yield _Part(V6_BITS)


def _fold(body: bytes, delta: Delta) -> bytes | None:
    chunk = codec.parse_chunk(body)
    if chunk.version >= delta.last:
        # Another fold came first, perhaps with newer changes than these.
        return None
    rankings = Rankings()
    by_place = {_place(row): row for row in iter_rows(chunk, rankings)}
    for change in delta.changes:
        _apply(change, by_place, rankings)
    rows = [row for _, row in sorted(by_place.items())]
    folded = make_chunk(delta, chunk.bits, rows, rankings)
    return codec.write_chunk(folded)


def _apply(
    change: Change,
    by_place: dict[tuple[int, int], Row],
    rankings: Rankings,
) -> None:
    network = change.network
    place = (network.start, -network.host_bits)
    by_place.pop(place, None)
    if change.sites is not None:
        ranking = rankings.intern(change.sites)
        by_place[place] = (network.start, network.host_bits, ranking)


def _place(row: Row) -> tuple[int, int]:
    return row[0], -row[1]
