"""Health of upstreams: failures, refusals, and temporary avoidance."""

import math

import attrs

from nutmegshore.balancing.outcome import AttemptOutcome
from nutmegshore.clock import Clock

__all__ = ('HealthTable', 'UpstreamHealth')

#: Minimum and maximum seconds for which a failing upstream is avoided. The time
#: doubles with each failed trial.
_MIN_AVOIDED_S = 0.4
_MAX_AVOIDED_S = 4
#: Doublings that take the minimum to the maximum. An upstream may fail without
#: end, and floats have no room for a power of two beyond 1023.
_MAX_DOUBLINGS = math.ceil(math.log2(_MAX_AVOIDED_S / _MIN_AVOIDED_S))
#: Consecutive lost answers after which an upstream is avoided. Healthy
#: upstreams lose a single answer now and then.
_AVOIDED_AFTER_FAILURES = 3
#: Weight of a new sample in the share of refused requests.
_REFUSAL_WEIGHT = 0.15
#: Half-life in seconds of the share of refused requests.
_REFUSAL_HALF_S = 3
_TELL_NOTHING = frozenset((AttemptOutcome.ABANDONED, AttemptOutcome.CLOSED))


@attrs.define
class UpstreamHealth:
    """Consecutive failures and the share of refusals of one upstream."""

    failures: int = 0
    avoided_until: float = float('-inf')
    refusals: float = 0
    refused_at: float = 0


class HealthTable:
    """Rates upstreams by how attempts end, not by what they report.

    An upstream that cannot be reached, or loses consecutive answers, gets no
    requests for a while and then a single trial. One that refuses some of its
    requests although it has free slots gets a higher cost. Refusals in a pause
    that the upstream asked for do not count: the pause answers them.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with all upstreams healthy."""
        self.by_id: dict[str, UpstreamHealth] = {}
        self._clock = clock

    def is_avoided(self, instance: str) -> bool:
        """Return whether an upstream gets no requests at the moment."""
        health = self.by_id.get(instance)
        return health is not None and health.avoided_until > self._clock.now()

    def refusal_share(self, instance: str) -> float:
        """Return the share of requests that an upstream refused recently."""
        health = self.by_id.get(instance)
        if health is None:
            return 0
        return self._decayed(health)

    def record(self, instance: str, outcome: AttemptOutcome) -> float:
        """Record the end of an attempt.

        Returns the seconds for which the upstream is avoided, or 0.
        """
        health = self.by_id.setdefault(instance, UpstreamHealth())
        if outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED}:
            health.failures = 0
            self._record_refusal(
                health, is_refused=outcome is AttemptOutcome.REFUSED
            )
            return 0
        if outcome is AttemptOutcome.PAUSED:
            health.failures = 0
            return 0
        if outcome in _TELL_NOTHING:
            return 0
        health.failures += 1
        return self._avoid(health, outcome)

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self.by_id.pop(instance, None)

    def _avoid(self, health: UpstreamHealth, outcome: AttemptOutcome) -> float:
        excess = health.failures
        if outcome is not AttemptOutcome.UNREACHABLE:
            excess -= _AVOIDED_AFTER_FAILURES - 1
        if excess < 1:
            return 0
        doublings = min(excess - 1, _MAX_DOUBLINGS)
        seconds = min(_MIN_AVOIDED_S * 2**doublings, _MAX_AVOIDED_S)
        health.avoided_until = self._clock.now() + seconds
        return seconds

    def _record_refusal(self, health: UpstreamHealth, *, is_refused: bool):
        before = self._decayed(health)
        health.refusals = before + _REFUSAL_WEIGHT * (is_refused - before)
        health.refused_at = self._clock.now()

    def _decayed(self, health: UpstreamHealth) -> float:
        halves = (self._clock.now() - health.refused_at) / _REFUSAL_HALF_S
        return health.refusals * 0.5**halves
