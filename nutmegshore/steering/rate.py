"""Rate at which one service's slots become free at this entry."""

import collections

from nutmegshore.clock import Clock

__all__ = ('DepartureRate',)

#: Time over which departures are counted.
_WINDOW_S = 0.5
#: Weight of the newest request in the moving average of the hold time.
_NEWEST_WEIGHT = 0.05


class DepartureRate:
    """Requests per second that this entry can count on for one service.

    The rate is the larger of two figures: the departures per second over the
    last half second, and the slots that this entry owns divided by the mean
    time that a request holds a slot. The first is too low after an idle time,
    the second ignores slots that the entry uses beyond its own.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a measurement."""
        self.slots = float(0)
        self.mean_hold_s = float(0)
        self._clock = clock
        self._departures: collections.deque[float] = collections.deque()

    def record(self, hold_s: float) -> None:
        """Record the end of a request that held a slot for `hold_s` seconds."""
        if self.mean_hold_s:
            self.mean_hold_s += _NEWEST_WEIGHT * (hold_s - self.mean_hold_s)
        else:
            self.mean_hold_s = hold_s
        self._departures.append(self._clock.now())
        self._drop_old()

    def per_s(self) -> float:
        """Rate in requests per second; 0 before the first measurement."""
        self._drop_old()
        measured = len(self._departures) / _WINDOW_S
        if self.mean_hold_s:
            return max(measured, self.slots / self.mean_hold_s)
        return measured

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _WINDOW_S
        while self._departures and self._departures[0] < oldest:
            self._departures.popleft()
