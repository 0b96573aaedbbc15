"""The part of a region's requests that other regions serve."""

import functools
import hashlib

import attrs

from nutmegshore.clock import Clock

__all__ = ('SpillTable',)

#: Rise of the part in a second. `ShiftBound` keeps what really moves within
#: the users' bound, so that this may be as fast as queues build up.
_RISE = 0.4
#: Fall of the part in a second while home has room again. An object that
#: comes back is cold once, so that a short lull is no reason to fetch it.
_FALL = 0.02
#: Pressure above which the part rises and below which it falls: the expected
#: wait at home against the time that the target leaves for waiting.
_HIGH_PRESSURE = 0.6
_LOW_PRESSURE = 0.25
_PRESSURE_WEIGHT = 0.1
_MAX_STEP_S = 1
_KEPT_PLACES = 16_384
_PLACE_BYTES = 4
_PLACES = 2 ** (8 * _PLACE_BYTES)


@attrs.define
class _Spill:
    """State per service: the part, its rounding, and the pressure at home."""

    part: float = 0
    owed: float = 0
    pressure: float = 0
    at: float = 0


class SpillTable:
    """Wants a part of a service's requests to go to other regions.

    The part rises while the home region's queues are long, and falls slowly
    while they are short, or fast where the other regions have no room.
    Objects go elsewhere as a whole, in an order that every gateway of the
    region has, so that only one of the two sides has to know an object.
    Requests without an object are picked at even distances rather than at
    random.

        spills.record('orders', pressure=0.8, has_room=True)
        if spills.takes('orders', key):
            ...
    """

    def __init__(self, clock: Clock) -> None:
        """Start with everything at home."""
        self._clock = clock
        self._by_service: dict[str, _Spill] = {}

    def part(self, service: str) -> float:
        """Part of the requests that goes elsewhere, from 0 to 1."""
        found = self._by_service.get(service)
        return found.part if found else 0

    def record(self, service: str, pressure: float, *, has_room: bool) -> None:
        """Take the pressure that a request found at home.

        Without room elsewhere the part falls, whatever the pressure is.
        """
        spill = self._spill(service)
        now = self._clock.now()
        elapsed = min(now - spill.at, _MAX_STEP_S)
        spill.at = now
        spill.pressure += _PRESSURE_WEIGHT * (pressure - spill.pressure)
        if not has_room:
            spill.part = max(spill.part - _RISE * elapsed, 0)
        elif spill.pressure < _LOW_PRESSURE:
            spill.part = max(spill.part - _FALL * elapsed, 0)
        elif spill.pressure > _HIGH_PRESSURE:
            spill.part = min(spill.part + _RISE * elapsed, 1)

    def takes(self, service: str, key: str) -> bool:
        """Whether a request is one of those that go elsewhere."""
        spill = self._spill(service)
        if key:
            return _place(service, key) < spill.part
        spill.owed += spill.part
        if spill.owed < 1:
            return False
        spill.owed -= 1
        return True

    def _spill(self, service: str) -> _Spill:
        found = self._by_service.get(service)
        if found is None:
            found = _Spill(at=self._clock.now())
            self._by_service[service] = found
        return found


@functools.lru_cache(maxsize=_KEPT_PLACES)
def _place(service: str, key: str) -> float:
    """Place of an object between 0 and 1, the same at every gateway."""
    digest = hashlib.blake2b(
        f'{service} {key}'.encode(),
        digest_size=_PLACE_BYTES,
    )
    return int.from_bytes(digest.digest(), 'big') / _PLACES
