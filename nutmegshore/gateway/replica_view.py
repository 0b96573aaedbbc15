"""Age of a replica of the store, and the gateways over which it came."""

import contextlib
from collections.abc import Iterator

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
    """Tells how old a replica is, in seconds since the store showed it.

    `age_s` is a bound: the replica shows all that the store had that long ago,
    to this gateway or to another one. An answer may have been made as soon as
    the store was called, and have waited in a link or for a stopped process
    since, so that it counts from the call. `seen_s` counts from when the answer
    came, as far as that is known: by then owners may have written again what a
    restore took away. `source` is where the last change came from, `hops` are
    the gateways that passed it on, each with the age at which it arrived from
    there.

        view.record_answer('watch', called_at)
        view.record_peer('gateway-3', ToldView(age_s=0.6))
        view.confirm_at(clock.now() - 0.2)
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the first answer."""
        self.source = ''
        self.hops: list[_Hop] = []
        self._clock = clock
        self._shown_at = float('-inf')
        self._seen_at = float('-inf')

    @property
    def age_s(self) -> float:
        """Greatest seconds since the store showed this, at most an hour."""
        return min(self._clock.now() - self._shown_at, _MAX_AGE_S)

    @property
    def seen_s(self) -> float:
        """Seconds since the last answer came, at most an hour."""
        return min(self._clock.now() - self._seen_at, _MAX_AGE_S)

    @property
    def known_age_s(self) -> float:
        """Seconds since the last answer came, or 0 if nobody told."""
        return self.seen_s if self.seen_s < _MAX_AGE_S else 0

    def record_answer(self, source: str, called_at: float) -> None:
        """Record an answer of the store to a call of this gateway."""
        self.source = source
        self.hops = []
        self._seen_at = self._clock.now()
        self.confirm_at(called_at)

    def record_peer(self, sender: str, told: ToldView) -> None:
        """Record that newer objects of another gateway were adopted.

        The bound stays: what is newer shows at least as much. Reports of the
        same objects confirm it.
        """
        self.source = sender
        self.hops = [*told.hops, [sender, round(told.age_s, _DIGITS)]]
        self._seen_at = self._clock.now() - told.age_s

    def confirm_at(self, shown_at: float) -> None:
        """Record that the store had the objects at a reading of the clock."""
        self._shown_at = max(self._shown_at, shown_at)

    @contextlib.contextmanager
    def updating(self) -> Iterator[None]:
        """Forget the age if an update of the replica fails halfway."""
        try:
            yield
        except Exception:
            self._shown_at = float('-inf')
            raise
