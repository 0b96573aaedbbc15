"""Drawn client blocks and the structures that the table is compared with."""

import functools
import random
from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any

from nutmegshore.blocks import read_address

__all__ = (
    'NONE',
    'WAYS',
    'Intervals',
    'LengthTables',
    'Row',
    'Way',
    'draw_rows',
)

#: Bits, first address, host bits and ranking of a block.
Row = tuple[int, int, int, int]

_Build = Callable[[int, list[Row]], Any]

NONE = -1

_V4_BITS = 32
_V6_BITS = 128
_V4_SHARE = 0.7
#: Lengths of prefixes with their weights: mostly one length and a tail of
#: wider blocks around, as routed networks have them. An assumption, since the
#: design page gives no distribution.
_V4_LENGTHS = MappingProxyType(
    {24: 60, 23: 9, 22: 12, 21: 5, 20: 6, 19: 4, 16: 4},
)
_V6_LENGTHS = MappingProxyType(
    {48: 60, 44: 8, 40: 10, 36: 6, 32: 12, 56: 2, 64: 2},
)
_V6_FREE_BITS = 125
_V6_PREFIX = 1 << _V6_FREE_BITS
_KEPT_BITS = 64


def draw_rows(count: int, rankings: int, rng: random.Random) -> list[Row]:
    """Draw distinct blocks in the order of the table, the wider first."""
    drawn: set[tuple[int, int, int]] = set()
    v4_count = int(count * _V4_SHARE)
    while len(drawn) < v4_count:
        drawn.add(_draw_v4(rng))
    while len(drawn) < count:
        drawn.add(_draw_v6(rng))
    return [
        (bits, start, -negative, rng.randrange(rankings))
        for bits, start, negative in sorted(drawn)
    ]


class Intervals:
    """Disjoint intervals of addresses with one binary search.

    Nested blocks are flattened, so one change of a block may alter any number
    of intervals, and a removal needs the blocks themselves besides.
    """

    def __init__(self, bits: int, rows: Iterable[Row]) -> None:
        """Build from the ordered rows of one family; up to 64 bits kept."""
        self._shift = max(bits - _KEPT_BITS, 0)
        self._end = 1 << bits
        self.starts = array('Q' if self._shift else 'I', [0])
        self.rankings = array('i', [NONE])
        around: list[tuple[int, int]] = []
        for _, start, host_bits, ranking in rows:
            self._close(around, start)
            self._add(start, ranking)
            around.append((start + (1 << host_bits), ranking))
        self._close(around, self._end)

    def find(self, address: int) -> int:
        """Ranking for an address."""
        place = bisect_right(self.starts, address >> self._shift) - 1
        return self.rankings[place]

    def _close(self, around: list[tuple[int, int]], start: int) -> None:
        while around and around[-1][0] <= start:
            end, _ = around.pop()
            self._add(end, around[-1][1] if around else NONE)

    def _add(self, start: int, ranking: int) -> None:
        if start >= self._end:
            return
        kept = start >> self._shift
        if self.starts[-1] == kept:
            self.rankings[-1] = ranking
            return
        self.starts.append(kept)
        self.rankings.append(ranking)


class LengthTables:
    """A hash table for each length of prefix, tried from the longest on."""

    def __init__(self, bits: int, rows: Iterable[Row]) -> None:
        """Build from rows of one family."""
        self.bits = bits
        self._tables: dict[int, dict[int, int]] = {}
        for _, start, host_bits, ranking in rows:
            by_prefix = self._tables.setdefault(host_bits, {})
            by_prefix[start >> host_bits] = ranking
        self._order = sorted(self._tables.items())

    def find(self, address: int) -> int:
        """Ranking for an address."""
        for host_bits, by_prefix in self._order:
            ranking = by_prefix.get(address >> host_bits)
            if ranking is not None:
                return ranking
        return NONE


class Way:
    """A compared structure for both families."""

    def __init__(self, build: _Build, rows: list[Row]) -> None:
        """Build a structure for each family."""
        self._v4 = build(_V4_BITS, [row for row in rows if row[0] == _V4_BITS])
        self._v6 = build(_V6_BITS, [row for row in rows if row[0] == _V6_BITS])

    def find(self, packed: bytes) -> int:
        """Ranking for a packed address."""
        bits, address = read_address(packed)
        return (self._v4 if bits == _V4_BITS else self._v6).find(address)


WAYS = MappingProxyType(
    {
        'flat intervals': functools.partial(Way, Intervals),
        'table per length': functools.partial(Way, LengthTables),
    },
)


def _draw_v4(rng: random.Random) -> tuple[int, int, int]:
    host_bits = _V4_BITS - _draw_length(rng, _V4_LENGTHS)
    start = rng.getrandbits(_V4_BITS) >> host_bits << host_bits
    return _V4_BITS, start, -host_bits


def _draw_v6(rng: random.Random) -> tuple[int, int, int]:
    host_bits = _V6_BITS - _draw_length(rng, _V6_LENGTHS)
    address = _V6_PREFIX | rng.getrandbits(_V6_FREE_BITS)
    return _V6_BITS, address >> host_bits << host_bits, -host_bits


def _draw_length(rng: random.Random, weights: Mapping[int, int]) -> int:
    return rng.choices(list(weights), list(weights.values()))[0]
