"""Spillover: the fraction of a region's requests that other regions serve."""

import functools
import hashlib
from collections.abc import Mapping

import attrs

from nutmegshore.balancing.service_traffic import ServiceTraffic, TrafficWindow
from nutmegshore.clock import Clock

__all__ = ('SpilloverTable',)

#: Rise of the fraction per second. `ShiftBound` keeps what really moves within
#: the configured bound, so this may be as fast as queues build up.
_RISE_PER_S = 0.4
#: Fall of the fraction per second while home has capacity again. An object that
#: returns is cold once, so a short lull is no reason to move it back.
_FALL_PER_S = 0.02
#: Wait ratios above which the fraction rises and below which it falls. The wait
#: ratio is the expected wait at home over the time that the target leaves for
#: waiting.
_HIGH_WAIT_RATIO = 0.6
_LOW_WAIT_RATIO = 0.25
#: Wait ratio of a region that refuses requests, and the highest one of a
#: request in the region's mean: a few cold objects say little of the others.
_SHORT_WAIT_RATIO = 1
#: Fraction of a region's requests that its upstreams may refuse before more
#: requests run elsewhere.
_MAX_REFUSED_FRACTION = 0.1
_WAIT_RATIO_WEIGHT = 0.1
#: Fraction of a region's requests that have to find capacity elsewhere.
_MIN_CAPACITY_FRACTION = 0.5
#: Part of the difference to the region's mean fraction that a gateway makes up
#: for with each sum, so that all gateways move the same objects.
_CONVERGENCE = 0.2
#: Seconds for which the traffic of the region is valid.
_REGION_MAX_AGE_S = 1.5
_MAX_STEP_S = 1
_MAX_CACHED_POSITIONS = 16_384
_POSITION_BYTES = 4
_POSITIONS = 2 ** (8 * _POSITION_BYTES)


@attrs.define
class _Spillover:
    """State per service: the fraction, its rounding, and the wait ratio."""

    fraction: float = 0
    accumulated: float = 0
    wait_ratio: float = 0
    updated_at: float = 0


class SpilloverTable:
    """Decides which requests of a service should run in other regions.

    The fraction of moved requests rises while the home region's queues are
    long. It falls slowly while they are short, and fast while the other regions
    have no capacity. Objects move as a whole, in an order that is the same at
    every gateway of the region, so that only one of the two regions has to be
    warm for an object. Requests without an object are picked at even intervals
    rather than at random.

        spillover.record('orders', wait_ratio=0.8, has_capacity=True)
        if spillover.should_move('orders', key):
            ...

    A gateway of a large fleet sees too few requests for that. It receives the
    traffic of its region instead, so that all gateways of the region compute
    the same fraction. It changes no faster than the bound on moves allows: if
    it ran ahead, chance would decide which objects move, and they would be cold
    in both regions.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with all requests at home."""
        self.traffic = TrafficWindow(clock)
        self._clock = clock
        self._by_service: dict[str, _Spillover] = {}
        self._region_at = float('-inf')

    @property
    def is_active(self) -> bool:
        """Whether any service moves requests elsewhere."""
        return any(one.fraction for one in self._by_service.values())

    def fraction(self, service: str) -> float:
        """Return the fraction of requests that run elsewhere, from 0 to 1."""
        found = self._by_service.get(service)
        return found.fraction if found else 0

    def fractions(self) -> dict[str, float]:
        """Return the fraction of each service that had requests."""
        return {
            service: spillover.fraction
            for service, spillover in self._by_service.items()
        }

    def record(
        self,
        service: str,
        wait_ratio: float,
        *,
        has_capacity: bool,
        is_refused: bool = False,
    ) -> None:
        """Record the wait ratio of a request at home.

        Without capacity elsewhere the fraction falls, whatever the wait ratio.
        `is_refused` says whether home does not admit the request.
        """
        traffic = self.traffic.get(service)
        traffic.asked += 1
        traffic.wait_ratio += min(wait_ratio, _SHORT_WAIT_RATIO)
        traffic.refused += is_refused
        traffic.with_capacity += has_capacity
        if self._clock.now() - self._region_at <= _REGION_MAX_AGE_S:
            return
        spillover = self._get(service)
        spillover.wait_ratio += _WAIT_RATIO_WEIGHT * (
            wait_ratio - spillover.wait_ratio
        )
        self._update(spillover, has_capacity=has_capacity)

    def report(self) -> dict[str, ServiceTraffic]:
        """Return the traffic of this gateway with its current fractions."""
        by_service = self.traffic.by_service()
        for service, traffic in by_service.items():
            traffic.spilled = traffic.asked * self.fraction(service)
        return by_service

    def handle_region(
        self, by_service: Mapping[str, ServiceTraffic], max_change: float
    ) -> None:
        """Update the fractions from the traffic of the whole region.

        `max_change` is the fraction of the region's requests that may move in
        one second. Sums of an older version name no service and count as none.
        """
        if by_service:
            self._region_at = self._clock.now()
        sent = sum(traffic.sent for traffic in by_service.values())
        rising = sum(
            traffic.sent
            for traffic in by_service.values()
            if _is_short(traffic)
        )
        for service, traffic in by_service.items():
            if traffic.asked:
                share = max(rising, traffic.sent, 1) / max(sent, 1)
                self._follow_region(service, traffic, max_change / share)

    def should_move(self, service: str, key: str) -> bool:
        """Return whether a request should run elsewhere."""
        spillover = self._get(service)
        if key:
            return _position(service, key) < spillover.fraction
        spillover.accumulated += spillover.fraction
        if spillover.accumulated < 1:
            return False
        spillover.accumulated -= 1
        return True

    def _follow_region(
        self, service: str, traffic: ServiceTraffic, max_change: float
    ) -> None:
        spillover = self._get(service)
        spillover.wait_ratio = traffic.mean_wait_ratio
        if _is_short(traffic):
            spillover.wait_ratio = max(spillover.wait_ratio, _SHORT_WAIT_RATIO)
        spillover.fraction += _CONVERGENCE * (
            traffic.spill_fraction - spillover.fraction
        )
        has_capacity = traffic.capacity_fraction >= _MIN_CAPACITY_FRACTION
        self._update(
            spillover, has_capacity=has_capacity, max_change=max_change
        )

    def _update(
        self,
        spillover: _Spillover,
        *,
        has_capacity: bool,
        max_change: float = _RISE_PER_S,
    ) -> None:
        """Raise or lower a fraction for the time since its last update."""
        now = self._clock.now()
        elapsed = min(now - spillover.updated_at, _MAX_STEP_S)
        spillover.updated_at = now
        change_per_s = _change_per_s(spillover.wait_ratio, has_capacity)
        change_per_s = min(max(change_per_s, -max_change), max_change)
        changed = spillover.fraction + change_per_s * elapsed
        spillover.fraction = min(max(changed, 0), 1)

    def _get(self, service: str) -> _Spillover:
        found = self._by_service.get(service)
        if found is None:
            found = _Spillover(updated_at=self._clock.now())
            self._by_service[service] = found
        return found


def _is_short(traffic: ServiceTraffic) -> bool:
    """Return whether a region has too little capacity for a service.

    Queues at single upstreams refuse requests before the mean queue is long.
    """
    return (
        traffic.refused_fraction > _MAX_REFUSED_FRACTION
        or traffic.mean_wait_ratio > _HIGH_WAIT_RATIO
    )


def _change_per_s(wait_ratio: float, has_capacity: bool) -> float:
    """Return how fast a fraction should change."""
    if not has_capacity:
        return -_RISE_PER_S
    if wait_ratio < _LOW_WAIT_RATIO:
        return -_FALL_PER_S
    return _RISE_PER_S if wait_ratio > _HIGH_WAIT_RATIO else 0


@functools.lru_cache(maxsize=_MAX_CACHED_POSITIONS)
def _position(service: str, key: str) -> float:
    """Return an object's position in [0, 1), the same at every gateway."""
    digest = hashlib.blake2b(
        f'{service} {key}'.encode(),
        digest_size=_POSITION_BYTES,
    )
    return int.from_bytes(digest.digest(), 'big') / _POSITIONS
