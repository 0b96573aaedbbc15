"""Slow start of upstreams and of regions that receive moved load."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('SlowStart',)

#: Share of its slots that a new upstream starts with.
_INITIAL_SHARE = 0.25
#: Served requests for each further slot.
_SERVED_PER_SLOT = 4
#: Time without a request after which an upstream counts as cold again.
_IDLE_S = 300


@attrs.define
class _Progress:
    served: int
    last_used_at: float


class SlowStart:
    """Bounds the slots in use: first a quarter, more with served requests.

    The subject is the name of an upstream, or the service and region that load
    is moved to. A new, restarted or long idle subject starts from the quarter.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without subjects; an unknown subject counts as new."""
        self._clock = clock
        self._by_subject: dict[object, _Progress] = {}

    def limit(self, subject: object, slots: float) -> float:
        """Slots that may be in use now: at least one, but at most `slots`."""
        found = self._by_subject.get(subject)
        initial = max(slots * _INITIAL_SHARE, 1)
        if found is None or self._is_idle(found):
            return min(initial, slots)
        return min(initial + found.served // _SERVED_PER_SLOT, slots)

    def record_served(self, subject: object) -> None:
        """Count a served request."""
        now = self._clock.now()
        found = self._by_subject.get(subject)
        if found is None or self._is_idle(found):
            self._by_subject[subject] = _Progress(1, now)
            return
        found.served += 1
        found.last_used_at = now

    def restart(self, subject: object) -> None:
        """Start again with a subject that was lost or refused a request."""
        self._by_subject.pop(subject, None)

    def _is_idle(self, found: _Progress) -> bool:
        return self._clock.now() - found.last_used_at > _IDLE_S
