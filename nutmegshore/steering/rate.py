"""Rate at which one service's slots become free at this entry."""

import collections

from nutmegshore.clock import Clock

__all__ = ('DepartureRate',)

#: Departures are counted over this time.
_WINDOW_S = 0.5
#: Weight of the newest request in the mean time that a slot is held.
_NEWEST = 0.05


class DepartureRate:
    """Requests per second that this entry can count on for one service.

    The larger of two figures: the departures of the last half second, and the
    slots of the upstreams that this entry owns over the mean time that a
    request holds a slot. The first is low after a quiet time, the second
    misses what the entry uses beyond its own.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a measurement."""
        self.slots = float(0)
        self.mean_hold_s = float(0)
        self._clock = clock
        self._departures: collections.deque[float] = collections.deque()

    def record(self, hold_s: float) -> None:
        """Count the end of a request that held a slot for this long."""
        if self.mean_hold_s:
            self.mean_hold_s += _NEWEST * (hold_s - self.mean_hold_s)
        else:
            self.mean_hold_s = hold_s
        self._departures.append(self._clock.now())
        self._forget()

    def per_s(self) -> float:
        """Rate in requests per second; 0 before the first measurement."""
        self._forget()
        measured = len(self._departures) / _WINDOW_S
        if self.mean_hold_s:
            return max(measured, self.slots / self.mean_hold_s)
        return measured

    def _forget(self) -> None:
        oldest = self._clock.now() - _WINDOW_S
        while self._departures and self._departures[0] < oldest:
            self._departures.popleft()
