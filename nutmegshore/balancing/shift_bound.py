"""The bound on how fast a region's requests change the region they run in."""

import collections
import random

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
#: The same for the requests of a whole region.
_LEAST_REGION = 16
#: Requests that a gateway may save up while some want to go elsewhere.
_MOST_SAVED = 2
#: Seconds for which the sums of the region hold.
_REGION_KEPT_S = 1.5
#: The same for the gateways of a region together. The sums of a window are a
#: second old on average, so that the part changes by this twice in a window.
_REGION_USED_PART = _USED_PART / 2


@attrs.define
class _Slice:
    number: int
    home: int = 0
    away: int = 0


@attrs.frozen
class _Region:
    """Part of the region's requests that ran elsewhere, and when told."""

    at: float
    part: float


class ShiftBound:
    """Keeps the part of requests that run away from home from jumping.

    The part in the last 2 s may differ from that in the 2 s before by the
    bound at most, up or down. While there were too few requests before, as at
    the start of traffic, there is no bound.

    A gateway of a large fleet sends too few requests for that, and is told
    the sums of its region's last 2 s. It then lets the part that is away now,
    and the bound more or less, go elsewhere, and saves up fractions of
    requests: the region's part changes by the bound in 2 s, whatever each
    gateway sends.

        if bound.allows_away():
            bound.record(is_away=True)
    """

    def __init__(
        self,
        clock: Clock,
        max_shift: float,
        rng: random.Random,
    ) -> None:
        """Bound the change of the part between two windows."""
        self._clock = clock
        self._region: _Region | None = None
        # Gateways that began with the same would all move at once.
        self._phase = rng.random()
        self._may_leave = self._phase
        self._must_leave = self._phase
        self._slices: collections.deque[_Slice] = collections.deque()
        self.limit(max_shift)

    def limit(self, max_shift: float) -> None:
        """Replace the bound on the change of the part between windows."""
        self._step = max_shift * _USED_PART
        self._region_step = max_shift * _REGION_USED_PART

    def recent(self) -> tuple[int, int]:
        """Own requests of the last window, at home and elsewhere."""
        oldest = self._last().number - _SLICES + 1
        home = sum(one.home for one in self._slices if one.number >= oldest)
        away = sum(one.away for one in self._slices if one.number >= oldest)
        return home, away

    def handle_region(self, home: int, away: int) -> None:
        """Take the requests of all gateways of the region in the last 2 s."""
        if home + away < _LEAST_REGION:
            self._region = None
            return
        self._region = _Region(self._clock.now(), away / (home + away))

    @property
    def region_part(self) -> float | None:
        """Part of the region's requests that ran elsewhere, if it is told."""
        region = self._region
        if region is None or self._clock.now() - region.at > _REGION_KEPT_S:
            return None
        return region.part

    def record(self, *, is_away: bool, is_moving: bool = True) -> None:
        """Count a request that is sent.

        `is_moving` says whether any of its service want to go elsewhere.
        """
        last = self._last()
        if is_away:
            last.away += 1
        else:
            last.home += 1
        part = self.region_part
        if part is None:
            return
        may = self._may_leave + part + self._region_step
        # What is saved up while none wants to leave would leave all at once.
        most = _MOST_SAVED if is_moving else self._phase
        self._may_leave = min(may, most) - is_away
        must = self._must_leave + max(part - self._region_step, 0)
        self._must_leave = max(must - is_away, 0)

    def allows_away(self) -> bool:
        """Whether one more request may run elsewhere."""
        part = self.region_part
        if part is not None:
            return self._may_leave + part + self._region_step >= 1
        before = self._part_before()
        if before is None:
            return True
        home, away = self.recent()
        return (away + 1) / (home + away + 1) <= before + self._step

    def allows_home(self) -> bool:
        """Whether one more request may run at home."""
        if self.region_part is not None:
            return self._must_leave < 1
        before = self._part_before()
        if before is None:
            return True
        home, away = self.recent()
        return away / (home + away + 1) >= before - self._step

    def _part_before(self) -> float | None:
        """Part that ran elsewhere in the window before the last one."""
        oldest = self._last().number - _SLICES + 1
        home = sum(one.home for one in self._slices if one.number < oldest)
        away = sum(one.away for one in self._slices if one.number < oldest)
        if home + away < _LEAST_COUNT:
            return None
        return away / (home + away)

    def _last(self) -> _Slice:
        number = int(self._clock.now() / _SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        while self._slices[0].number <= number - 2 * _SLICES:
            self._slices.popleft()
        return self._slices[-1]
