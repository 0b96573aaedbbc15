"""Chunks of the table and numbered changes of them."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator

import attrs

from nutmegshore.blocks.block import Network
from nutmegshore.blocks.family import Row
from nutmegshore.blocks.rankings import Rankings

__all__ = (
    'CHUNK_BLOCKS',
    'Change',
    'Chunk',
    'Delta',
    'Manifest',
    'iter_rows',
    'make_chunk',
)

#: Blocks in a chunk when a table is published. A chunk of this size decodes in
#: one slice and grows far under the 1 MB of an object; 700,000 blocks take
#: fewer than 200 reads.
CHUNK_BLOCKS = 4_096

#: Position of a chunk's first address: bits, then the address.
Position = tuple[int, int]


@attrs.frozen
class Chunk:
    """The blocks whose first address lies in one range, in order.

    `version` is the number of the last change that is contained. `starts`
    holds one number a block; `rankings` gives for each block the index of its
    list in `lists`, which are packed as in `Rankings`.
    """

    generation: int
    index: int
    version: int
    bits: int
    lists: tuple[bytes, ...]
    starts: tuple[int, ...]
    host_bits: bytes
    rankings: 'array[int]'


@attrs.frozen
class Change:
    """A numbered change of one block; `sites` is None for a removal."""

    number: int
    network: Network
    sites: tuple[int, ...] | None


@attrs.frozen
class Delta:
    """Changes of one chunk after `base`, which its chunk contains."""

    generation: int
    index: int
    base: int
    changes: tuple[Change, ...] = ()

    @property
    def last(self) -> int:
        """Number of the last change."""
        return self.changes[-1].number if self.changes else self.base


@attrs.frozen
class Manifest:
    """Which chunks make up the table.

    `positions` holds each chunk's first (bits, address) in rising order; a
    block belongs to the last chunk whose position is not above its own. Each
    family has a chunk at address 0, so that no chunk holds both.
    """

    generation: int
    positions: tuple[Position, ...]

    def find_chunk(self, bits: int, start: int) -> int:
        """Index of the chunk for blocks that start at an address."""
        return bisect_right(self.positions, (bits, start)) - 1

    def get_range(self, index: int) -> tuple[int, int, int]:
        """Bits, first address and address after the last one of a chunk."""
        bits, first = self.positions[index]
        end = 1 << bits
        if index + 1 < len(self.positions):
            next_bits, next_first = self.positions[index + 1]
            end = next_first if next_bits == bits else end
        return bits, first, end


def make_chunk(
    delta: Delta,
    bits: int,
    rows: Iterable[Row],
    rankings: Rankings,
) -> Chunk:
    """Chunk of ordered rows as of a delta's last change.

    The rankings of the rows are numbers in `rankings`.
    """
    starts: list[int] = []
    host_bits = bytearray()
    lists: dict[int, int] = {}
    numbers = array('H')
    for row in rows:
        starts.append(row[0])
        host_bits.append(row[1])
        numbers.append(lists.setdefault(row[2], len(lists)))
    return Chunk(
        generation=delta.generation,
        index=delta.index,
        version=delta.last,
        bits=bits,
        lists=tuple(rankings.write_packed(number) for number in lists),
        starts=tuple(starts),
        host_bits=bytes(host_bits),
        rankings=numbers,
    )


def iter_rows(chunk: Chunk, rankings: Rankings) -> Iterator[Row]:
    """Iterate over a chunk's blocks with their numbers in `rankings`."""
    numbers = [rankings.intern_packed(packed) for packed in chunk.lists]
    columns = zip(chunk.starts, chunk.host_bits, chunk.rankings, strict=True)
    for start, host_bits, ranking in columns:
        yield start, host_bits, numbers[ranking]
