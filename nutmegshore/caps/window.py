"""Exact sliding window of whole units."""

import collections

from nutmegshore.caps.clock_drift import WINDOW_S

__all__ = ('Usage', 'Window')


class Window:
    """Counts the units used within the last window.

    window = Window()
    window.record(now, units=2)
    window.count(now)  # 2
    """

    def __init__(self, seconds: float = WINDOW_S) -> None:
        """Start empty; the length is in seconds of the local clock."""
        self._seconds = seconds
        self._uses: collections.deque[tuple[float, int]] = collections.deque()
        self._total = 0

    def count(self, now: float) -> int:
        """Units used within the window that ends now."""
        while self._uses and now - self._uses[0][0] >= self._seconds:
            self._total -= self._uses.popleft()[1]
        return self._total

    def record(self, now: float, units: int) -> None:
        """Record a use of this many units."""
        self._uses.append((now, units))
        self._total += units


class Usage:
    """Units in use.

    A unit of a rate is in use for one window; a unit of concurrency until it
    is released.
    """

    def __init__(self, *, is_rate: bool) -> None:
        """Start with nothing in use."""
        self.is_rate = is_rate
        self.in_use = 0
        self._window = Window()

    def count(self, now: float) -> int:
        """Units in use now."""
        return self._window.count(now) if self.is_rate else self.in_use

    def record(self, now: float, units: int) -> None:
        """Record that units are now in use."""
        if self.is_rate:
            self._window.record(now, units)
        else:
            self.in_use += units

    def release(self, units: int) -> None:
        """End the use of units of concurrency."""
        self.in_use = max(self.in_use - units, 0)
