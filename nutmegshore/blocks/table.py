"""Longest-prefix table from addresses to ranked lists of sites."""

import contextlib
import itertools
from collections.abc import AsyncIterator, Iterator

from nutmegshore.blocks.block import (
    V4_BITS,
    V4_BYTES,
    V6_BITS,
    Block,
    Network,
    read_address,
)
from nutmegshore.blocks.family import Family, Row
from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.rankings import Rankings
from nutmegshore.blocks.slices import WORK_PER_SLICE, iter_slices
from nutmegshore.clock import Clock

__all__ = ('FOLD_AT', 'BlockTable', 'BlockSet', 'Rebuild')

#: Additions beside the packed arrays from which on a fold is due. They cost a
#: few hundred bytes each, and a look-up tries each of their prefix lengths.
FOLD_AT = 1_024

_Change = tuple[Network, tuple[int, ...] | None]


class BlockSet:
    """Blocks of both families and the rankings that they refer to."""

    def __init__(self) -> None:
        """Start without blocks."""
        self.rankings = Rankings()
        self.v4 = Family(V4_BITS)
        self.v6 = Family(V6_BITS)

    def get_family(self, bits: int) -> Family:
        """The family of addresses of this many bits."""
        return self.v4 if bits == V4_BITS else self.v6

    def find(self, packed: bytes) -> int:
        """Ranking for an address of 4 or 16 bytes, or NOT_FOUND."""
        if len(packed) == V4_BYTES:
            # Most callers; they need no look at the form of the address.
            return self.v4.find(int.from_bytes(packed, 'big'))
        bits, address = read_address(packed)
        return self.get_family(bits).find(address)

    def change(self, network: Network, sites: tuple[int, ...] | None) -> None:
        """Put a block, or remove it where `sites` is None."""
        family = self.get_family(network.bits)
        if sites is None:
            family.remove(network.start, network.host_bits)
            return
        ranking = self.rankings.intern(sites)
        family.put(network.start, network.host_bits, ranking)


class Rebuild:
    """New blocks that are built beside those in use.

    A rebuild that copies the table repeats the changes that the table takes
    meanwhile. One that loads from elsewhere does not: a change that was late
    could undo a newer one that the load has already read, so its owner
    applies the changes by their numbers.
    """

    def __init__(self, *, is_copy: bool) -> None:
        """Start without blocks; `is_copy` to repeat the table's changes."""
        self.block_set = BlockSet()
        self._is_copy = is_copy
        self._changes: list[_Change] = []

    def append(self, bits: int, row: Row) -> None:
        """Add the next block in order; its ranking is one of `block_set`."""
        self.block_set.get_family(bits).packed.append(*row)

    def note(self, change: _Change) -> None:
        """Keep a change of the table for `repeat_changes`."""
        if self._is_copy:
            self._changes.append(change)

    @property
    def change_count(self) -> int:
        """Number of changes that `repeat_changes` has not repeated yet."""
        return len(self._changes)

    def repeat_changes(self, count: int | None = None) -> None:
        """Repeat the first changes, or all of them."""
        repeated = self._changes[:count]
        left = itertools.islice(self._changes, len(repeated), None)
        self._changes = list(left)
        for network, sites in repeated:
            self.block_set.change(network, sites)


class BlockTable:
    """Ranked sites by client block, longest prefix first.

    The table is for one event loop; every method without `await` is atomic
    there. A ranking's number holds as long as `block_set.rankings` is the
    same object: a fold or a load replaces `block_set`.

        table = BlockTable()
        table.put(parse_block({'network': '10.0.0.0/8', 'sites': [2, 5]}))
        ranking = table.find(socket.inet_aton('10.1.2.3'))
        table.block_set.rankings.get_sites(ranking)  # (2, 5)
    """

    def __init__(self) -> None:
        """Start without blocks."""
        self.block_set = BlockSet()
        self._rebuild: Rebuild | None = None

    @property
    def is_fold_due(self) -> bool:
        """Whether the additions have grown enough to call `fold`."""
        added = self.block_set.v4.added_count + self.block_set.v6.added_count
        return added >= FOLD_AT

    def find(self, packed: bytes) -> int:
        """Ranking for an address of 4 or 16 bytes, NOT_FOUND without one.

        Raises ValueError for another length.
        """
        return self.block_set.find(packed)

    def find_number(self, bits: int, address: int) -> int:
        """Ranking for an address given as a number of 32 or 128 bits."""
        return self.block_set.get_family(bits).find(address)

    def find_sites(self, packed: bytes) -> tuple[int, ...] | None:
        """Ranked sites for an address, None without a block."""
        ranking = self.find(packed)
        if ranking == NOT_FOUND:
            return None
        return self.block_set.rankings.get_sites(ranking)

    def put(self, block: Block) -> None:
        """Add a block or change its sites."""
        self.change(block.network, block.sites)

    def remove(self, network: Network) -> None:
        """Remove a block; its addresses fall back to the block around it."""
        self.change(network, None)

    def change(self, network: Network, sites: tuple[int, ...] | None) -> None:
        """Put a block, or remove it where `sites` is None.

        Raises `ObjectError` when there are too many distinct rankings.
        """
        self.block_set.change(network, sites)
        if self._rebuild is not None:
            self._rebuild.note((network, sites))

    def iter_blocks(
        self,
        bits: int,
        first: int = 0,
        end: int | None = None,
    ) -> Iterator[Block]:
        """Iterate in order over the blocks that start in [first, end)."""
        rankings = self.block_set.rankings
        for start, host_bits, ranking in self.iter_rows(bits, first, end):
            network = Network(bits, start, bits - host_bits)
            yield Block(network, rankings.get_sites(ranking))

    def begin_rebuild(self, *, is_copy: bool = False) -> Rebuild:
        """Start new blocks; a rebuild that is under way loses its effect."""
        self._rebuild = Rebuild(is_copy=is_copy)
        return self._rebuild

    def finish_rebuild(self, rebuild: Rebuild) -> bool:
        """Put new blocks in use; False if another rebuild came between."""
        if self._rebuild is not rebuild:
            return False
        rebuild.repeat_changes()
        self.block_set = rebuild.block_set
        self._rebuild = None
        return True

    def abandon_rebuild(self, rebuild: Rebuild) -> None:
        """Drop new blocks; nothing happens once they are in use."""
        if self._rebuild is rebuild:
            self._rebuild = None

    async def fold(self, clock: Clock) -> AsyncIterator[int]:
        """Move the additions into the packed arrays, slice by slice.

        Yields the number of blocks done after each slice. Look-ups and
        changes go on in between. Does nothing while a rebuild is under way.

            async for _ in table.fold(clock):
                pass
        """
        if self._rebuild is not None:
            return
        rebuild = self.begin_rebuild(is_copy=True)
        with contextlib.ExitStack() as stack:
            stack.callback(self.abandon_rebuild, rebuild)
            done = 0
            async for part in iter_slices(_iter_copies(self, rebuild), clock):
                for bits, row in part:
                    rebuild.append(bits, row)
                done += len(part)
                yield done
            while rebuild.change_count > WORK_PER_SLICE:
                rebuild.repeat_changes(WORK_PER_SLICE)
                await clock.sleep(0)
            self.finish_rebuild(rebuild)

    def iter_rows(
        self,
        bits: int,
        first: int = 0,
        end: int | None = None,
    ) -> Iterator[Row]:
        """Iterate as `iter_blocks`, over (start, host bits, ranking)."""
        return self.block_set.get_family(bits).iter_rows(
            first,
            end or 1 << bits,
        )


def _iter_copies(
    table: BlockTable,
    rebuild: Rebuild,
) -> Iterator[tuple[int, Row]]:
    old = table.block_set.rankings
    new = rebuild.block_set.rankings
    numbers: dict[int, int] = {}
    for bits in (V4_BITS, V6_BITS):
        for start, host_bits, ranking in table.iter_rows(bits):
            number = numbers.get(ranking)
            if number is None:
                number = new.intern(old.get_sites(ranking))
                numbers[ranking] = number
            yield bits, (start, host_bits, number)
