"""Chunks of the table and the numbered changes to them."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator

import attrs

from nutmegshore.blocks.block import Network
from nutmegshore.blocks.family import Row
from nutmegshore.blocks.rankings import Rankings

__all__ = (
    'BLOCKS_PER_CHUNK',
    'BlockChange',
    'Chunk',
    'Delta',
    'Manifest',
    'iter_rows',
    'make_chunk',
)

#: Blocks per chunk at publication. A chunk of this size decodes in one slice
#: and stays far below the 1 MB limit of an object as it grows; a table of
#: 700,000 blocks takes fewer than 200 reads.
BLOCKS_PER_CHUNK = 4_096

#: Start of a chunk's range: address width in bits, then first address.
Position = tuple[int, int]


@attrs.frozen
class Chunk:
    """The blocks whose first address lies in one range, in order.

    `version` is the number of the last change that the chunk includes.
    `starts` has the first address of each block, and `rankings` the index of
    its list in `lists`, which are packed as in `Rankings`.
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
class BlockChange:
    """A numbered change to one block; `sites` is None for a removal."""

    number: int
    network: Network
    sites: tuple[int, ...] | None


@attrs.frozen
class Delta:
    """Changes to one chunk after change `base`, which the chunk includes."""

    generation: int
    index: int
    base: int
    changes: tuple[BlockChange, ...] = ()

    @property
    def last(self) -> int:
        """Number of the last change, `base` if there are none."""
        return self.changes[-1].number if self.changes else self.base


@attrs.frozen
class Manifest:
    """The chunks that make up the table.

    `positions` has each chunk's first (bits, address) in ascending order; a
    block belongs to the last chunk at or before its own position. Each family
    has a chunk at address 0, so no chunk mixes families.
    """

    generation: int
    positions: tuple[Position, ...]

    def find_chunk(self, bits: int, start: int) -> int:
        """Index of the chunk for blocks that start at an address."""
        return bisect_right(self.positions, (bits, start)) - 1

    def get_range(self, index: int) -> tuple[int, int, int]:
        """Address width, first address and exclusive end of a chunk's range."""
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
    """Build a chunk from ordered rows, as of a delta's last change.

    The ranking numbers in the rows refer to `rankings`.
    """
    starts: list[int] = []
    host_bits = bytearray()
    # Index of each list in the chunk, by its number in `rankings`.
    lists: dict[int, int] = {}
    indexes = array('H')
    for row in rows:
        starts.append(row[0])
        host_bits.append(row[1])
        indexes.append(lists.setdefault(row[2], len(lists)))
    return Chunk(
        generation=delta.generation,
        index=delta.index,
        version=delta.last,
        bits=bits,
        lists=tuple(rankings.get_packed(number) for number in lists),
        starts=tuple(starts),
        host_bits=bytes(host_bits),
        rankings=indexes,
    )


def iter_rows(chunk: Chunk, rankings: Rankings) -> Iterator[Row]:
    """Iterate over a chunk's blocks; interns their lists in `rankings`."""
    numbers = [rankings.intern_packed(packed) for packed in chunk.lists]
    columns = zip(chunk.starts, chunk.host_bits, chunk.rankings, strict=True)
    for start, host_bits, index in columns:
        yield start, host_bits, numbers[index]
