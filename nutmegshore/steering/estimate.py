"""Estimate of the busy slots of each upstream."""

import collections
import math

import attrs

from nutmegshore.clock import Clock

__all__ = ('BusyEstimate',)

#: Time between two load messages of a peer in a small cluster.
_INTERVAL_S = 0.25
#: Message intervals for which a peer's load message is valid.
_PEER_LIFETIME_INTERVALS = 4
#: Time in which a reported excess decays to 1/e.
_REPORT_FADE_S = 1
#: Reports of an upstream over which the least excess is taken.
_REPORTS_KEPT = 4


@attrs.frozen
class _PeerLoad:
    received_at: float
    in_flight: dict[str, int]


@attrs.define
class _Excess:
    reported_at: float
    recent: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_REPORTS_KEPT),
    )


class BusyEstimate:
    """Busy slots by upstream: own requests, peers' requests and excess.

    The excess is the number of busy slots that an upstream reports beyond the
    requests that this entry and its peers have in flight there. Only the
    least excess of the last four reports counts: reports lag behind, so they
    constantly differ from the known requests in both directions, while load
    from other sources persists.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing in flight."""
        self.own: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._peers: dict[str, _PeerLoad] = {}
        self._peer_sum: collections.Counter[str] = collections.Counter()
        self._excess: dict[str, _Excess] = {}

    def busy(self, name: str) -> float:
        """Estimate for one upstream, in slots."""
        return self.in_flight(name) + self._fading_excess(name)

    def in_flight(self, name: str) -> int:
        """Requests of this entry and of its region's peers in an upstream.

        The counts of the peers are as old as their last load messages.
        """
        return self.own[name] + self._peer_sum[name]

    def record_peer(self, sender: str, in_flight: dict[str, int]) -> None:
        """Replace a peer's requests in flight by those of its new message."""
        self._drop(sender)
        self._peers[sender] = _PeerLoad(self._clock.now(), in_flight)
        self._peer_sum.update(in_flight)

    def record_report(self, name: str, busy_slots: float) -> None:
        """Record the number of busy slots that an upstream reports."""
        now = self._clock.now()
        excess = self._excess.setdefault(name, _Excess(now))
        excess.reported_at = now
        known = self.in_flight(name)
        excess.recent.append(max(busy_slots - known, 0))

    def last_report(self) -> float:
        """Clock reading of the newest report; minus infinity without one."""
        return max(
            (excess.reported_at for excess in self._excess.values()),
            default=-math.inf,
        )

    def drop_old(self, interval_s: float = _INTERVAL_S) -> None:
        """Drop the load of peers that are silent for four message intervals."""
        lifetime_s = interval_s * _PEER_LIFETIME_INTERVALS
        oldest = self._clock.now() - lifetime_s
        for sender, load in tuple(self._peers.items()):
            if load.received_at < oldest:
                self._drop(sender)

    def _drop(self, sender: str) -> None:
        earlier = self._peers.pop(sender, None)
        if earlier is not None:
            self._peer_sum.subtract(earlier.in_flight)

    def _fading_excess(self, name: str) -> float:
        excess = self._excess.get(name)
        if excess is None or len(excess.recent) < _REPORTS_KEPT:
            return 0
        age_s = self._clock.now() - excess.reported_at
        return min(excess.recent) * math.exp(-age_s / _REPORT_FADE_S)
