"""What cold upstreams get in the model of cold starts, and what is allowed."""

import collections
from collections.abc import Mapping

import attrs

__all__ = ('ColdArrival', 'ColdResult')

#: Seconds of the sliding window in which arrivals are counted.
_WINDOW_S = 1


@attrs.frozen
class ColdArrival:
    """A request that reached an upstream while it was cold.

    `is_known` says whether its gateway knew that the upstream was cold.
    """

    at_s: float
    gateway: str
    is_known: bool


@attrs.frozen
class ColdResult:
    """Arrivals by start of an upstream, and the number of requests served."""

    arrivals: Mapping[str, list[ColdArrival]]
    served: collections.Counter

    def count(self) -> int:
        """Return the requests that reached cold upstreams."""
        return sum(len(found) for found in self.arrivals.values())

    def worst(self) -> int:
        """Return the most requests of one second at a cold upstream."""
        return max(
            (_worst(found) for found in self.arrivals.values()), default=0
        )

    def used_fraction(self, cold_s: float, rate: float) -> float:
        """Return the requests as a fraction of what the rate allows."""
        return self.count() / (len(self.arrivals) * cold_s * rate)

    def senders(self) -> int:
        """Return the most gateways that sent to one cold upstream."""
        return max(
            (
                len({one.gateway for one in found})
                for found in self.arrivals.values()
            ),
            default=0,
        )

    def least(self) -> int:
        """Return the fewest requests that a cold upstream got."""
        return min((len(found) for found in self.arrivals.values()), default=0)


def _worst(arrivals: list[ColdArrival]) -> int:
    worst = 0
    window: collections.deque[float] = collections.deque()
    for arrival in arrivals:
        window.append(arrival.at_s)
        while window[0] <= arrival.at_s - _WINDOW_S:
            window.popleft()
        worst = max(worst, len(window))
    return worst
