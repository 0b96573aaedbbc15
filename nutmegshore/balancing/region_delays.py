"""Network round trips to the upstreams of other regions."""

import collections

from nutmegshore.balancing.sliding_least import SlidingLeast
from nutmegshore.clock import Clock

__all__ = ('RegionDelays',)

#: Round trip in seconds to a region to which too few were measured.
_UNMEASURED_S = 0.06
#: Connections after which the least round trip is believed to be longer.
_MIN_CONNECTIONS = 3
#: Seconds after which the least round trip is looked for anew, since paths
#: change.
_WINDOW_S = 60


class RegionDelays:
    """Measures the round trip to each other region; at home it counts as 0.

    The time in which a connection opens is a round trip. It may have waited, so
    the least of several counts. An answer that comes sooner than the round trip
    shows that this is shorter.

        delays.record_connection('east', 0.025)
        delays.record_answer('east', 0.31)  # 0.285
        delays.round_trip_s('east')  # 0.025
    """

    def __init__(self, clock: Clock, home: str) -> None:
        """Start without measurements in the region `home`."""
        self._clock = clock
        self._home = home
        self._by_region: dict[str, SlidingLeast] = {}
        self._connections: collections.Counter[str] = collections.Counter()

    def round_trip_s(self, region: str) -> float:
        """Return the seconds of a round trip to a region."""
        if region == self._home:
            return 0
        measured = self._by_region.get(region)
        if measured is None:
            return _UNMEASURED_S
        if self._connections[region] < _MIN_CONNECTIONS:
            return min(measured.value, _UNMEASURED_S)
        return measured.value

    def record_connection(self, region: str, seconds: float) -> None:
        """Record the time in which a connection to a region opened."""
        if region == self._home or seconds <= 0:
            return
        self._connections[region] += 1
        self._add(region, seconds)

    def record_answer(self, region: str, seconds: float) -> float:
        """Record the time until an answer of a region was whole.

        Returns the seconds beyond the round trip, or 0 if they are not known
        because the answer came sooner than that.
        """
        beyond_s = seconds - self.round_trip_s(region)
        if beyond_s < 0:
            self._add(region, seconds)
        return max(beyond_s, 0)

    def _add(self, region: str, seconds: float) -> None:
        now = self._clock.now()
        measured = self._by_region.get(region)
        if measured is None:
            self._by_region[region] = SlidingLeast(_WINDOW_S, now, seconds)
        else:
            measured.add(seconds, now)
