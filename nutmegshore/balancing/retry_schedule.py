"""Retry times of refused requests."""

from nutmegshore.clock import Clock

__all__ = ('RetrySchedule',)

#: Minimum retry time in seconds. Room that appears while a request is refused
#: must not call its caller back at once, with all others.
_MIN_RETRY_S = 0.05
#: Maximum retry time in seconds, unless there is no capacity before. Requests
#: have deadlines of a few seconds, so a later retry would be useless.
_MAX_RETRY_S = 2

#: Rank of the customer, then of the route.
_Urgency = tuple[int, int]


class RetrySchedule:
    """Spaces out the retries of refused callers.

    Callers refused in one burst and given the same retry time come back in one
    burst and are refused again. Here each refusal reserves the next retry time
    of its service, at the rate at which the upstreams become free. Callers of a
    less urgent request return after the more urgent ones, which do not wait for
    them.

        wait_s = schedule.reserve('orders', earliest_s=0.1, gap_s=0.02)
    """

    def __init__(self, clock: Clock) -> None:
        """Start without reservations."""
        self._clock = clock
        self._reserved_until: dict[str, dict[_Urgency, float]] = {}

    def reserve(
        self,
        service: str,
        earliest_s: float,
        gap_s: float,
        urgency: _Urgency = (0, 0),
    ) -> float:
        """Reserve the next retry time; returns the seconds until then.

        `earliest_s` is when there is capacity for one more request, and `gap_s`
        the interval between requests that this gateway may send. The least
        `urgency` goes first.
        """
        now = self._clock.now()
        earliest_s = max(earliest_s, _MIN_RETRY_S)
        reserved = self._reserved_until.setdefault(service, {})
        last = max(
            (until for known, until in reserved.items() if known <= urgency),
            default=now,
        )
        retry_at = max(now + earliest_s, last + gap_s)
        latest_s = max(_MAX_RETRY_S, earliest_s)
        reserved[urgency] = min(retry_at, now + latest_s)
        return reserved[urgency] - now
