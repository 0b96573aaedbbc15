"""Time that messages of other gateways take on their way."""

from collections.abc import Collection

from nutmegshore.balancing.sliding_least import SlidingLeast
from nutmegshore.clock import Clock

__all__ = ('LEAST_TRANSIT_S', 'TransitTimes')

#: Seconds that the fastest message of a peer may have taken; only what later
#: ones take beyond it can be measured.
LEAST_TRANSIT_S = 0.1
#: Seconds after which the fastest message of a peer is looked for anew, since
#: clocks drift and paths change.
_WINDOW_S = 15
#: Seconds for which a bound on the difference of two clocks counts; they drift
#: apart by a few milliseconds meanwhile.
_PROOF_WINDOW_S = 30
#: Peers to which one report echoes their messages. A summary goes to all
#: gateways of a region, and each of them needs an echo only now and then.
_MAX_ECHOES = 8
#: Seconds that no message takes: the peer's clock was set anew.
_NEW_CLOCK_S = 10


class TransitTimes:
    """Measures how much longer than its fastest one a peer's message took.

    Messages tell when they were sent, by the sender's clock. The clocks of two
    gateways differ by a constant, which cancels out: what remains is the time
    that a message waited at its sender, in a link or for its receiver. That is
    no bound: a link that delays each message equally goes unseen.

    Echoes give a bound. A peer tells when this gateway sent the last message
    that it received, by this gateway's clock, and how long it held the echo. It
    sent the echo no earlier than that, which bounds the difference of the
    clocks, and so the time at which each of its messages was sent.

        transit_times.record('gateway-3', message.sent_at)
        transit_times.learn('gateway-3', message.sent_at, [170.2, 0.25])
        transit_times.sent_after('gateway-3', message.sent_at)
    """

    def __init__(self, clock: Clock) -> None:
        """Start without messages."""
        self._clock = clock
        self._by_peer: dict[str, SlidingLeast] = {}
        self._last_s: dict[str, float] = {}
        self._started_at = clock.now()
        self._received: dict[str, tuple[float, float]] = {}
        self._echoed_at: dict[str, float] = {}
        # Least negated differences of the clocks, by peer.
        self._bounds: dict[str, SlidingLeast] = {}

    def record(self, peer: str, sent_at: float) -> float:
        """Record a message; return the seconds that it was on its way.

        0 for `sent_at` stands for a peer that does not tell it.
        """
        if not sent_at:
            return LEAST_TRANSIT_S
        now = self._clock.now()
        self._received[peer] = (sent_at, now)
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
            self._received.pop(gone, None)
            self._echoed_at.pop(gone, None)
            self._bounds.pop(gone, None)

    def waits(self) -> dict[str, float]:
        """Seconds that the last message of each peer waited, by name."""
        return dict(self._last_s)

    def echoes(
        self, names: Collection[str], sent_at: float
    ) -> dict[str, list[float]]:
        """Return what a report to some peers echoes as it leaves, by peer.

        Peers that had no echo for the longest time come first.
        """
        by_need = sorted(
            self._received.keys() & set(names),
            key=lambda name: self._echoed_at.get(name, float('-inf')),
        )
        echoes = {}
        for name in by_need[:_MAX_ECHOES]:
            self._echoed_at[name] = sent_at
            peer_sent_at, received_at = self._received[name]
            echoes[name] = [peer_sent_at, max(sent_at - received_at, 0)]
        return echoes

    def learn(
        self, peer: str, sent_at: float, echo: list[float] | None
    ) -> float:
        """Return the earliest time at which a peer may have sent a message.

        `sent_at` is the peer's clock as it sent it, `echo` what it echoes of
        this gateway's messages, if anything.
        """
        if echo is not None:
            self._bound_clock(peer, sent_at, echo)
        return self.sent_after(peer, sent_at)

    def sent_after(self, peer: str, sent_at: float) -> float:
        """Return the earliest time at which a peer may have sent a message.

        It is minus infinity before the first echo.
        """
        bound = self._bounds.get(peer)
        if bound is None or not sent_at:
            return float('-inf')
        earliest = sent_at - bound.value
        if earliest > self._clock.now():
            self._bounds.pop(peer)
            return float('-inf')
        return earliest

    def _bound_clock(
        self, peer: str, sent_at: float, echo: list[float]
    ) -> None:
        echoed_at, held_s, *_ = echo
        now = self._clock.now()
        is_own = self._started_at <= echoed_at <= now - held_s
        if not (sent_at and is_own and held_s >= 0):
            return
        behind_s = sent_at - (echoed_at + held_s)
        bound = self._bounds.get(peer)
        if bound is None or sent_at - bound.value > now:
            # A clock that seems to be ahead of time is not the one before.
            bound = SlidingLeast(_PROOF_WINDOW_S, now, behind_s)
            self._bounds[peer] = bound
        bound.add(behind_s, now)
