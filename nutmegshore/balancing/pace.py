"""How long work takes: per route, and per upstream against that."""

from collections.abc import Collection

import attrs

from nutmegshore.clock import Clock

__all__ = ('PaceTable', 'RouteTimes', 'UpstreamPace')

#: Least weight of a new sample in the times of a route; the first samples
#: count equally, so that a wrong guess is gone after one answer.
_ROUTE_WEIGHT = 0.08
#: Weight of a new sample in an upstream's slowness.
_SLOWNESS_WEIGHT = 0.25
#: Seconds in which an upstream's slowness decays by half without samples, so
#: that it is tried again.
_SLOWNESS_HALF_S = 4
#: An upstream below this factor counts as sound; work varies that much.
_SOUND_FACTOR = 1.6
_MAX_SLOWNESS = 20
#: Work for an object that the upstream has handled, against other work,
#: until it was measured.
_WARM_GUESS = 0.4
_LEAST_S = 0.001


@attrs.define
class RouteTimes:
    """Seconds that a route's work takes at a service, warm and cold.

    `warm_samples` and `cold_samples` count the answers that were measured;
    until the first one a time is a guess, which that answer replaces.
    """

    warm_s: float
    cold_s: float
    warm_samples: int = 0
    cold_samples: int = 0

    @property
    def is_known(self) -> bool:
        """Whether any answer was measured."""
        return bool(self.warm_samples or self.cold_samples)

    def expect(self, *, is_warm: bool) -> float:
        """Seconds of work that a request will need."""
        return self.warm_s if is_warm else self.cold_s

    def learn(self, seconds: float, *, is_warm: bool) -> None:
        """Take a sample of a request that did not wait."""
        if is_warm:
            self.warm_samples += 1
            weight = max(1 / self.warm_samples, _ROUTE_WEIGHT)
            self.warm_s += weight * (seconds - self.warm_s)
        else:
            self.cold_samples += 1
            weight = max(1 / self.cold_samples, _ROUTE_WEIGHT)
            self.cold_s += weight * (seconds - self.cold_s)

    def seems_warm(self, seconds: float) -> bool:
        """Whether a time is nearer to that of warm work, by its ratio."""
        return seconds * seconds < self.warm_s * self.cold_s


@attrs.define
class UpstreamPace:
    """Seconds of work per request at an upstream, and its slowness.

    `slowness` is the time that requests took there against what was expected.
    `pending` holds the start and the expected time of requests in flight, so
    that an upstream that has stopped answering is seen before a time-out.
    """

    mean_s: float = 0
    slowness: float = 1
    updated_at: float = 0
    pending: dict[int, tuple[float, float]] = attrs.field(factory=dict)

    def factor(self, now: float) -> float:
        """Factor on expected work, 1 for a sound upstream."""
        halves = (now - self.updated_at) / _SLOWNESS_HALF_S
        decayed = 1 + (self.slowness - 1) * 0.5**halves
        seen = max(decayed, self._overdue(now))
        return seen if seen > _SOUND_FACTOR else 1

    def _overdue(self, now: float) -> float:
        """Age of the oldest request against its expected time."""
        oldest = next(iter(self.pending.values()), None)
        if oldest is None:
            return 0
        started_at, expected_s = oldest
        return min((now - started_at) / expected_s, _MAX_SLOWNESS)


class PaceTable:
    """Times of routes and upstreams, learnt from answers."""

    def __init__(self, clock: Clock) -> None:
        """Know nothing yet."""
        self.by_id: dict[str, UpstreamPace] = {}
        self._clock = clock
        self._by_route: dict[tuple[str, str], RouteTimes] = {}
        self._next_token = 0

    def route(self, route: str, service: str, target_s: float) -> RouteTimes:
        """Times of a route at a service; the target is the first guess."""
        times = self._by_route.get((route, service))
        if times is None:
            times = self._guess(service, target_s)
            self._by_route[route, service] = times
        return times

    def upstream(self, instance: str) -> UpstreamPace:
        """Pace of an upstream, created on first use."""
        pace = self.by_id.get(instance)
        if pace is None:
            pace = UpstreamPace(updated_at=self._clock.now())
            self.by_id[instance] = pace
        return pace

    def retain(self, routes: Collection[str]) -> None:
        """Drop the times of routes that are no longer configured."""
        self._by_route = {
            key: times
            for key, times in self._by_route.items()
            if key[0] in routes
        }

    def begin(self, instance: str, expected_s: float) -> int:
        """Note a request that is sent; returns a token for its end."""
        self._next_token += 1
        started = (self._clock.now(), max(expected_s, _LEAST_S))
        self.upstream(instance).pending[self._next_token] = started
        return self._next_token

    def end(self, instance: str, token: int) -> None:
        """Note that a request is no longer in flight."""
        self.upstream(instance).pending.pop(token, None)

    def learn(self, instance: str, work_s: float, expected_s: float) -> None:
        """Compare the time of an answered request with what was expected."""
        pace = self.upstream(instance)
        now = self._clock.now()
        ratio = min(work_s / max(expected_s, _LEAST_S), _MAX_SLOWNESS)
        halves = (now - pace.updated_at) / _SLOWNESS_HALF_S
        decayed = 1 + (pace.slowness - 1) * 0.5**halves
        pace.slowness = decayed + _SLOWNESS_WEIGHT * (ratio - decayed)
        pace.updated_at = now
        pace.mean_s = _smooth(pace.mean_s, work_s)

    def forget(self, instance: str) -> None:
        """Drop an upstream that is gone."""
        self.by_id.pop(instance, None)

    def _guess(self, service: str, target_s: float) -> RouteTimes:
        """Times of the best known route at the service, or of the target."""
        known = [
            times
            for (_, known_service), times in self._by_route.items()
            if known_service == service and times.is_known
        ]
        if known:
            best = max(known, key=_count_samples)
            return RouteTimes(best.warm_s, best.cold_s)
        return RouteTimes(_WARM_GUESS * target_s, target_s)


def _count_samples(times: RouteTimes) -> int:
    return times.warm_samples + times.cold_samples


def _smooth(before_s: float, sample_s: float) -> float:
    if not before_s:
        return sample_s
    return before_s + _ROUTE_WEIGHT * (sample_s - before_s)
