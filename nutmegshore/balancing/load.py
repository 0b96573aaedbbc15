"""Requests in flight at each upstream, own and of the other gateways."""

import collections
import math
from collections.abc import Collection, Mapping

import attrs

from nutmegshore.clock import Clock

__all__ = ('LoadTable', 'UpstreamLoad')

#: Seconds for which an upstream's own report goes before what peers tell.
_REPORT_FRESH_S = 0.2
#: Seconds after which the counts of a silent peer are dropped.
_PEER_KEPT_S = 2
#: Stands for all other gateways in what an aggregator tells.
_ALL_OTHERS = ''


@attrs.define
class UpstreamLoad:
    """What this gateway has in flight at one upstream.

    `foreign` are the requests of others by the upstream's last report.
    """

    in_flight: int = 0
    foreign: int = 0
    reported_at: float = float('-inf')


@attrs.define
class _PeerCounts:
    """In-flight counts of one peer by upstream, and when they came."""

    at: float
    by_id: Mapping[str, int]


class LoadTable:
    """Estimates of the requests in flight at each upstream.

    The own count is exact. What other gateways have in flight comes from the
    upstream's own report in an answer while that is fresh, and from the
    counts that peers send otherwise.

        table.estimate('orders-3')
    """

    def __init__(self, clock: Clock) -> None:
        """Know of no requests."""
        self.by_id: dict[str, UpstreamLoad] = {}
        self._clock = clock
        self._peers: dict[str, _PeerCounts] = {}
        self._told: collections.Counter[str] = collections.Counter()

    def get(self, instance: str) -> UpstreamLoad:
        """The load of an upstream, created on first use."""
        load = self.by_id.get(instance)
        if load is None:
            load = UpstreamLoad()
            self.by_id[instance] = load
        return load

    def estimate(self, instance: str) -> int:
        """Requests of all gateways at an upstream, to the best knowledge."""
        load = self.get(instance)
        age_s = self._clock.now() - load.reported_at
        if age_s < _REPORT_FRESH_S:
            return load.in_flight + load.foreign
        return load.in_flight + max(self._told[instance], 0)

    def report_age_s(self, instance: str) -> float | None:
        """Seconds since an upstream's last report, or None if it made none."""
        load = self.by_id.get(instance)
        if load is None or math.isinf(load.reported_at):
            return None
        return self._clock.now() - load.reported_at

    def handle_report(self, instance: str, busy: int) -> None:
        """Take the count that an answer of an upstream reports.

        The request that the answer belongs to is still counted as in flight
        here, and no longer there.
        """
        load = self.get(instance)
        load.foreign = max(busy - max(load.in_flight - 1, 0), 0)
        load.reported_at = self._clock.now()

    def handle_peer_counts(self, peer: str, by_id: Mapping[str, int]) -> None:
        """Take the counts that a peer, or a region, sends."""
        self.drop_peer(peer)
        self._peers[peer] = _PeerCounts(self._clock.now(), by_id)
        self._told.update(by_id)

    def handle_all(
        self,
        by_id: Mapping[str, int],
        reported: Mapping[str, int],
    ) -> None:
        """Take the counts of all gateways, of which some are one's own."""
        others = {
            name: count - reported.get(name, 0) for name, count in by_id.items()
        }
        self.handle_peer_counts(_ALL_OTHERS, others)

    def drop_all(self) -> None:
        """Drop the counts of all gateways; each one reports here now."""
        self.drop_peer(_ALL_OTHERS)

    def drop_peer(self, peer: str) -> None:
        """Drop the counts of a peer or a region."""
        counts = self._peers.pop(peer, None)
        if counts is None:
            return
        self._told.subtract(counts.by_id)
        for name in counts.by_id:
            if not self._told[name]:
                self._told.pop(name)

    def forget_peers(self) -> None:
        """Drop the counts of peers that have been silent."""
        limit = self._clock.now() - _PEER_KEPT_S
        silent = [
            name for name, counts in self._peers.items() if counts.at < limit
        ]
        for name in silent:
            self.drop_peer(name)

    def sum_counts(
        self,
        peers: Collection[str] | None = None,
    ) -> dict[str, int]:
        """Requests in flight here and at the named peers, or at all."""
        total = collections.Counter(self.own_counts())
        for peer, counts in self._peers.items():
            if peers is None or peer in peers:
                total.update(counts.by_id)
        # Differences to what was reported may fall below 0 for a moment.
        return dict(+total)

    def forget(self, instance: str) -> None:
        """Drop an upstream that is gone, unless it still has requests."""
        load = self.by_id.get(instance)
        if load is not None and not load.in_flight:
            self.by_id.pop(instance)

    def own_counts(self) -> dict[str, int]:
        """Own requests in flight by upstream, without zeros."""
        return {
            name: load.in_flight
            for name, load in self.by_id.items()
            if load.in_flight
        }
