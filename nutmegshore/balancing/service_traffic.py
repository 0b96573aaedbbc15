"""Sliding counts of a gateway's or a region's requests to each service."""

from collections.abc import Iterable, Mapping

import attrs

from nutmegshore.balancing.sliding_counts import SlidingCounts
from nutmegshore.clock import Clock

__all__ = ('ServiceTraffic', 'TrafficWindow', 'sum_traffic')


@attrs.define
class ServiceTraffic:
    """Requests to one service in the last 2 s.

    `home` and `away` count those sent within the region and elsewhere. `asked`
    counts those that had a candidate both at home and elsewhere, sent or not;
    `wait_ratio` sums what they would have waited at home, as a fraction of the
    time that they had for it, and `spilled` the fraction that should run
    elsewhere. `refused` counts those that home did not admit, `with_capacity`
    those that another region had capacity for.
    """

    home: int = 0
    away: int = 0
    asked: int = 0
    wait_ratio: float = 0
    spilled: float = 0
    refused: int = 0
    with_capacity: int = 0

    def add(self, other: 'ServiceTraffic') -> None:
        """Add the counts of another window."""
        self.home += other.home
        self.away += other.away
        self.asked += other.asked
        self.wait_ratio += other.wait_ratio
        self.spilled += other.spilled
        self.refused += other.refused
        self.with_capacity += other.with_capacity

    @property
    def sent(self) -> int:
        """Requests that were sent to any region."""
        return self.home + self.away

    @property
    def spill_fraction(self) -> float:
        """Mean fraction of the requests that should run elsewhere."""
        return self.spilled / max(self.asked, 1)

    @property
    def mean_wait_ratio(self) -> float:
        """Mean wait at home over the time that requests had for it."""
        return self.wait_ratio / max(self.asked, 1)

    @property
    def refused_fraction(self) -> float:
        """Fraction of the requests that home did not admit."""
        return self.refused / max(self.asked, 1)

    @property
    def capacity_fraction(self) -> float:
        """Fraction of the requests that another region had capacity for."""
        return self.with_capacity / max(self.asked, 1)


def sum_traffic(
    windows: Iterable[Mapping[str, ServiceTraffic]],
) -> dict[str, ServiceTraffic]:
    """Sum the traffic of several windows by service."""
    total: dict[str, ServiceTraffic] = {}
    for by_service in windows:
        for service, traffic in by_service.items():
            total.setdefault(service, ServiceTraffic()).add(traffic)
    return total


class TrafficWindow:
    """Counts the requests of the last 2 s by service.

    window.get('orders').home += 1
    window.by_service()['orders'].sent
    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._counts: SlidingCounts[dict[str, ServiceTraffic]] = SlidingCounts(
            clock, dict
        )

    def get(self, service: str) -> ServiceTraffic:
        """Return the counts to which a request of now is added."""
        return self._counts.current().setdefault(service, ServiceTraffic())

    def by_service(self) -> dict[str, ServiceTraffic]:
        """Return the sums of the window for services with requests."""
        return sum_traffic(self._counts.window())
