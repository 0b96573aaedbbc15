"""The part of a region's requests that other regions serve."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('SpillTable',)

#: Seconds of the windows in which the moved part is bounded.
_WINDOW_S = 2
#: Part of the bound that the controller uses up; the rest is for requests of
#: several services whose parts change together, and for chance.
_USED_PART = 0.5
#: Pressure above which the part rises and below which it falls: the expected
#: wait at home against the time that the target leaves for waiting.
_HIGH_PRESSURE = 0.6
_LOW_PRESSURE = 0.25
_PRESSURE_WEIGHT = 0.1
_MAX_STEP_S = 1


@attrs.define
class _Spill:
    """State per service: the part, its rounding, and the pressure at home."""

    part: float = 0
    owed: float = 0
    pressure: float = 0
    at: float = 0


class SpillTable:
    """Moves a service's requests to other regions in bounded steps.

    The part that goes elsewhere rises while the home region's queues are
    long, and falls while they are short, by at most a fixed slope, so that no
    window of 2 s differs from the one before by more than the bound. Requests
    are picked at even distances rather than at random.

        spills.note('orders', pressure=0.8)
        if spills.takes_next('orders'):
            ...
    """

    def __init__(self, clock: Clock, max_shift: float) -> None:
        """Bound the change of the part between two windows."""
        self._clock = clock
        self._by_service: dict[str, _Spill] = {}
        self.limit(max_shift)

    def limit(self, max_shift: float) -> None:
        """Replace the bound on the change of the part between windows."""
        self._slope = max_shift * _USED_PART / _WINDOW_S

    def part(self, service: str) -> float:
        """Part of the requests that goes elsewhere, from 0 to 1."""
        found = self._by_service.get(service)
        return found.part if found else 0

    def note(self, service: str, pressure: float, *, has_room: bool) -> None:
        """Take the pressure that a request found at home.

        Without room elsewhere the part falls, whatever the pressure is.
        """
        spill = self._spill(service)
        now = self._clock.now()
        elapsed = min(now - spill.at, _MAX_STEP_S)
        spill.at = now
        spill.pressure += _PRESSURE_WEIGHT * (pressure - spill.pressure)
        step = self._slope * elapsed
        if not has_room or spill.pressure < _LOW_PRESSURE:
            spill.part = max(spill.part - step, 0)
        elif spill.pressure > _HIGH_PRESSURE:
            spill.part = min(spill.part + step, 1)

    def takes_next(self, service: str) -> bool:
        """Whether this request is one of those that go elsewhere."""
        spill = self._spill(service)
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
