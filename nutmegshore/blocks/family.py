"""Blocks of one address family: packed blocks and recent additions."""

from collections.abc import Iterator

from nutmegshore.blocks.packed import NOT_FOUND, REMOVED, make_packed

__all__ = ('FamilyBlocks', 'Row')

#: First address, host bits and ranking number of a block.
Row = tuple[int, int, int]


class FamilyBlocks:
    """Packed blocks that support look-ups and single changes.

    Blocks in the packed arrays are changed or marked as removed in place. New
    blocks go into a small hash table per prefix length, which look-ups try
    from the longest prefix on; a fold moves them into the packed arrays.
    """

    def __init__(self, bits: int) -> None:
        """Create an empty family; `bits` is 32 or 128."""
        self.packed = make_packed(bits)
        self.added_count = 0
        self._added: dict[int, dict[int, int]] = {}
        self._added_host_bits: tuple[int, ...] = ()

    def find(self, address: int) -> int:
        """Ranking of the longest block containing an address, or NOT_FOUND."""
        packed = self.packed
        index = packed.find(address)
        packed_host_bits = (
            packed.bits + 1 if index < 0 else packed.host_bits[index]
        )
        for host_bits in self._added_host_bits:
            if host_bits >= packed_host_bits:
                break
            ranking = self._added[host_bits].get(address >> host_bits)
            if ranking is not None:
                return ranking
        return NOT_FOUND if index < 0 else packed.rankings[index]

    def put(self, start: int, host_bits: int, ranking: int) -> None:
        """Add a block or change its ranking."""
        index = self.packed.find_exact(start, host_bits)
        if index >= 0:
            self.packed.rankings[index] = ranking
            return
        by_prefix = self._added.setdefault(host_bits, {})
        self.added_count -= len(by_prefix)
        by_prefix[start >> host_bits] = ranking
        self.added_count += len(by_prefix)
        self._added_host_bits = tuple(sorted(self._added))

    def remove(self, start: int, host_bits: int) -> None:
        """Remove a block if it is present."""
        index = self.packed.find_exact(start, host_bits)
        if index >= 0:
            self.packed.rankings[index] = REMOVED
            return
        by_prefix = self._added.get(host_bits, {})
        if by_prefix.pop(start >> host_bits, None) is None:
            return
        self.added_count -= 1
        if not by_prefix:
            self._added.pop(host_bits)
            self._added_host_bits = tuple(sorted(self._added))

    def iter_rows(self, first: int, end: int) -> Iterator[Row]:
        """Iterate in order over the blocks that start in [first, end).

        The additions are copied when the iteration starts; each packed block
        is read when the iteration reaches it.
        """
        added = iter(self._sort_additions(first, end))
        pending = next(added, None)
        for row in self._iter_packed(first, end):
            while pending is not None and _sort_key(pending) < _sort_key(row):
                yield pending
                pending = next(added, None)
            yield row
        if pending is not None:
            yield pending
            yield from added

    def _iter_packed(self, first: int, end: int) -> Iterator[Row]:
        packed = self.packed
        index = packed.find_last(first - 1) + 1 if first else 0
        while index < len(packed):
            start = packed.get_start(index)
            if start >= end:
                break
            ranking = packed.rankings[index]
            if ranking != REMOVED:
                yield start, packed.host_bits[index], ranking
            index += 1

    def _sort_additions(self, first: int, end: int) -> list[Row]:
        rows = [
            (prefix << host_bits, host_bits, ranking)
            for host_bits, by_prefix in self._added.items()
            for prefix, ranking in by_prefix.items()
        ]
        in_range = [row for row in rows if first <= row[0] < end]
        return sorted(in_range, key=_sort_key)


def _sort_key(row: Row) -> tuple[int, int]:
    return row[0], -row[1]
