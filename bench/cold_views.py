"""Which gateways each gateway of the model of cold starts sees."""

import random
from collections.abc import Mapping

import attrs

from bench.event_clock import EventClock
from bench.limit_views import Separation, Views

__all__ = ('Boot', 'ColdViews')

#: Longest time in seconds until a gateway that has started sees another one.
_MAX_JOIN_S = 1


@attrs.frozen
class Boot:
    """A gateway that starts at `at_s`, after it was down for `down_s`.

    It knows nothing of before, and takes requests before it sees the others.
    """

    gateway: str
    at_s: float
    down_s: float = 0.5


class ColdViews:
    """Views that also follow gateways which go down and start again."""

    def __init__(
        self,
        regions_by_gateway: Mapping[str, str],
        separations: tuple[Separation, ...],
        boots: tuple[Boot, ...],
        clock: EventClock,
        rng: random.Random,
    ) -> None:
        """Draw the times until gateways see each other from `rng`."""
        self._regions = regions_by_gateway
        self._views = Views(regions_by_gateway, separations, clock, rng)
        self._clock = clock
        self._boots: dict[str, list[Boot]] = {}
        for boot in boots:
            self._boots.setdefault(boot.gateway, []).append(boot)
        self._join_s = {
            name: {
                other: rng.random() * _MAX_JOIN_S
                for other in regions_by_gateway
            }
            for name in self._boots
        }

    def names(self, observer: str, region: str) -> list[str]:
        """Return the gateways of a region that a gateway sees."""
        return [
            name
            for name in self._views.names(observer, region)
            if name == observer or self._is_seen(observer, name)
        ]

    def open_names(self, region: str) -> list[str]:
        """Return the gateways that the callers of a region reach."""
        found = [
            name
            for name in self._regions
            if self._regions[name] == region and not self._is_down(name)
        ]
        return found or [
            name for name in self._regions if not self._is_down(name)
        ]

    def _is_seen(self, observer: str, name: str) -> bool:
        if self._is_down(name):
            return False
        booted_at = self._booted_at(observer)
        if booted_at is None:
            return True
        join_s = self._join_s[observer][name]
        return self._clock.now() >= booted_at + join_s

    def _is_down(self, name: str) -> bool:
        now = self._clock.now()
        return any(
            boot.at_s - boot.down_s <= now < boot.at_s
            for boot in self._boots.get(name, ())
        )

    def _booted_at(self, name: str) -> float | None:
        now = self._clock.now()
        times = [
            boot.at_s for boot in self._boots.get(name, ()) if boot.at_s <= now
        ]
        return max(times, default=None)
