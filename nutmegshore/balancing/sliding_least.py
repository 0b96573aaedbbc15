"""Least of the recent values of a series."""

import attrs

__all__ = ('SlidingLeast',)


@attrs.define
class SlidingLeast:
    """Least value of the current window of time and the one before.

    It follows a series whose lower bound moves slowly and which is disturbed
    upwards, as round trips are by queues. Windows last `window_s` seconds.

        least = SlidingLeast(15, now, 0.024)
        least.add(0.031, now)
        least.value  # 0.024
    """

    window_s: float
    _began_at: float
    _current: float
    _before: float = attrs.field(
        default=attrs.Factory(lambda made: made._current, takes_self=True)
    )

    @property
    def value(self) -> float:
        """The least value of both windows."""
        return min(self._current, self._before)

    def add(self, value: float, now: float) -> None:
        """Add a value of the series."""
        if now - self._began_at > self.window_s:
            self._began_at = now
            self._before = self._current
            self._current = value
        self._current = min(self._current, value)
