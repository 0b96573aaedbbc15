"""Requests in flight at each upstream, from this and the other gateways."""

import collections
import math
from collections.abc import Collection, Mapping

import attrs

from nutmegshore.clock import Clock

__all__ = ('LoadTable', 'UpstreamLoad')

#: Seconds for which an upstream's own report overrides the counts of peers.
_REPORT_MAX_AGE_S = 0.2
#: Seconds after which the counts of a silent peer are dropped.
_PEER_MAX_AGE_S = 2
#: Peer name for the counts of all other gateways that an aggregator sends.
_ALL_OTHERS = ''


@attrs.define
class UpstreamLoad:
    """Requests in flight at one upstream.

    `in_flight` counts this gateway's requests, `foreign` those of the other
    gateways according to the upstream's last report.
    """

    in_flight: int = 0
    foreign: int = 0
    reported_at: float = float('-inf')


@attrs.define
class _PeerCounts:
    """In-flight counts of one peer by upstream, and when they arrived."""

    received_at: float
    by_id: Mapping[str, int]


class LoadTable:
    """Estimates the requests in flight at each upstream.

    This gateway's own count is exact. The count of the other gateways comes
    from the upstream's own report in an answer while that is fresh, and
    otherwise from the counts that peers send.

        table.estimate('orders-3')
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no requests in flight."""
        self.by_id: dict[str, UpstreamLoad] = {}
        self._clock = clock
        self._peers: dict[str, _PeerCounts] = {}
        self._peer_totals: collections.Counter[str] = collections.Counter()

    def get(self, instance: str) -> UpstreamLoad:
        """Return the load of an upstream, created on first use."""
        load = self.by_id.get(instance)
        if load is None:
            load = UpstreamLoad()
            self.by_id[instance] = load
        return load

    def estimate(self, instance: str) -> int:
        """Estimate the requests of all gateways at an upstream."""
        load = self.get(instance)
        age_s = self._clock.now() - load.reported_at
        if age_s < _REPORT_MAX_AGE_S:
            return load.in_flight + load.foreign
        return load.in_flight + max(self._peer_totals[instance], 0)

    def report_age_s(self, instance: str) -> float | None:
        """Return the seconds since an upstream's last report, or None."""
        load = self.by_id.get(instance)
        if load is None or math.isinf(load.reported_at):
            return None
        return self._clock.now() - load.reported_at

    def handle_report(self, instance: str, busy: int) -> None:
        """Record the in-flight count that an upstream's answer reports.

        The answered request still counts as in flight here, but the upstream no
        longer counts it.
        """
        load = self.get(instance)
        load.foreign = max(busy - max(load.in_flight - 1, 0), 0)
        load.reported_at = self._clock.now()

    def handle_peer_counts(self, peer: str, by_id: Mapping[str, int]) -> None:
        """Replace the counts of a peer or a region."""
        self.drop_peer(peer)
        self._peers[peer] = _PeerCounts(self._clock.now(), by_id)
        self._peer_totals.update(by_id)

    def handle_all(
        self,
        by_id: Mapping[str, int],
        reported: Mapping[str, int],
    ) -> None:
        """Replace the counts of all gateways with an aggregate.

        `reported` is this gateway's own contribution, which is subtracted.
        """
        others = {
            name: count - reported.get(name, 0) for name, count in by_id.items()
        }
        self.handle_peer_counts(_ALL_OTHERS, others)

    def drop_all(self) -> None:
        """Drop the aggregate; each gateway now reports here directly."""
        self.drop_peer(_ALL_OTHERS)

    def drop_peer(self, peer: str) -> None:
        """Drop the counts of a peer or a region."""
        counts = self._peers.pop(peer, None)
        if counts is None:
            return
        self._peer_totals.subtract(counts.by_id)
        for name in counts.by_id:
            if not self._peer_totals[name]:
                self._peer_totals.pop(name)

    def forget_peers(self) -> None:
        """Drop the counts of peers that have been silent."""
        oldest = self._clock.now() - _PEER_MAX_AGE_S
        silent = [
            name
            for name, counts in self._peers.items()
            if counts.received_at < oldest
        ]
        for name in silent:
            self.drop_peer(name)

    def sum_counts(
        self,
        peers: Collection[str] | None = None,
    ) -> dict[str, int]:
        """Sum the requests in flight here and at the named peers, or at all."""
        total = collections.Counter(self.own_counts())
        for peer, counts in self._peers.items():
            if peers is None or peer in peers:
                total.update(counts.by_id)
        # Subtracting this gateway's reported counts may briefly give
        # negative numbers.
        return dict(+total)

    def forget(self, instance: str) -> None:
        """Drop a removed upstream, unless it still has requests in flight."""
        load = self.by_id.get(instance)
        if load is not None and not load.in_flight:
            self.by_id.pop(instance)

    def own_counts(self) -> dict[str, int]:
        """Return own requests in flight by upstream, without zeros."""
        return {
            name: load.in_flight
            for name, load in self.by_id.items()
            if load.in_flight
        }
