"""How well this gateway has reached upstreams lately."""

import collections

from nutmegshore.clock import Clock

__all__ = ('RecentContacts',)

#: Seconds over which contacts are counted.
_COUNTED_S = 2
#: Answers that outweigh one failure.
_ANSWERS_PER_FAILURE = 2
#: Answers that are presumed, for gateways that send little.
_PRESUMED_ANSWERS = 2


class RecentContacts:
    """Tells whether failures are more likely due to the gateway's own path.

    One that is overloaded, or whose link is full, fails to reach upstreams of
    all kinds, while few answers arrive.

        contacts.record_failure()
        contacts.is_path_suspect  # False
    """

    def __init__(self, clock: Clock) -> None:
        """Start without contacts."""
        self._clock = clock
        self._answers: collections.deque[float] = collections.deque()
        self._failures: collections.deque[float] = collections.deque()

    @property
    def is_path_suspect(self) -> bool:
        """Whether too many upstreams failed for the answers that arrived."""
        answers = self._count(self._answers) + _PRESUMED_ANSWERS
        return self._count(self._failures) * _ANSWERS_PER_FAILURE > answers

    def record_answer(self) -> None:
        """Note that an upstream has answered."""
        self._append(self._answers)

    def record_failure(self) -> None:
        """Note that an upstream could not be reached, or broke off."""
        self._append(self._failures)

    def _append(self, times: collections.deque[float]) -> None:
        times.append(self._clock.now())
        self._count(times)

    def _count(self, times: collections.deque[float]) -> int:
        oldest = self._clock.now() - _COUNTED_S
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
