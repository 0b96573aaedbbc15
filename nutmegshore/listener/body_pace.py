"""How long a caller may take for a whole body."""

import attrs

__all__ = ('BodyPace',)

#: Seconds that any body may take, and the least bytes per second beyond them.
#: 64 MiB on a link of 1 Mbit/s arrive in 9 minutes, and may take over an hour.
_GRACE_S = 60
_LEAST_RATE = 16_384


@attrs.define
class BodyPace:
    """The time that a connection waited for the pieces of a body.

    The time in which an upstream kept the connection from reading is left out.

        pace.record(waited_s, len(piece))
        pace.is_too_slow
    """

    grace_s: float = _GRACE_S
    least_rate: float = _LEAST_RATE
    _waited_s: float = 0
    _received: int = 0

    @property
    def is_too_slow(self) -> bool:
        """Whether the body took longer than any caller needs."""
        return self._waited_s > self.grace_s + self._received / self.least_rate

    def record(self, waited_s: float, received: int) -> None:
        """Record a piece and the wait for it."""
        self._waited_s += waited_s
        self._received += received
