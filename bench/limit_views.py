"""Which gateways each gateway of the model sees."""

import random
from collections.abc import Iterator, Mapping

import attrs

from bench.event_clock import EventClock

__all__ = ('Departure', 'Fault', 'Restart', 'Separation', 'Views')

#: Longest time in seconds until a gateway notices that another is gone or back.
_MAX_NOTICE_S = 2


@attrs.frozen
class Separation:
    """Gateways that the others do not reach, and the other way round."""

    members: frozenset[str]
    start_s: float
    end_s: float


@attrs.frozen
class Departure:
    """A gateway that leaves for good."""

    gateway: str
    at_s: float


@attrs.frozen
class Restart:
    """A gateway that loses all that it knows."""

    gateway: str
    at_s: float


Fault = Separation | Departure | Restart

#: Per fault whether the observer is inside, or None while it sees no fault.
_Signature = tuple[bool | None, ...]


class Views:
    """Tells which gateways a gateway sees, and which ones callers reach.

    Each gateway notices a fault after a time of its own, so that the views of
    the gateways differ meanwhile.
    """

    def __init__(
        self,
        regions_by_gateway: Mapping[str, str],
        faults: tuple[Fault, ...],
        clock: EventClock,
        rng: random.Random,
    ) -> None:
        """Draw the times until faults are noticed from `rng`."""
        self._regions = regions_by_gateway
        self._faults = faults
        self._clock = clock
        self._notice_s = {
            name: rng.random() * _MAX_NOTICE_S for name in regions_by_gateway
        }
        self._cached: dict[tuple[str, _Signature], list[str]] = {}

    def names(self, observer: str, region: str) -> list[str]:
        """Return the gateways of a region that a gateway sees."""
        at_s = self._clock.now() - self._notice_s[observer]
        return self._select(region, self._signature(observer, at_s))

    def open_names(self, region: str) -> list[str]:
        """Return the gateways of a region that callers reach."""
        now = self._clock.now()
        return self._select(
            region,
            tuple(
                False if _has_departed(fault, now) else None
                for fault in self._faults
            ),
        )

    def groups(self) -> list[list[str]]:
        """Return the gateways in groups that reach each other."""
        now = self._clock.now()
        found: dict[_Signature, list[str]] = {}
        for name in self._regions:
            found.setdefault(self._signature(name, now), []).append(name)
        return list(found.values())

    def restarts(self) -> Iterator[tuple[str, float]]:
        """Yield the gateways that restart, and when."""
        for fault in self._faults:
            if isinstance(fault, Restart):
                yield fault.gateway, fault.at_s

    def _signature(self, observer: str, at_s: float) -> _Signature:
        return tuple(
            observer in _outside(fault) if _is_active(fault, at_s) else None
            for fault in self._faults
        )

    def _select(self, region: str, signature: _Signature) -> list[str]:
        found = self._cached.get((region, signature))
        if found is None:
            found = [
                name
                for name, place in self._regions.items()
                if region in {'', place} and self._is_seen(name, signature)
            ]
            self._cached[region, signature] = found
        return found

    def _is_seen(self, name: str, signature: _Signature) -> bool:
        return all(
            is_inside is None or is_inside == (name in _outside(fault))
            for fault, is_inside in zip(self._faults, signature, strict=True)
        )


def _outside(fault: Fault) -> frozenset[str]:
    if isinstance(fault, Separation):
        return fault.members
    return frozenset((fault.gateway,))


def _is_active(fault: Fault, at_s: float) -> bool:
    if isinstance(fault, Separation):
        return fault.start_s <= at_s < fault.end_s
    return _has_departed(fault, at_s)


def _has_departed(fault: Fault, at_s: float) -> bool:
    return isinstance(fault, Departure) and at_s >= fault.at_s
