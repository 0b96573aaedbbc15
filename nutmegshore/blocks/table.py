"""Longest-prefix-match table from addresses to ranked lists of sites."""

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
from nutmegshore.blocks.family import FamilyBlocks, Row
from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.rankings import Rankings
from nutmegshore.blocks.slices import ITEMS_PER_SLICE, iter_slices
from nutmegshore.clock import Clock

__all__ = ('TABLE_FOLD_THRESHOLD', 'BlockTable', 'BlockSet', 'Rebuild')

#: Number of additions outside the packed arrays at which a fold is due. Each
#: takes a few hundred bytes, and a look-up tries each of their prefix lengths.
TABLE_FOLD_THRESHOLD = 1_024

_TableChange = tuple[Network, tuple[int, ...] | None]


class BlockSet:
    """Blocks of both families and the rankings that they refer to."""

    def __init__(self) -> None:
        """Start without blocks."""
        self.rankings = Rankings()
        self.v4 = FamilyBlocks(V4_BITS)
        self.v6 = FamilyBlocks(V6_BITS)

    def get_family(self, bits: int) -> FamilyBlocks:
        """Blocks of the family with this address width in bits."""
        return self.v4 if bits == V4_BITS else self.v6

    def find(self, packed: bytes) -> int:
        """Ranking for an address of 4 or 16 bytes, or NOT_FOUND."""
        if len(packed) == V4_BYTES:
            # The common case; the address cannot be IPv4-mapped IPv6.
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
    """A new block set that is built while the current one stays in use.

    A rebuild that copies the table replays the changes made to the table
    meanwhile. A rebuild that loads from elsewhere does not, since a late
    change could undo a newer one that the load has already read; its owner
    applies the changes by number instead.
    """

    def __init__(self, *, is_copy: bool) -> None:
        """Start without blocks; `is_copy` to replay the table's changes."""
        self.block_set = BlockSet()
        self._is_copy = is_copy
        self._changes: list[_TableChange] = []

    def append(self, bits: int, row: Row) -> None:
        """Append the next block in order, with a ranking of `block_set`."""
        self.block_set.get_family(bits).packed.append(*row)

    def record(self, change: _TableChange) -> None:
        """Record a change of the table for `replay_changes`."""
        if self._is_copy:
            self._changes.append(change)

    @property
    def change_count(self) -> int:
        """Number of recorded changes that are not replayed yet."""
        return len(self._changes)

    def replay_changes(self, count: int | None = None) -> None:
        """Replay the first `count` recorded changes, or all of them."""
        replayed = self._changes[:count]
        remaining = itertools.islice(self._changes, len(replayed), None)
        self._changes = list(remaining)
        for network, sites in replayed:
            self.block_set.change(network, sites)


class BlockTable:
    """Ranked sites by client block, longest prefix first.

    The table belongs to one event loop, where every method without `await` is
    atomic. A ranking's number is valid as long as `block_set.rankings` is the
    same object; a fold or a load replaces `block_set`.

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
        return added >= TABLE_FOLD_THRESHOLD

    def find(self, packed: bytes) -> int:
        """Ranking for an address of 4 or 16 bytes, or NOT_FOUND.

        Raises ValueError for other lengths.
        """
        return self.block_set.find(packed)

    def find_number(self, bits: int, address: int) -> int:
        """Ranking for an address given as an integer, or NOT_FOUND."""
        return self.block_set.get_family(bits).find(address)

    def find_sites(self, packed: bytes) -> tuple[int, ...] | None:
        """Ranked sites for an address, None if no block contains it."""
        ranking = self.find(packed)
        if ranking == NOT_FOUND:
            return None
        return self.block_set.rankings.get_sites(ranking)

    def put(self, block: Block) -> None:
        """Add a block or change its sites."""
        self.change(block.network, block.sites)

    def remove(self, network: Network) -> None:
        """Remove a block; its addresses fall back to the enclosing block."""
        self.change(network, None)

    def change(self, network: Network, sites: tuple[int, ...] | None) -> None:
        """Put a block, or remove it where `sites` is None.

        Raises `ObjectError` when there are too many distinct rankings.
        """
        self.block_set.change(network, sites)
        if self._rebuild is not None:
            self._rebuild.record((network, sites))

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
        """Start a rebuild, which supersedes any rebuild in progress."""
        self._rebuild = Rebuild(is_copy=is_copy)
        return self._rebuild

    def finish_rebuild(self, rebuild: Rebuild) -> bool:
        """Put the new block set in use; False if it was superseded."""
        if self._rebuild is not rebuild:
            return False
        rebuild.replay_changes()
        self.block_set = rebuild.block_set
        self._rebuild = None
        return True

    def abandon_rebuild(self, rebuild: Rebuild) -> None:
        """Discard a rebuild; has no effect on a finished one."""
        if self._rebuild is rebuild:
            self._rebuild = None

    async def fold(self, clock: Clock) -> AsyncIterator[int]:
        """Move the additions into the packed arrays, slice by slice.

        Yields the number of blocks copied so far after each slice. Look-ups
        and changes may run in between. Does nothing while a rebuild is in
        progress.

            async for _ in table.fold(clock):
                pass
        """
        if self._rebuild is not None:
            return
        rebuild = self.begin_rebuild(is_copy=True)
        with contextlib.ExitStack() as stack:
            stack.callback(self.abandon_rebuild, rebuild)
            done = 0
            async for batch in iter_slices(
                _iter_copied_rows(self, rebuild), clock
            ):
                for bits, row in batch:
                    rebuild.append(bits, row)
                done += len(batch)
                yield done
            while rebuild.change_count > ITEMS_PER_SLICE:
                rebuild.replay_changes(ITEMS_PER_SLICE)
                await clock.sleep(0)
            self.finish_rebuild(rebuild)

    def iter_rows(
        self,
        bits: int,
        first: int = 0,
        end: int | None = None,
    ) -> Iterator[Row]:
        """Like `iter_blocks`, but yields (start, host bits, ranking)."""
        return self.block_set.get_family(bits).iter_rows(
            first,
            end or 1 << bits,
        )


def _iter_copied_rows(
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
