"""The bound on how fast a region's requests change the region they run in."""

import collections

import attrs

from nutmegshore.clock import Clock

__all__ = ('ShiftBound',)

#: Seconds of the windows that the bound compares.
_WINDOW_S = 2
_SLICE_S = 0.25
_SLICES = int(_WINDOW_S / _SLICE_S)
#: Part of the bound that one gateway uses; the rest is for chance in the few
#: requests of a window, and for windows that lie otherwise.
_USED_PART = 0.65
#: Requests in a window below which its part says little.
_LEAST_COUNT = 6


@attrs.define
class _Slice:
    number: int
    home: int = 0
    away: int = 0


class ShiftBound:
    """Keeps the part of requests that run away from home from jumping.

    The part in the last 2 s may differ from that in the 2 s before by the
    bound at most, up or down. While there were too few requests before, as at
    the start of traffic, there is no bound.

        if bound.allows_away():
            bound.note(is_away=True)
    """

    def __init__(self, clock: Clock, max_shift: float) -> None:
        """Bound the change of the part between two windows."""
        self._clock = clock
        self._slices: collections.deque[_Slice] = collections.deque()
        self.limit(max_shift)

    def limit(self, max_shift: float) -> None:
        """Replace the bound on the change of the part between windows."""
        self._step = max_shift * _USED_PART

    def note(self, *, is_away: bool) -> None:
        """Count a request that is sent."""
        last = self._last()
        if is_away:
            last.away += 1
        else:
            last.home += 1

    def allows_away(self) -> bool:
        """Whether one more request may run elsewhere."""
        before = self._part_before()
        if before is None:
            return True
        home, away = self._recent()
        return (away + 1) / (home + away + 1) <= before + self._step

    def allows_home(self) -> bool:
        """Whether one more request may run at home."""
        before = self._part_before()
        if before is None:
            return True
        home, away = self._recent()
        return away / (home + away + 1) >= before - self._step

    def _part_before(self) -> float | None:
        """Part that ran elsewhere in the window before the last one."""
        oldest = self._last().number - _SLICES + 1
        home = sum(one.home for one in self._slices if one.number < oldest)
        away = sum(one.away for one in self._slices if one.number < oldest)
        if home + away < _LEAST_COUNT:
            return None
        return away / (home + away)

    def _recent(self) -> tuple[int, int]:
        oldest = self._last().number - _SLICES + 1
        home = sum(one.home for one in self._slices if one.number >= oldest)
        away = sum(one.away for one in self._slices if one.number >= oldest)
        return home, away

    def _last(self) -> _Slice:
        number = int(self._clock.now() / _SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        while self._slices[0].number <= number - 2 * _SLICES:
            self._slices.popleft()
        return self._slices[-1]
