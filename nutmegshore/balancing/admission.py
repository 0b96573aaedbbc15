"""Which requests are refused at once, and when they may come back."""

import random

from nutmegshore.balancing.choice import Candidate, RoutingRequest
from nutmegshore.balancing.returns import ReturnTable
from nutmegshore.clock import Clock
from nutmegshore.gateway.route import Route

__all__ = ('Admission',)

#: A request that can still be answered within its target may use all of it;
#: the expected time is known to about this factor.
_TARGET_FACTOR = 1.1
#: One that cannot (its object is cold everywhere, or it comes from afar) may
#: wait for this part of its target: longer queues would make others late too.
_LATE_WAIT_PART = 0.6
#: Each step of rank below the most urgent route of a service shortens the
#: wait by this factor, so that less urgent requests are refused first.
_RANK_FACTOR = 0.8
#: Least time after which a refused caller is asked back, in seconds.
_LEAST_RETRY_S = 0.05
_NO_UPSTREAM_RETRY_S = 0.4


class Admission:
    """Refuses what would only lengthen the queues.

    In overload a queue that makes every answer late serves nobody. A request
    is accepted if it is expected within its target, or if its wait is short;
    otherwise it is refused at once, and the caller is told to come back when
    the excess of the queue and the callers that were refused before have been
    worked off.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Spread returns with this generator."""
        self._rng = rng
        self._returns = ReturnTable(clock)

    def allows(
        self,
        route: Route,
        candidate: Candidate,
        remaining_s: float,
        lowest_rank: int,
    ) -> bool:
        """Whether a request may join the queue of its best upstream.

        `lowest_rank` is that of the most urgent route to the service.
        """
        unavoidable_s = candidate.expected_s - candidate.wait_s
        if candidate.is_known and candidate.expected_s > remaining_s:
            return False
        factor = _RANK_FACTOR ** max(route.rank - lowest_rank, 0)
        target_s = route.target_latency_s * _TARGET_FACTOR
        spare_s = target_s - unavoidable_s
        late_s = _LATE_WAIT_PART * route.target_latency_s
        return candidate.wait_s <= factor * max(spare_s, late_s)

    def retry_after_s(
        self,
        wanted: RoutingRequest,
        candidate: Candidate,
        gap_s: float,
    ) -> float:
        """Seconds after which a refused request is worth another try.

        `gap_s` is the time between two requests that this gateway may send.
        """
        late_s = _LATE_WAIT_PART * wanted.route.target_latency_s
        earliest_s = max(candidate.wait_s - late_s, _LEAST_RETRY_S)
        spread_s = gap_s * (0.5 + self._rng.random())
        return self._returns.book(wanted.service, earliest_s, spread_s)

    def no_upstream_retry_s(self) -> float:
        """Seconds after which there may be an upstream again."""
        return _NO_UPSTREAM_RETRY_S * (1 + self._rng.random())
