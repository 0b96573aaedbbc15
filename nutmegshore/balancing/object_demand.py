"""Demand for single objects, estimated from a gateway's own requests."""

import collections
import math

import attrs

from nutmegshore.clock import Clock

__all__ = ('ObjectDemand',)

#: Time constant in seconds of the decaying counts.
_DECAY_S = 5
#: Objects that are counted; the one that was asked for longest ago is dropped.
_MAX_OBJECTS = 4096

#: Service and key of an object.
_Object = tuple[str, str]


@attrs.define
class _DecayingCount:
    """A count in which a request weighs less the older it is."""

    weight: float
    updated_at: float

    def at(self, now: float) -> float:
        return self.weight * math.exp((self.updated_at - now) / _DECAY_S)


class ObjectDemand:
    """Estimates how many slots the requests for an object use in a region.

    Callers choose a gateway at random, so that each of `gateways` gets an equal
    part of an object's requests.

        demand.record('orders', '7')
        demand.busy_slots('orders', '7', work_s=0.3, gateways=29)
    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._in_flight: collections.Counter[_Object] = collections.Counter()
        self._counts: collections.OrderedDict[_Object, _DecayingCount] = (
            collections.OrderedDict()
        )

    def record(self, service: str, key: str) -> None:
        """Count a request of this gateway."""
        now = self._clock.now()
        none = _DecayingCount(0, now)
        found = self._counts.setdefault((service, key), none)
        found.weight = found.at(now) + 1
        found.updated_at = now
        self._counts.move_to_end((service, key))
        if len(self._counts) > _MAX_OBJECTS:
            self._counts.popitem(last=False)

    def begin(self, service: str, key: str) -> None:
        """Count a request that is sent to an upstream."""
        self._in_flight[service, key] += 1

    def end(self, service: str, key: str) -> None:
        """Count a request that is no longer at an upstream."""
        self._in_flight[service, key] -= 1
        if not self._in_flight[service, key]:
            self._in_flight.pop((service, key))

    def busy_slots(
        self, service: str, key: str, work_s: float, gateways: int
    ) -> float:
        """Return the slots that the object's requests use in the region.

        They use at least those of this gateway's own requests, whose work may
        take longer than `work_s`.
        """
        found = self._counts.get((service, key))
        weight = found.at(self._clock.now()) if found else 0
        expected = weight * gateways / _DECAY_S * work_s
        return max(expected, self._in_flight[service, key])
