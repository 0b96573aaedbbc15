"""Slow start of upstreams and of regions that receive moved load."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('SlowStart',)

#: Share of the slots that a new upstream starts with.
_FIRST_SHARE = 0.25
#: Served requests for each further slot.
_SERVED_PER_SLOT = 4
#: After this time without a request an upstream counts as cold again.
_IDLE_S = 300


@attrs.define
class _Start:
    served: int
    last_used_at: float


class SlowStart:
    """Bound on the slots in use, from a quarter up with served requests.

    The subject is the name of an upstream, or a service and region that load
    is moved to. A new, restarted or long idle subject starts again.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with every subject unknown, which counts as new."""
        self._clock = clock
        self._by_subject: dict[object, _Start] = {}

    def limit(self, subject: object, slots: float) -> float:
        """Slots that may be in use now, at least one."""
        found = self._by_subject.get(subject)
        first = max(slots * _FIRST_SHARE, 1)
        if found is None or self._is_idle(found):
            return min(first, slots)
        return min(first + found.served // _SERVED_PER_SLOT, slots)

    def record_served(self, subject: object) -> None:
        """Count a served request."""
        now = self._clock.now()
        found = self._by_subject.get(subject)
        if found is None or self._is_idle(found):
            self._by_subject[subject] = _Start(1, now)
            return
        found.served += 1
        found.last_used_at = now

    def restart(self, subject: object) -> None:
        """Begin anew, since the subject was lost."""
        self._by_subject.pop(subject, None)

    def _is_idle(self, found: _Start) -> bool:
        return self._clock.now() - found.last_used_at > _IDLE_S
