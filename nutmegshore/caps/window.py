"""Exact sliding window of whole units."""

import collections

from nutmegshore.caps.drift import WINDOW_S

__all__ = ('Usage', 'Window')


class Window:
    """Remembers each use of a unit until it is older than the window.

    window = Window()
    window.take(now, units=2)
    window.count(now)  # 2
    """

    def __init__(self, seconds: float = WINDOW_S) -> None:
        """Start empty; the length is in seconds of the own clock."""
        self._seconds = seconds
        self._uses: collections.deque[tuple[float, int]] = collections.deque()
        self._total = 0

    def count(self, now: float) -> int:
        """Units used within the window that ends now."""
        while self._uses and now - self._uses[0][0] >= self._seconds:
            self._total -= self._uses.popleft()[1]
        return self._total

    def take(self, now: float, units: int) -> None:
        """Record a use of this many units."""
        self._uses.append((now, units))
        self._total += units


class Usage:
    """Units in use: for one window each, or until they are released."""

    def __init__(self, *, is_rate: bool) -> None:
        """Start with nothing in use."""
        self.is_rate = is_rate
        self.busy = 0
        self._window = Window()

    def count(self, now: float) -> int:
        """Units in use now."""
        return self._window.count(now) if self.is_rate else self.busy

    def take(self, now: float, units: int) -> None:
        """Begin to use units."""
        if self.is_rate:
            self._window.take(now, units)
        else:
            self.busy += units

    def release(self, units: int) -> None:
        """End the use of units that do not end by themselves."""
        self.busy = max(self.busy - units, 0)
