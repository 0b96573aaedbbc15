"""When callers of refused requests may come back."""

from nutmegshore.clock import Clock

__all__ = ('ReturnTable',)

#: Longest time that a caller is told to stay away, in seconds. Deadlines of
#: seconds leave no use for a later return.
_MOST_RETRY_S = 2


class ReturnTable:
    """Gives refused callers turns, each after the one before.

    Callers that are refused in one burst and told the same time come back in
    one burst, and are refused again. Here each refusal books the next turn of
    its service, at the pace at which the upstreams become free.

        wait_s = returns.book('orders', earliest_s=0.1, gap_s=0.02)
    """

    def __init__(self, clock: Clock) -> None:
        """Start without turns."""
        self._clock = clock
        self._booked: dict[str, float] = {}

    def book(self, service: str, earliest_s: float, gap_s: float) -> float:
        """Seconds until the next turn.

        `earliest_s` is when there is room for one request more, and `gap_s`
        the time between two requests that this gateway may send.
        """
        now = self._clock.now()
        following = self._booked.get(service, now) + gap_s
        turn = max(now + earliest_s, following)
        self._booked[service] = min(turn, now + _MOST_RETRY_S)
        return self._booked[service] - now
