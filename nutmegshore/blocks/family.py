"""Blocks of one address family: packed blocks and recent additions."""

from collections.abc import Iterator

from nutmegshore.blocks.packed import NOT_FOUND, REMOVED, make_packed

__all__ = ('Family', 'Row')

#: First address, host bits and ranking number of a block.
Row = tuple[int, int, int]


class Family:
    """Look-ups and single changes over packed blocks.

    A block that is in the packed arrays changes or goes in place. A new one
    goes into a small set of additions, by host bits and prefix, which a
    look-up tries from the longest prefix on; a fold of the table empties it.
    """

    def __init__(self, bits: int) -> None:
        """Start without blocks; `bits` is 32 or 128."""
        self.packed = make_packed(bits)
        self.added_count = 0
        self._added: dict[int, dict[int, int]] = {}
        self._added_order: tuple[int, ...] = ()

    def find(self, address: int) -> int:
        """Ranking of the longest block around an address, or NOT_FOUND."""
        packed = self.packed
        index = packed.find(address)
        known = packed.bits + 1 if index < 0 else packed.host_bits[index]
        for host_bits in self._added_order:
            if host_bits >= known:
                break
            ranking = self._added[host_bits].get(address >> host_bits)
            if ranking is not None:
                return ranking
        return NOT_FOUND if index < 0 else packed.rankings[index]

    def put(self, start: int, host_bits: int, ranking: int) -> None:
        """Add a block or change its ranking."""
        index = self.packed.locate(start, host_bits)
        if index >= 0:
            self.packed.rankings[index] = ranking
            return
        by_prefix = self._added.setdefault(host_bits, {})
        self.added_count -= len(by_prefix)
        by_prefix[start >> host_bits] = ranking
        self.added_count += len(by_prefix)
        self._added_order = tuple(sorted(self._added))

    def remove(self, start: int, host_bits: int) -> None:
        """Remove a block; one that is not there stays away."""
        index = self.packed.locate(start, host_bits)
        if index >= 0:
            self.packed.rankings[index] = REMOVED
            return
        by_prefix = self._added.get(host_bits, {})
        if by_prefix.pop(start >> host_bits, None) is None:
            return
        self.added_count -= 1
        if not by_prefix:
            self._added.pop(host_bits)
            self._added_order = tuple(sorted(self._added))

    def iter_rows(self, first: int, end: int) -> Iterator[Row]:
        """Iterate in order over the blocks that start in [first, end).

        The additions are those at the time of the call; packed blocks are
        read one by one, as they are when the iteration reaches them.
        """
        added = iter(self._sorted_added(first, end))
        pending = next(added, None)
        for row in self._iter_packed(first, end):
            while pending is not None and _order(pending) < _order(row):
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

    def _sorted_added(self, first: int, end: int) -> list[Row]:
        rows = [
            (prefix << host_bits, host_bits, ranking)
            for host_bits, by_prefix in self._added.items()
            for prefix, ranking in by_prefix.items()
        ]
        inside = [row for row in rows if first <= row[0] < end]
        return sorted(inside, key=_order)


def _order(row: Row) -> tuple[int, int]:
    return row[0], -row[1]
