"""Which requests are refused at once, and when they may come back."""

import random

from nutmegshore.balancing.choice import Candidate
from nutmegshore.gateway.route import Route

__all__ = ('Admission',)

#: A request that can still be answered within its target may use all of it;
#: the expected time is known to about this factor.
_TARGET_FACTOR = 1.1
#: One that cannot (its object is cold everywhere, or it comes from afar) may
#: wait for this part of its target: longer queues would make others late too.
_LATE_WAIT_PART = 0.3
#: Each step of rank below the most urgent route of a service shortens the
#: wait by this factor, so that less urgent requests are refused first.
_RANK_FACTOR = 0.8
#: Bounds of the time after which a refused caller is asked back, in seconds.
_LEAST_RETRY_S = 0.05
_MOST_RETRY_S = 2
_NO_UPSTREAM_RETRY_S = 0.4


class Admission:
    """Refuses what would only lengthen the queues.

    In overload a queue that makes every answer late serves nobody. A request
    is accepted if it is expected within its target, or if its wait is short;
    otherwise it is refused at once, and the caller is told to come back when
    the excess of the queue has been worked off, at a random moment of the
    same length, so that refused callers do not return together.
    """

    def __init__(self, rng: random.Random) -> None:
        """Spread returns with this generator."""
        self._rng = rng

    def allows(
        self,
        route: Route,
        candidate: Candidate,
        left_s: float,
        lowest_rank: int,
    ) -> bool:
        """Whether a request may join the queue of its best upstream.

        `lowest_rank` is that of the most urgent route to the service.
        """
        unavoidable_s = candidate.expected_s - candidate.wait_s
        if candidate.is_known and candidate.expected_s > left_s:
            return False
        factor = _RANK_FACTOR ** max(route.rank - lowest_rank, 0)
        target_s = route.target_latency_s * _TARGET_FACTOR
        spare_s = target_s - unavoidable_s
        late_s = _LATE_WAIT_PART * route.target_latency_s
        return candidate.wait_s <= factor * max(spare_s, late_s)

    def retry_after_s(
        self,
        route: Route,
        candidate: Candidate | None,
    ) -> float:
        """Seconds after which a refused request is worth another try."""
        if candidate is None:
            return _NO_UPSTREAM_RETRY_S * (1 + self._rng.random())
        excess_s = candidate.wait_s - _LATE_WAIT_PART * route.target_latency_s
        least_s = max(excess_s, _LEAST_RETRY_S)
        return min(least_s * (1 + self._rng.random()), _MOST_RETRY_S)
