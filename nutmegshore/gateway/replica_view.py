"""Age of a replica of the store, and the gateways over which it came."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('ReplicaView', 'ToldView')

#: Seconds that stand for any greater age; ages in messages are finite.
_MAX_AGE_S = 3600
_DIGITS = 3

#: A gateway, and how old its view was as it arrived at the next one.
_Hop = list[str | float]


@attrs.frozen
class ToldView:
    """What a message of another gateway says of its view.

    `age_s` includes the time that the message took. `hops` are those of the
    sender's view.
    """

    age_s: float = _MAX_AGE_S
    hops: list[_Hop] = attrs.field(factory=list)


class ReplicaView:
    """Tells how old a replica is, in seconds since an answer of the store.

    The replica shows all that the store had when it gave that answer, to this
    gateway or to another one. `source` is where the last change came from,
    `hops` are the gateways that passed it on, each with the age at which it
    arrived from there.

        view.record_answer('watch')
        view.record_peer('gateway-3', ToldView(age_s=0.6))
        view.confirm(age_s=0.2)
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the first answer."""
        self.source = ''
        self.hops: list[_Hop] = []
        self._clock = clock
        self._answered_at = float('-inf')

    @property
    def age_s(self) -> float:
        """Seconds since the answer, at most an hour."""
        return min(self._clock.now() - self._answered_at, _MAX_AGE_S)

    @property
    def known_age_s(self) -> float:
        """The age, or 0 if nobody told it."""
        return self.age_s if self.age_s < _MAX_AGE_S else 0

    def record_answer(self, source: str) -> None:
        """Record an answer of the store to this gateway."""
        self.source = source
        self.hops = []
        self._answered_at = self._clock.now()

    def record_peer(self, sender: str, told: ToldView) -> None:
        """Record that objects of another gateway were adopted."""
        self.source = sender
        self.hops = [*told.hops, [sender, round(told.age_s, _DIGITS)]]
        self._answered_at = self._clock.now() - told.age_s

    def confirm(self, age_s: float) -> None:
        """Record that another view, of this age, shows the same objects."""
        answered_at = self._clock.now() - age_s
        self._answered_at = max(self._answered_at, answered_at)
