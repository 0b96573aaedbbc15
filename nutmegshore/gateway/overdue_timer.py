"""When an attempt without an answer is overdue."""

import math

from nutmegshore.clock import Clock

__all__ = ('OverdueTimer',)


class OverdueTimer:
    """Measures the age of an attempt, and tells when it is overdue.

    timer = OverdueTimer(clock, 0.7)
    await asyncio.sleep(timer.due_s)
    timer.postpone()
    """

    def __init__(self, clock: Clock, limit_s: float) -> None:
        """Start an attempt that is overdue after the limit."""
        self._clock = clock
        self._started_at = clock.now()
        self._due_at = self._started_at + limit_s

    @property
    def age_s(self) -> float:
        """Seconds since the start."""
        return self._clock.now() - self._started_at

    @property
    def due_s(self) -> float:
        """Seconds until the attempt is overdue, or is so again."""
        return max(self._due_at - self._clock.now(), 0)

    def stop(self) -> None:
        """Never let the attempt be overdue from now on."""
        self._due_at = math.inf

    def postpone(self) -> None:
        """Let the attempt be overdue again when its age has doubled."""
        self._due_at = self._clock.now() + self.age_s
