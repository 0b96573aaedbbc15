"""A clock for models: time moves from one scheduled event to the next."""

import heapq
import itertools
from collections.abc import Callable

from nutmegshore.clock import Clock

__all__ = ('EventClock', 'PlayEvent')

PlayEvent = Callable[[], None]
#: When an event is played, its number, and what it does.
_Event = tuple[float, int, PlayEvent]


class EventClock(Clock):
    """A clock that stands at the time of the event that is played."""

    def __init__(self) -> None:
        """Start at 0 without events."""
        self._seconds = float(0)
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Time of the present event."""
        return self._seconds

    def wall(self) -> float:
        """The same; nothing here compares clocks."""
        return self._seconds

    async def sleep(self, seconds: float) -> None:
        """Not used: everything here is an event."""
        raise NotImplementedError

    def after(self, seconds: float, play_event: PlayEvent) -> None:
        """Play an event some seconds from now."""
        at = self._seconds + seconds
        heapq.heappush(self._events, (at, next(self._numbers), play_event))

    def run(self) -> None:
        """Play events until none is left."""
        while self._events:
            event = heapq.heappop(self._events)
            self._seconds = event[0]
            event[2]()
