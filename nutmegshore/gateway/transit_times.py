"""Time that messages of other gateways take on their way."""

from nutmegshore.balancing.sliding_least import SlidingLeast
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
        self._by_peer: dict[str, SlidingLeast] = {}
        self._last_s: dict[str, float] = {}

    def record(self, peer: str, sent_at: float) -> float:
        """Record a message; return the seconds that it was on its way.

        0 for `sent_at` stands for a peer that does not tell it.
        """
        if not sent_at:
            return LEAST_TRANSIT_S
        now = self._clock.now()
        offset_s = now - sent_at
        least = self._by_peer.get(peer)
        if least is None or offset_s - least.value > _NEW_CLOCK_S:
            least = SlidingLeast(_WINDOW_S, now, offset_s)
            self._by_peer[peer] = least
        least.add(offset_s, now)
        waited_s = offset_s - least.value
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
