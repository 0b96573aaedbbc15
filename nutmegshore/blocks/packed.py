"""Sorted blocks of one address family in packed arrays."""

import abc
from array import array
from bisect import bisect_left, bisect_right

from nutmegshore.blocks.block import V4_BITS, V6_BITS
from nutmegshore.errors import ErrorKind, ObjectError

__all__ = (
    'NOT_FOUND',
    'REMOVED',
    'PackedBlocks',
    'PackedV4',
    'PackedV6',
    'make_packed',
)

NOT_FOUND = -1

#: Ranking of a block that was removed; look-ups go on to its parent.
REMOVED = 65_535

_TOP_SHIFT = 16
_HALF_BITS = 64
#: One of so many upper halves is kept in a list as well, where the first
#: steps of a search are faster than in the array.
_SAMPLE_STEP = 256
_LOW_MASK = (1 << _HALF_BITS) - 1


class PackedBlocks(abc.ABC):
    """Blocks ordered by start, the wider first, each with its parent.

    The parent is the smallest block around a block. A look-up finds the last
    block that starts at or before the address with a binary search and walks
    up the parents until one contains the address; the walk is at most as
    long as blocks are nested. `host_bits`, `rankings` and `parents` are
    parallel arrays, 7 bytes a block beside its start.
    """

    bits: int

    def __init__(self) -> None:
        """Start without blocks."""
        self.host_bits = array('B')
        self.rankings = array('H')
        self.parents = array('i')
        self._open: list[tuple[int, int, int]] = []
        self._last = (NOT_FOUND, 0)

    def __len__(self) -> int:
        """Count the blocks, removed ones included."""
        return len(self.host_bits)

    def append(self, start: int, host_bits: int, ranking: int) -> None:
        """Add the next block in order.

        Raises `ObjectError` for a block out of order or with host bits set,
        since a look-up would silently miss it.
        """
        if (start, -host_bits) <= self._last:
            raise _fault(start, host_bits, 'is out of order')
        if start >> self.bits or not 0 <= host_bits <= self.bits:
            raise _fault(start, host_bits, f'does not fit {self.bits} bits')
        if start & ((1 << host_bits) - 1):
            raise _fault(start, host_bits, 'has host bits set')
        self._last = (start, -host_bits)
        self.parents.append(self._enter(start, host_bits))
        self._append_start(start)
        self.host_bits.append(host_bits)
        self.rankings.append(ranking)

    def locate(self, start: int, host_bits: int) -> int:
        """Index of exactly this block, removed or not."""
        index = self.find_last(start)
        while index >= 0 and self.get_start(index) == start:
            if self.host_bits[index] == host_bits:
                return index
            index -= 1
        return NOT_FOUND

    @abc.abstractmethod
    def find(self, address: int) -> int:
        """Index of the longest live block around an address."""

    @abc.abstractmethod
    def get_start(self, index: int) -> int:
        """First address of a block."""

    @abc.abstractmethod
    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""

    @abc.abstractmethod
    def _append_start(self, start: int) -> None:
        """Add a first address."""

    def _enter(self, start: int, host_bits: int) -> int:
        around = self._open
        while around:
            outer, outer_host_bits, index = around[-1]
            if outer >> outer_host_bits == start >> outer_host_bits:
                break
            around.pop()
        parent = index if around else NOT_FOUND
        around.append((start, host_bits, len(self.host_bits)))
        return parent


class PackedV4(PackedBlocks):
    """IPv4 blocks, 11 bytes each and 256 KB for the index.

    `_tops` has the index of the first block at or after each value of the
    upper 16 address bits; it leaves few steps to the binary search.
    """

    bits = V4_BITS

    def __init__(self) -> None:
        """Start without blocks."""
        super().__init__()
        self.starts = array('I')
        self._tops = array('I')

    def get_start(self, index: int) -> int:
        """First address of a block."""
        return self.starts[index]

    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""
        tops = self._tops
        top = (address >> _TOP_SHIFT) + 1
        if top < len(tops):
            end = tops[top]
            return bisect_right(self.starts, address, tops[top - 1], end) - 1
        return bisect_right(self.starts, address) - 1

    def find(self, address: int) -> int:
        """Index of the longest live block around an address."""
        starts = self.starts
        tops = self._tops
        top = (address >> _TOP_SHIFT) + 1
        # As in find_last, but a call costs as much as the whole search.
        if top < len(tops):
            index = bisect_right(starts, address, tops[top - 1], tops[top]) - 1
        else:
            index = bisect_right(starts, address) - 1
        while index >= 0:
            apart = (address ^ starts[index]) >> self.host_bits[index]
            if not apart and self.rankings[index] != REMOVED:
                return index
            index = self.parents[index]
        return NOT_FOUND

    def _append_start(self, start: int) -> None:
        missing = (start >> _TOP_SHIFT) + 1 - len(self._tops)
        if missing > 0:
            self._tops.extend(array('I', [len(self.starts)]) * missing)
        self.starts.append(start)


class PackedV6(PackedBlocks):
    """IPv6 blocks, 23 bytes each; starts are kept in two halves.

    Arrays hold at most 64 bits a number. Nearly all client blocks are at most
    64 bits long and differ in the upper half, so a search in the lower halves
    is needed only where the upper half equals that of the address.
    """

    bits = V6_BITS

    def __init__(self) -> None:
        """Start without blocks."""
        super().__init__()
        self.highs = array('Q')
        self.lows = array('Q')
        self._samples: list[int] = []

    def get_start(self, index: int) -> int:
        """First address of a block."""
        return self.highs[index] << _HALF_BITS | self.lows[index]

    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""
        high = address >> _HALF_BITS
        place = bisect_right(self._samples, high) * _SAMPLE_STEP
        if not place:
            return NOT_FOUND
        end = min(place, len(self.highs))
        index = bisect_right(self.highs, high, place - _SAMPLE_STEP, end) - 1
        if self.highs[index] != high:
            return index
        first = bisect_left(self.highs, high, 0, index)
        low = address & _LOW_MASK
        return bisect_right(self.lows, low, first, index + 1) - 1

    def find(self, address: int) -> int:
        """Index of the longest live block around an address."""
        # The upper half settles all but the blocks of more than 64 bits.
        high = address >> _HALF_BITS
        index = self.find_last(address)
        while index >= 0:
            host_bits = self.host_bits[index]
            apart = high ^ self.highs[index]
            if host_bits >= _HALF_BITS:
                apart >>= host_bits - _HALF_BITS
            elif not apart:
                apart = (address ^ self.get_start(index)) >> host_bits
            if not apart and self.rankings[index] != REMOVED:
                return index
            index = self.parents[index]
        return NOT_FOUND

    def _append_start(self, start: int) -> None:
        high = start >> _HALF_BITS
        if len(self.highs) % _SAMPLE_STEP == 0:
            self._samples.append(high)
        self.highs.append(high)
        self.lows.append(start & _LOW_MASK)


def make_packed(bits: int) -> PackedBlocks:
    """Empty packed blocks of an address family."""
    return PackedV4() if bits == V4_BITS else PackedV6()


def _fault(start: int, host_bits: int, problem: str) -> ObjectError:
    subject = f'block {start:#x} with {host_bits} host bits'
    return ObjectError(ErrorKind.INVALID_OBJECT, f'{subject} {problem}')
