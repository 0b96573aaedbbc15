"""Work times per route, and the relative slowness of each upstream."""

from collections.abc import Collection

import attrs

from nutmegshore.clock import Clock

__all__ = ('LatencyTable', 'RouteLatency', 'UpstreamLatency')

#: Minimum weight of a new sample in the work times of a route. The first
#: samples have equal weights, so that one answer replaces a wrong guess.
_MIN_ROUTE_WEIGHT = 0.08
#: Weight of a new sample in an upstream's slowness.
_SLOWNESS_WEIGHT = 0.25
#: Half-life in seconds of an upstream's slowness without samples, so that a
#: slow upstream is tried again.
_SLOWNESS_HALF_S = 4
#: Slowness up to which an upstream counts as healthy; work times vary this
#: much.
_NORMAL_SLOWNESS = 1.6
_MAX_SLOWNESS = 20
#: Ratio of warm to cold work times that is assumed until they are measured.
_INITIAL_WARM_FRACTION = 0.4
_MIN_EXPECTED_S = 0.001


def _not_below_min(seconds: float) -> float:
    return max(seconds, _MIN_EXPECTED_S)


@attrs.define
class RouteLatency:
    """Seconds that a route's work takes at a service, warm and cold.

    `warm_samples` and `cold_samples` count the measured answers. Until the
    first one a time is a guess, which that answer replaces. Times are never
    below 1 ms.
    """

    warm_s: float = attrs.field(converter=_not_below_min)
    cold_s: float = attrs.field(converter=_not_below_min)
    warm_samples: int = 0
    cold_samples: int = 0

    @property
    def is_known(self) -> bool:
        """Whether any answer was measured."""
        return bool(self.warm_samples or self.cold_samples)

    def expect(self, *, is_warm: bool) -> float:
        """Return the expected seconds of work of a request."""
        return self.warm_s if is_warm else self.cold_s

    def add_sample(self, seconds: float, *, is_warm: bool) -> None:
        """Add the work time of a request that did not wait."""
        if is_warm:
            self.warm_samples += 1
            weight = max(1 / self.warm_samples, _MIN_ROUTE_WEIGHT)
            self.warm_s += weight * (seconds - self.warm_s)
        else:
            self.cold_samples += 1
            weight = max(1 / self.cold_samples, _MIN_ROUTE_WEIGHT)
            self.cold_s += weight * (seconds - self.cold_s)

    def is_likely_warm(self, seconds: float) -> bool:
        """Return whether a time is closer, by ratio, to warm work."""
        return seconds * seconds < self.warm_s * self.cold_s


@attrs.define
class UpstreamLatency:
    """Mean work time per request at an upstream, and its slowness.

    `slowness` is the ratio of actual to expected times. `pending` holds the
    start and the expected time of requests in flight, `answered_at` the time of
    the last answer, so that an upstream that has stopped answering is noticed
    early.
    """

    mean_s: float = 0
    slowness: float = 1
    updated_at: float = 0
    answered_at: float = float('-inf')
    pending: dict[int, tuple[float, float]] = attrs.field(factory=dict)

    def slowness_factor(self, now: float) -> float:
        """Return the factor on work times, 1 for a healthy upstream."""
        halves = (now - self.updated_at) / _SLOWNESS_HALF_S
        decayed = 1 + (self.slowness - 1) * 0.5**halves
        current = max(decayed, self._overdue_ratio(now))
        return current if current > _NORMAL_SLOWNESS else 1

    def _overdue_ratio(self, now: float) -> float:
        """Return the silence since the oldest request over its expected time.

        An upstream that answers others has not stopped, whatever became of the
        oldest one.
        """
        oldest = next(iter(self.pending.values()), None)
        if oldest is None:
            return 0
        started_at, expected_s = oldest
        silent_s = now - max(started_at, self.answered_at)
        return min(silent_s / expected_s, _MAX_SLOWNESS)


class LatencyTable:
    """Work times of routes and upstreams, measured from answers."""

    def __init__(self, clock: Clock) -> None:
        """Start without measurements."""
        self.by_id: dict[str, UpstreamLatency] = {}
        self._clock = clock
        self._by_route: dict[tuple[str, str], RouteLatency] = {}
        self._next_token = 0

    def route(self, route: str, service: str, target_s: float) -> RouteLatency:
        """Return a route's times; `target_s` is the first guess."""
        latency = self._by_route.get((route, service))
        if latency is None:
            latency = self._initial_latency(service, target_s)
            self._by_route[route, service] = latency
        return latency

    def upstream(self, instance: str) -> UpstreamLatency:
        """Return the latency of an upstream, created on first use."""
        latency = self.by_id.get(instance)
        if latency is None:
            latency = UpstreamLatency(updated_at=self._clock.now())
            self.by_id[instance] = latency
        return latency

    def retain(self, routes: Collection[str]) -> None:
        """Drop the times of routes that are no longer configured."""
        self._by_route = {
            key: latency
            for key, latency in self._by_route.items()
            if key[0] in routes
        }

    def begin(self, instance: str, expected_s: float) -> int:
        """Record that a request is sent; returns a token for `end`."""
        self._next_token += 1
        started = (self._clock.now(), max(expected_s, _MIN_EXPECTED_S))
        self.upstream(instance).pending[self._next_token] = started
        return self._next_token

    def end(self, instance: str, token: int) -> None:
        """Record that a request is no longer in flight."""
        self.upstream(instance).pending.pop(token, None)

    def record_answer(self, instance: str) -> None:
        """Record that an upstream has answered any request."""
        self.upstream(instance).answered_at = self._clock.now()

    def add_sample(
        self, instance: str, work_s: float, expected_s: float
    ) -> None:
        """Update an upstream's slowness from an actual and an expected time."""
        latency = self.upstream(instance)
        now = self._clock.now()
        ratio = min(work_s / max(expected_s, _MIN_EXPECTED_S), _MAX_SLOWNESS)
        halves = (now - latency.updated_at) / _SLOWNESS_HALF_S
        decayed = 1 + (latency.slowness - 1) * 0.5**halves
        latency.slowness = decayed + _SLOWNESS_WEIGHT * (ratio - decayed)
        latency.updated_at = now
        latency.mean_s = _smooth(latency.mean_s, work_s)

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self.by_id.pop(instance, None)

    def _initial_latency(self, service: str, target_s: float) -> RouteLatency:
        """Return the best-measured times, or a guess from the target."""
        known = [
            latency
            for (_, known_service), latency in self._by_route.items()
            if known_service == service and latency.is_known
        ]
        if known:
            best = max(known, key=_count_samples)
            return RouteLatency(best.warm_s, best.cold_s)
        return RouteLatency(_INITIAL_WARM_FRACTION * target_s, target_s)


def _count_samples(latency: RouteLatency) -> int:
    return latency.warm_samples + latency.cold_samples


def _smooth(mean_s: float, sample_s: float) -> float:
    if not mean_s:
        return sample_s
    return mean_s + _MIN_ROUTE_WEIGHT * (sample_s - mean_s)
