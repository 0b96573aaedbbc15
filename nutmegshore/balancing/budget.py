"""The retry budget that all gateways share."""

import collections

from nutmegshore.clock import Clock

__all__ = ('FleetRetryBudget',)

#: Fraction of the budget that is used. The rest covers that the gateways'
#: windows are not aligned, and that requests one of them counts may reach the
#: upstream later.
_USED_FRACTION = 0.8


class FleetRetryBudget:
    """Limits what upstreams receive beyond the first attempt of each request.

    A gateway may spend the ratio of its own requests to the service in the
    window, plus its share of the extra retries, which are divided by the
    number of gateways; an infinite number leaves none of them. The sum over all
    gateways stays within the budget without any messages between them.

        if budget.may_retry('orders', members=9):
            budget.record_retry('orders')
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        window_s: float,
        extra: float,
    ) -> None:
        """Set the retry ratio, the window in seconds, and the extra retries."""
        self._clock = clock
        self.resize(ratio, window_s, extra)
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def resize(self, ratio: float, window_s: float, extra: float) -> None:
        """Replace the ratio, the window and the extra retries."""
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._append(self._requests, service)

    def record_retry(self, service: str) -> None:
        """Count an attempt beyond the first of a request."""
        self._append(self._retries, service)

    def remaining(self, service: str, members: float) -> float:
        """Return how many retries this gateway may still send now."""
        requests = self._count(self._requests, service)
        retries = self._count(self._retries, service)
        extra = self._extra / max(members, 1)
        return _USED_FRACTION * (self._ratio * requests + extra) - retries

    def may_retry(self, service: str, members: float) -> bool:
        """Return whether another attempt fits into the budget."""
        return self.remaining(service, members) >= 1

    def _append(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
    ) -> None:
        found = times.setdefault(service, collections.deque())
        found.append(self._clock.now())
        self._expire(found)

    def _count(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
    ) -> int:
        found = times.get(service)
        if found is None:
            return 0
        self._expire(found)
        return len(found)

    def _expire(self, times: collections.deque[float]) -> None:
        oldest = self._clock.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
