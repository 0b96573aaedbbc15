"""When the callers of refused requests should return."""

import random

from nutmegshore.balancing.choice import RoutingRequest
from nutmegshore.balancing.pause_turns import PauseTurns
from nutmegshore.balancing.retry_schedule import RetrySchedule
from nutmegshore.clock import Clock

__all__ = ('Admission',)

#: Retry time in seconds without an upstream; it is up to twice as long.
_NO_UPSTREAM_RETRY_S = 0.4


class Admission:
    """Tells refused callers when to return.

    That is when what is queued too much and the callers refused earlier have
    been served. More urgent callers return first.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Randomize retry times with `rng`."""
        self._rng = rng
        self._retry_schedule = RetrySchedule(clock)
        self._pause_turns = PauseTurns(clock, rng)

    def retry_after_s(
        self, request: RoutingRequest, room_in_s: float, gap_s: float
    ) -> float:
        """Return the seconds after which a refused request should be retried.

        `room_in_s` is the time until there is room for one more request, in a
        queue or within the limits of upstreams. `gap_s` is the interval between
        requests that this gateway may expect to be sent.
        """
        spread_s = gap_s * (0.5 + self._rng.random())
        return self._retry_schedule.reserve(
            request.service, room_in_s, spread_s, request.urgency
        )

    def paused_retry_s(
        self, service: str, opens_in_s: float, gap_s: float
    ) -> float:
        """Return the retry time in seconds when upstreams want no requests.

        `opens_in_s` is the time until the first of them takes a request, and
        `gap_s` the interval between requests that this gateway may send then.
        """
        return self._pause_turns.reserve(service, opens_in_s, gap_s)

    def no_upstream_retry_s(self) -> float:
        """Return the retry time in seconds when no upstream is available."""
        return _NO_UPSTREAM_RETRY_S * (1 + self._rng.random())
