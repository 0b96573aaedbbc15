"""Requests that a gateway has just sent, by upstream."""

import collections

from nutmegshore.clock import Clock

__all__ = ('RecentSends',)

#: Seconds over which sent requests are counted, and the most that are.
_COUNTED_S = 1
_MAX_COUNTED = 32


class RecentSends:
    """Counts the requests to each upstream in the last second, up to 32.

    sends.record('u1')
    sends.count('u1')  # 1
    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._times: dict[str, collections.deque[float]] = {}

    def record(self, instance: str) -> None:
        """Note that a request is sent to an upstream."""
        times = self._times.get(instance)
        if times is None:
            times = collections.deque(maxlen=_MAX_COUNTED)
            self._times[instance] = times
        times.append(self._clock.now())

    def count(self, instance: str) -> int:
        """Return the requests sent to an upstream in the last second."""
        since = self._clock.now() - _COUNTED_S
        return sum(at > since for at in self._times.get(instance, ()))

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self._times.pop(instance, None)
