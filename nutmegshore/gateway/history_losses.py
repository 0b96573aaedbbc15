"""Pauses between listings of a store that keeps losing its history."""

import random

from nutmegshore.clock import Clock

__all__ = ('HistoryLosses',)


class HistoryLosses:
    """Paces the listings that follow losses of the store's history.

    losses = HistoryLosses(clock, rng, pause_s=0.5)
    await losses.pace()  # before each listing after a loss
    """

    def __init__(
        self, clock: Clock, rng: random.Random, pause_s: float
    ) -> None:
        """Leave one to two pauses between two losses."""
        self._clock = clock
        self._rng = rng
        self._pause_s = pause_s
        self._lost_at = float('-inf')

    async def pace(self) -> None:
        """Pause if the history was lost lately: listing again did not help."""
        pause_s = self._pause_s * (1 + self._rng.random())
        ends_at = self._lost_at + pause_s
        await self._clock.sleep(max(ends_at - self._clock.now(), 0))
        self._lost_at = self._clock.now()
