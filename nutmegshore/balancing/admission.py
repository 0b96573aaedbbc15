"""Admission control: which requests are refused, and when to retry them."""

import random

from nutmegshore.balancing.choice import Candidate, RoutingRequest
from nutmegshore.balancing.pause_turns import PauseTurns
from nutmegshore.balancing.retry_schedule import RetrySchedule
from nutmegshore.clock import Clock
from nutmegshore.gateway.route import Route

__all__ = ('Admission',)

#: Expected times are accurate to about this factor, so a request that can still
#: meet its latency target may exceed it by this much.
_TARGET_FACTOR = 1.1
#: A request that cannot meet its target (its object is cold everywhere, or it
#: runs in another region) may wait for this fraction of the target. Longer
#: queues would make other requests late too.
_LATE_WAIT_FRACTION = 0.6
#: Each rank below the most urgent route of a service shortens the permitted
#: wait by this factor, so that less urgent requests are refused first.
_RANK_FACTOR = 0.8
#: Retry time in seconds without an upstream; it is up to twice as long.
_NO_UPSTREAM_RETRY_S = 0.4


class Admission:
    """Refuses requests that would only lengthen the queues.

    In overload a queue that makes every answer late serves nobody. A request
    is accepted if it is expected to meet its target, or if its wait is short.
    Otherwise it is refused at once, with a retry time by which the excess of
    the queue and the callers refused earlier have been served.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Randomize retry times with `rng`."""
        self._rng = rng
        self._retry_schedule = RetrySchedule(clock)
        self._pause_turns = PauseTurns(clock, rng)

    def allows(
        self,
        route: Route,
        candidate: Candidate,
        remaining_s: float,
        lowest_rank: int,
    ) -> bool:
        """Return whether a request may queue at its best upstream.

        `lowest_rank` is the rank of the most urgent route to the service.
        """
        unavoidable_s = candidate.expected_s - candidate.wait_s
        if candidate.is_known and candidate.expected_s > remaining_s:
            return False
        factor = _RANK_FACTOR ** max(route.rank - lowest_rank, 0)
        target_s = route.target_latency_s * _TARGET_FACTOR
        spare_s = target_s - unavoidable_s
        late_s = _LATE_WAIT_FRACTION * route.target_latency_s
        return candidate.wait_s <= factor * max(spare_s, late_s)

    def retry_after_s(
        self,
        request: RoutingRequest,
        candidate: Candidate,
        gap_s: float,
    ) -> float:
        """Return the seconds after which a refused request should be retried.

        `gap_s` is the interval between requests that this gateway may send.
        """
        late_s = _LATE_WAIT_FRACTION * request.route.target_latency_s
        spread_s = gap_s * (0.5 + self._rng.random())
        return self._retry_schedule.reserve(
            request.service, candidate.wait_s - late_s, spread_s
        )

    def rate_limited_retry_s(
        self, service: str, earliest_s: float, gap_s: float
    ) -> float:
        """Return the retry time in seconds when limits leave no room.

        `earliest_s` is when there is room for one more request, `gap_s` the
        interval between requests that this gateway may expect to be sent.
        """
        spread_s = gap_s * (0.5 + self._rng.random())
        return self._retry_schedule.reserve(service, earliest_s, spread_s)

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
