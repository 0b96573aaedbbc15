"""Upstreams that fail, and for how long they are avoided."""

import attrs

from nutmegshore.balancing.outcome import AttemptOutcome
from nutmegshore.clock import Clock

__all__ = ('HealthTable', 'UpstreamHealth')

#: First and longest time for which a failing upstream is avoided, in seconds;
#: it doubles with each failed trial.
_FIRST_AVOIDED_S = 0.4
_MAX_AVOIDED_S = 4
#: Lost answers in a row before an upstream is avoided. A single one happens
#: to sound upstreams too.
_LOST_IN_A_ROW = 3
#: Weight of a new sample in the share of refused requests.
_REFUSAL_WEIGHT = 0.15
#: Seconds in which the share of refused requests decays by half.
_REFUSAL_HALF_S = 3


@attrs.define
class UpstreamHealth:
    """Failures in a row and the share of refusals of one upstream."""

    failures: int = 0
    avoided_until: float = float('-inf')
    refusals: float = 0
    refused_at: float = 0


class HealthTable:
    """Judges upstreams by how attempts end, never by what they claim.

    An upstream that cannot be reached, or loses answers in a row, gets
    nothing for a while and then a single trial. One that refuses a part of
    its requests though it has room costs more in the choice.
    """

    def __init__(self, clock: Clock) -> None:
        """Hold all upstreams for sound."""
        self.by_id: dict[str, UpstreamHealth] = {}
        self._clock = clock

    def is_avoided(self, instance: str) -> bool:
        """Whether an upstream gets nothing at this moment."""
        health = self.by_id.get(instance)
        return health is not None and health.avoided_until > self._clock.now()

    def refusal_share(self, instance: str) -> float:
        """Share of requests that an upstream refused lately."""
        health = self.by_id.get(instance)
        if health is None:
            return 0
        return self._decayed(health)

    def record(self, instance: str, outcome: AttemptOutcome) -> float:
        """Take the end of an attempt; returns seconds of avoidance, if any."""
        health = self.by_id.setdefault(instance, UpstreamHealth())
        if outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED}:
            health.failures = 0
            self._record_refusal(
                health, is_refused=outcome is AttemptOutcome.REFUSED
            )
            return 0
        if outcome is AttemptOutcome.ABANDONED:
            return 0
        health.failures += 1
        return self._avoid(health, outcome)

    def forget(self, instance: str) -> None:
        """Drop an upstream that is gone."""
        self.by_id.pop(instance, None)

    def _avoid(self, health: UpstreamHealth, outcome: AttemptOutcome) -> float:
        over = health.failures
        if outcome is not AttemptOutcome.UNREACHABLE:
            over -= _LOST_IN_A_ROW - 1
        if over < 1:
            return 0
        seconds = min(_FIRST_AVOIDED_S * 2 ** (over - 1), _MAX_AVOIDED_S)
        health.avoided_until = self._clock.now() + seconds
        return seconds

    def _record_refusal(self, health: UpstreamHealth, *, is_refused: bool):
        before = self._decayed(health)
        health.refusals = before + _REFUSAL_WEIGHT * (is_refused - before)
        health.refused_at = self._clock.now()

    def _decayed(self, health: UpstreamHealth) -> float:
        halves = (self._clock.now() - health.refused_at) / _REFUSAL_HALF_S
        return health.refusals * 0.5**halves
