"""Time that messages of other gateways take on their way."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('LEAST_TRANSIT_S', 'TransitTimes')

#: Seconds that the fastest message of a peer may have taken; only what later
#: ones take beyond it can be measured.
LEAST_TRANSIT_S = 0.1
#: Seconds after which the fastest message of a peer is looked for anew, since
#: clocks drift and paths change.
_WINDOW_S = 15
#: Seconds that no message takes: the peer's clock was set anew.
_NEW_CLOCK_S = 10


@attrs.define
class _Offsets:
    """Least differences of two clocks, in this window and the one before."""

    began_at: float
    least_s: float
    before_s: float


class TransitTimes:
    """Measures how much longer than its fastest one a peer's message took.

    Messages tell when they were sent, by the sender's clock. The clocks of two
    gateways differ by a constant, which cancels out: what remains is the time
    that a message waited at its sender, in a link or for its receiver.

        transit_times.record('gateway-3', message.sent_at)
    """

    def __init__(self, clock: Clock) -> None:
        """Start without messages."""
        self._clock = clock
        self._by_peer: dict[str, _Offsets] = {}
        self._last_s: dict[str, float] = {}

    def record(self, peer: str, sent_at: float) -> float:
        """Record a message; return the seconds that it was on its way.

        0 for `sent_at` stands for a peer that does not tell it.
        """
        if not sent_at:
            return LEAST_TRANSIT_S
        now = self._clock.now()
        offset_s = now - sent_at
        offsets = self._by_peer.get(peer)
        if offsets is None or offset_s - _least(offsets) > _NEW_CLOCK_S:
            offsets = _Offsets(now, offset_s, offset_s)
            self._by_peer[peer] = offsets
        elif now - offsets.began_at > _WINDOW_S:
            offsets.began_at = now
            offsets.before_s = offsets.least_s
            offsets.least_s = offset_s
        offsets.least_s = min(offsets.least_s, offset_s)
        waited_s = offset_s - _least(offsets)
        self._last_s[peer] = waited_s
        return LEAST_TRANSIT_S + waited_s

    def retain(self, peers: set[str]) -> None:
        """Forget the peers that are gone."""
        for gone in self._by_peer.keys() - peers:
            self._by_peer.pop(gone)
            self._last_s.pop(gone, None)

    def waits(self) -> dict[str, float]:
        """Seconds that the last message of each peer waited, by name."""
        return dict(self._last_s)


def _least(offsets: _Offsets) -> float:
    return min(offsets.least_s, offsets.before_s)
