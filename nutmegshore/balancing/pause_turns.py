"""Turns of the callers that are refused while upstreams pause."""

import random

from nutmegshore.clock import Clock

__all__ = ('PauseTurns',)

#: Seconds after the end of a pause over which refused callers are spread.
_WINDOW_S = 2
#: Minimum seconds between the end of a pause and a refused caller's return.
_MIN_GAP_S = 0.005


class PauseTurns:
    """Spaces out the callers that return at the end of a pause.

    All of them could return at the moment at which it ends, and all but the
    first would be refused again. Each gets the next turn after the end, or a
    random one if there are more callers than turns.

        turns.reserve('orders', opens_in_s=2.5, gap_s=0.1)  # 2.6
        turns.reserve('orders', opens_in_s=2.5, gap_s=0.1)  # 2.7
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without turns; `rng` draws those beyond the last one."""
        self._clock = clock
        self._rng = rng
        self._last_turn: dict[str, float] = {}

    def reserve(self, service: str, opens_in_s: float, gap_s: float) -> float:
        """Reserve a turn; returns the seconds until then.

        `opens_in_s` is the time until the first pause ends, and `gap_s` the
        interval between requests that this gateway may send then.
        """
        now = self._clock.now()
        opens_at = now + opens_in_s
        latest = opens_at + _WINDOW_S
        last_turn = max(self._last_turn.get(service, opens_at), opens_at)
        turn = last_turn + max(gap_s, _MIN_GAP_S)
        if turn > latest:
            return opens_in_s + _MIN_GAP_S + self._rng.random() * _WINDOW_S
        self._last_turn[service] = turn
        return turn - now
