"""Budget for retries and hedges."""

import collections

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters

__all__ = ('RetryBudget',)

#: Retries and hedges allowed per request.
_RETRY_RATIO = 0.1
#: Unused budget that is saved for a burst, in retries.
_MAX_CREDIT = 20
_MAX_RETRIES = 2
#: Time over which the counts of the region are compared, in seconds.
_REGION_WINDOW_S = 10


@attrs.define
class _PeerCounts:
    received_at: float
    requests: int
    retries: int
    base_requests: int
    base_retries: int


class RetryBudget:
    """Bounds retries to a tenth of the requests, here and in the region.

    Each request earns a tenth of a retry. There is no minimum budget, so all
    entries together send at most 1.1 attempts per request.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        """Start without credit."""
        self.requests = 0
        self.retries = 0
        self._clock = clock
        self._counters = counters
        self._credit = float(0)
        self._peers: dict[str, _PeerCounts] = {}
        self._recent: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )

    def record_request(self) -> None:
        """Count a caller's request, which earns credit."""
        self.requests += 1
        self._credit = min(self._credit + _RETRY_RATIO, _MAX_CREDIT)

    def record_peer(self, sender: str, requests: int, retries: int) -> None:
        """Record the counts of a peer since its start.

        A count of requests below the last one means that the peer restarted.
        """
        now = self._clock.now()
        found = self._peers.get(sender)
        is_restarted = found is not None and requests < found.requests
        if found is None or is_restarted:
            self._peers[sender] = _PeerCounts(
                now, requests, retries, requests, retries
            )
            return
        found.received_at = now
        found.requests = requests
        found.retries = retries

    def roll(self) -> None:
        """Advance the window of the region; called in each reporting round."""
        now = self._clock.now()
        self._recent.append((now, self.requests, self.retries))
        if now - self._recent[0][0] <= _REGION_WINDOW_S:
            return
        self._recent.clear()
        self._recent.append((now, self.requests, self.retries))
        for sender, found in tuple(self._peers.items()):
            found.base_requests = found.requests
            found.base_retries = found.retries
            if now - found.received_at > _REGION_WINDOW_S:
                self._peers.pop(sender)

    def try_acquire(self, reason: str, tried: int, deadline: float) -> bool:
        """Acquire the budget for one more attempt; counts refusals by reason.

        `tried` is the number of earlier attempts, `deadline` the deadline of
        the request.
        """
        refusal = self._refusal(tried, deadline)
        if refusal:
            self._counters.add('retries_refused', reason=refusal)
            return False
        self._credit -= 1
        self.retries += 1
        self._counters.add('retries_sent', reason=reason)
        return True

    def _refusal(self, tried: int, deadline: float) -> str:
        if tried > _MAX_RETRIES:
            return 'attempts'
        if self._clock.now() >= deadline:
            return 'deadline'
        if self._credit < 1:
            return 'process_budget'
        return '' if self._has_region_share() else 'region_budget'

    def _has_region_share(self) -> bool:
        requests, retries = self.requests, self.retries
        if self._recent:
            requests -= self._recent[0][1]
            retries -= self._recent[0][2]
        for found in self._peers.values():
            requests += found.requests - found.base_requests
            retries += found.retries - found.base_retries
        # A new window has too few requests for a ratio; until then the credit
        # of each process bounds the retries.
        return retries <= max(requests * _RETRY_RATIO, _MAX_CREDIT)
