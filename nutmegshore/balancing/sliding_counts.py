"""Counts over sliding windows of two seconds."""

import collections
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from nutmegshore.clock import Clock

__all__ = ('WINDOW_S', 'SlidingCounts')

#: Seconds of a window.
WINDOW_S = 2
_SLICE_S = 0.25
_SLICES = int(WINDOW_S / _SLICE_S)

_Counts = TypeVar('_Counts')


@attrs.frozen
class _Slice(Generic[_Counts]):
    """Counts of a quarter of a second; `number` is its place in time."""

    number: int
    counts: _Counts


class SlidingCounts(Generic[_Counts]):
    """Counts of the last windows, kept in slices of a quarter of a second.

    The type of the counts is the embedder's; `make_counts` makes empty ones.

        counts = SlidingCounts(clock, collections.Counter, windows=2)
        counts.current()['home'] += 1
        sum(one['home'] for one in counts.window())
    """

    def __init__(
        self, clock: Clock, make_counts: Callable[[], _Counts], windows: int = 1
    ) -> None:
        """Keep the counts of so many windows."""
        self._clock = clock
        self._make_counts = make_counts
        self._kept = windows * _SLICES
        self._slices: collections.deque[_Slice[_Counts]] = collections.deque()

    def current(self) -> _Counts:
        """Return the counts to which an event of now is added."""
        return self._current_slice().counts

    def window(self, windows_ago: int = 0) -> list[_Counts]:
        """Return the counts of the last window, or of one before it."""
        end = self._current_slice().number - windows_ago * _SLICES
        return [
            one.counts
            for one in self._slices
            if end - _SLICES < one.number <= end
        ]

    def _current_slice(self) -> _Slice[_Counts]:
        number = int(self._clock.now() / _SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number, self._make_counts()))
        while self._slices[0].number <= number - self._kept:
            self._slices.popleft()
        return self._slices[-1]
