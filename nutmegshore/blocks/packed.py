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

#: Ranking that marks a removed block; look-ups continue with its parent.
REMOVED = 65_535

_TOP_SHIFT = 16
_HALF_BITS = 64
#: Distance between the upper halves that are also stored in a list, where the
#: first steps of a binary search are faster than in the array.
_SAMPLE_STEP = 256
_LOW_MASK = (1 << _HALF_BITS) - 1


class PackedBlocks(abc.ABC):
    """Blocks ordered by start, wider ones first, each with its parent.

    The parent is the smallest block that encloses a block. A look-up finds
    the last block that starts at or before the address by binary search and
    follows the parents until one contains the address; the nesting depth
    bounds the number of steps. `host_bits`, `rankings` and `parents` are
    parallel arrays that take 7 bytes per block besides its start.
    """

    bits: int

    def __init__(self) -> None:
        """Start without blocks."""
        self.host_bits = array('B')
        self.rankings = array('H')
        self.parents = array('i')
        # Start, host bits and index of the last block and those around it.
        self._enclosing: list[tuple[int, int, int]] = []
        self._last_key = (NOT_FOUND, 0)

    def __len__(self) -> int:
        """Count the blocks, removed ones included."""
        return len(self.host_bits)

    def append(self, start: int, host_bits: int, ranking: int) -> None:
        """Append the next block in order.

        Raises `ObjectError` for a block out of order, out of range or with
        host bits set, since a look-up would silently miss it.
        """
        if (start, -host_bits) <= self._last_key:
            raise _fault(start, host_bits, 'is out of order')
        if start >> self.bits or not 0 <= host_bits <= self.bits:
            raise _fault(start, host_bits, f'does not fit {self.bits} bits')
        if start & ((1 << host_bits) - 1):
            raise _fault(start, host_bits, 'has host bits set')
        self._last_key = (start, -host_bits)
        self.parents.append(self._push_enclosing(start, host_bits))
        self._append_start(start)
        self.host_bits.append(host_bits)
        self.rankings.append(ranking)

    def find_exact(self, start: int, host_bits: int) -> int:
        """Index of exactly this block, removed or not, or NOT_FOUND."""
        index = self.find_last(start)
        while index >= 0 and self.get_start(index) == start:
            if self.host_bits[index] == host_bits:
                return index
            index -= 1
        return NOT_FOUND

    @abc.abstractmethod
    def find(self, address: int) -> int:
        """Index of the longest live block that contains an address.

        NOT_FOUND if no block contains it.
        """

    @abc.abstractmethod
    def get_start(self, index: int) -> int:
        """First address of a block."""

    @abc.abstractmethod
    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""

    @abc.abstractmethod
    def _append_start(self, start: int) -> None:
        """Append the first address of a block."""

    def _push_enclosing(self, start: int, host_bits: int) -> int:
        enclosing = self._enclosing
        while enclosing:
            outer, outer_host_bits, index = enclosing[-1]
            if outer >> outer_host_bits == start >> outer_host_bits:
                break
            enclosing.pop()
        parent = index if enclosing else NOT_FOUND
        enclosing.append((start, host_bits, len(self.host_bits)))
        return parent


class PackedV4(PackedBlocks):
    """IPv4 blocks: 11 bytes each, plus 256 KB for an index.

    `_first_by_top` has, for each value of the upper 16 address bits, the
    index of the first block at or after it, which narrows the binary search.
    """

    bits = V4_BITS

    def __init__(self) -> None:
        """Start without blocks."""
        super().__init__()
        self.starts = array('I')
        self._first_by_top = array('I')

    def get_start(self, index: int) -> int:
        """First address of a block."""
        return self.starts[index]

    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""
        firsts = self._first_by_top
        top = (address >> _TOP_SHIFT) + 1
        if top < len(firsts):
            end = firsts[top]
            return bisect_right(self.starts, address, firsts[top - 1], end) - 1
        return bisect_right(self.starts, address) - 1

    def find(self, address: int) -> int:
        """Index of the longest live block that contains an address."""
        starts = self.starts
        firsts = self._first_by_top
        top = (address >> _TOP_SHIFT) + 1
        # Inlined find_last: a call costs as much as the whole search.
        if top < len(firsts):
            index = (
                bisect_right(starts, address, firsts[top - 1], firsts[top]) - 1
            )
        else:
            index = bisect_right(starts, address) - 1
        while index >= 0:
            difference = (address ^ starts[index]) >> self.host_bits[index]
            if not difference and self.rankings[index] != REMOVED:
                return index
            index = self.parents[index]
        return NOT_FOUND

    def _append_start(self, start: int) -> None:
        missing = (start >> _TOP_SHIFT) + 1 - len(self._first_by_top)
        if missing > 0:
            self._first_by_top.extend(array('I', [len(self.starts)]) * missing)
        self.starts.append(start)


class PackedV6(PackedBlocks):
    """IPv6 blocks, 23 bytes each; starts are stored as two 64-bit halves.

    Array items have at most 64 bits. Nearly all client blocks have a prefix
    of at most 64 bits and differ in the upper half, so the lower halves are
    searched only where the upper half equals that of the address.
    """

    bits = V6_BITS

    def __init__(self) -> None:
        """Start without blocks."""
        super().__init__()
        self.highs = array('Q')
        self.lows = array('Q')
        self._sampled_highs: list[int] = []

    def get_start(self, index: int) -> int:
        """First address of a block."""
        return self.highs[index] << _HALF_BITS | self.lows[index]

    def find_last(self, address: int) -> int:
        """Index of the last block that starts at or before an address."""
        high = address >> _HALF_BITS
        bound = bisect_right(self._sampled_highs, high) * _SAMPLE_STEP
        if not bound:
            return NOT_FOUND
        end = min(bound, len(self.highs))
        index = bisect_right(self.highs, high, bound - _SAMPLE_STEP, end) - 1
        if self.highs[index] != high:
            return index
        first = bisect_left(self.highs, high, 0, index)
        low = address & _LOW_MASK
        return bisect_right(self.lows, low, first, index + 1) - 1

    def find(self, address: int) -> int:
        """Index of the longest live block that contains an address."""
        # The upper half is enough except for prefixes longer than 64 bits.
        high = address >> _HALF_BITS
        index = self.find_last(address)
        while index >= 0:
            host_bits = self.host_bits[index]
            difference = high ^ self.highs[index]
            if host_bits >= _HALF_BITS:
                difference >>= host_bits - _HALF_BITS
            elif not difference:
                difference = (address ^ self.get_start(index)) >> host_bits
            if not difference and self.rankings[index] != REMOVED:
                return index
            index = self.parents[index]
        return NOT_FOUND

    def _append_start(self, start: int) -> None:
        high = start >> _HALF_BITS
        if len(self.highs) % _SAMPLE_STEP == 0:
            self._sampled_highs.append(high)
        self.highs.append(high)
        self.lows.append(start & _LOW_MASK)


def make_packed(bits: int) -> PackedBlocks:
    """Create empty packed blocks for an address family."""
    return PackedV4() if bits == V4_BITS else PackedV6()


def _fault(start: int, host_bits: int, problem: str) -> ObjectError:
    subject = f'block {start:#x} with {host_bits} host bits'
    return ObjectError(ErrorKind.INVALID_OBJECT, f'{subject} {problem}')
