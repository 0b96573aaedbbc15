"""Budget of retries and hedges."""

import collections

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters

__all__ = ('RetryBudget',)

#: Retries and hedges per request.
_SHARE = 0.1
#: Unused budget that is kept for a burst, in retries.
_MAX_CREDIT = 20
_MAX_RETRIES = 2
#: Peers' counts are compared over this time.
_REGION_WINDOW_S = 10


@attrs.define
class _PeerCounts:
    received_at: float
    requests: int
    retries: int
    base_requests: int
    base_retries: int


class RetryBudget:
    """Permits retries up to a tenth of the requests, and of the region's.

    Each request earns a tenth of a retry. There is no floor, so over all
    entries together no more than 1.1 attempts are sent per request.
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
        self._credit = min(self._credit + _SHARE, _MAX_CREDIT)

    def record_peer(self, sender: str, requests: int, retries: int) -> None:
        """Take a peer's counts since its start."""
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
        """Move the start of the window forward; called with each message."""
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
        """Take the budget for one attempt more; counts why it is refused.

        `tried` is the number of attempts before, `deadline` the request's.
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
        # A window that has just begun has too few requests for a share; the
        # process's own credit bounds it.
        return retries <= max(requests * _SHARE, _MAX_CREDIT)
