"""This gateway's share of the rate limit of each upstream."""

import math
from collections.abc import Iterable, Sequence

import attrs

from nutmegshore.balancing.affinity import rank_by_hash
from nutmegshore.balancing.limit_table import LimitTable
from nutmegshore.balancing.rank_reservations import RankReservations
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.balancing.token_bucket import TokenBucket
from nutmegshore.clock import Clock
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('LimitShares',)

#: Fraction of a limit that is used. The rest covers requests that arrive later
#: than they were sent.
_USED_FRACTION = 0.9
#: Rate in requests per second at which an upstream with a smaller limit is
#: still asked: only its answers tell when the limit ends.
_MIN_RATE = 0.1
#: Gateways that share a small limit. A second one replaces the first while it
#: is dead and the others have not noticed.
_MIN_SENDERS = 2
#: Further gateways for each request per second. Each may send a burst, so that
#: their number has to grow more slowly than what the limit allows.
_SENDERS_PER_RATE = 2
#: Seconds of its rate that a gateway may send at once, if that is more than one
#: request.
_BURST_S = 0.25
#: Seconds without a more urgent request after which a less urgent one may
#: have its room.
_MAX_UNUSED_S = 0.5
#: Seconds for which a computed share is used.
_SHARE_TTL_S = 0.25


@attrs.frozen
class _Position:
    """Place of this gateway in the order of an upstream's senders.

    None if it is no gateway that may send there.
    """

    names: tuple[str, ...]
    place: int | None


@attrs.frozen
class _Share:
    """Requests per second that this gateway may send of an upstream's limit."""

    max_rate: float
    rate: float
    computed_at: float

    def is_outdated(self, max_rate: float, now: float) -> bool:
        is_old = now - self.computed_at >= _SHARE_TTL_S
        return is_old or max_rate != self.max_rate


class LimitShares:
    """Keeps the requests of all gateways at an upstream within its limit.

    Only some gateways of the upstream's region send to it: the first ones of a
    rendezvous order, which all gateways compute alike. They use equal parts of
    the limit. A token bucket per upstream starts empty, so that a gateway that
    has just become a sender adds no burst. A gateway that sees fewer gateways
    than lately uses a smaller part of the limit, since the others may be
    cut off and alive.

        if shares.has_room(upstream, rank=0):
            shares.acquire(upstream)

    An upstream without a limit always has room.
    """

    def __init__(
        self,
        clock: Clock,
        local: str,
        limits: LimitTable,
        members: RecentMembers,
    ) -> None:
        """Share the limits of `limits` as the gateway named `local`."""
        self._clock = clock
        self._local = local
        self._limits = limits
        self._members = members
        self._buckets: dict[str, TokenBucket] = {}
        self._positions: dict[str, _Position] = {}
        self._shares: dict[str, _Share] = {}
        self.reservations = RankReservations(clock)

    def has_room(self, upstream: RegisteredUpstream, rank: int) -> bool:
        """Return whether a request of a rank may be sent now."""
        if self._limits.max_rate(upstream.instance) is None:
            return True
        bucket = self._refill(upstream.instance, self.rate(upstream))
        if bucket is None or bucket.tokens < 1:
            return False
        is_reserved = self.reservations.left_s(upstream.service, rank) > 0
        return bucket.full_s >= _MAX_UNUSED_S or not is_reserved

    def acquire(self, upstream: RegisteredUpstream) -> None:
        """Take the token of a request that is sent."""
        if self._limits.max_rate(upstream.instance) is None:
            return
        bucket = self._refill(upstream.instance, self.rate(upstream))
        if bucket is not None:
            bucket.take()

    def rate(self, upstream: RegisteredUpstream) -> float:
        """Return the requests per second that this gateway may send.

        Infinite without a limit, and 0 if only other gateways may send.
        """
        name = upstream.instance
        max_rate = self._limits.max_rate(name)
        if max_rate is None:
            return math.inf
        now = self._clock.now()
        known = self._shares.get(name)
        if known is None or known.is_outdated(max_rate, now):
            known = _Share(max_rate, self._own_rate(upstream, max_rate), now)
            self._shares[name] = known
        return known.rate

    def fleet_rate(self, upstream: RegisteredUpstream) -> float:
        """Return the requests per second that all visible gateways may send."""
        max_rate = self._limits.max_rate(upstream.instance)
        if max_rate is None:
            return math.inf
        return self._usable_rate(
            max_rate, self._members.sender_region(upstream.region)
        )

    def next_room_s(
        self, upstreams: Sequence[RegisteredUpstream], rank: int
    ) -> float:
        """Return the seconds until one of the upstreams has room.

        A caller that returns to another gateway may find room there first. The
        upstreams are of one service.
        """
        own_s = min(self._wait_s(upstream) for upstream in upstreams)
        fleet_s = 1 / self._sum_rates(upstreams)
        reserved_s = self.reservations.left_s(upstreams[0].service, rank)
        return max(min(own_s, fleet_s), reserved_s)

    def gap_s(self, upstreams: Sequence[RegisteredUpstream]) -> float:
        """Return the seconds between requests, for this gateway's callers.

        The callers of all gateways of the region share the upstreams.
        """
        names = self._members.names(
            self._members.sender_region(upstreams[0].region)
        )
        return max(len(names), 1) / self._sum_rates(upstreams)

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self._buckets.pop(instance, None)
        self._positions.pop(instance, None)
        self._shares.pop(instance, None)

    def _own_rate(self, upstream: RegisteredUpstream, max_rate: float) -> float:
        region = self._members.sender_region(upstream.region)
        usable = self._usable_rate(max_rate, region)
        senders = _MIN_SENDERS + math.floor(_SENDERS_PER_RATE * usable)
        names = self._members.names(region)
        place = self._place(upstream.instance, names)
        if place is None or place >= senders:
            return 0
        return usable / min(senders, len(names))

    def _wait_s(self, upstream: RegisteredUpstream) -> float:
        """Return the seconds until this gateway may send its next request.

        Infinite if only other gateways may send.
        """
        # The share may be computed anew, and be 0, from one call to the next.
        rate = self.rate(upstream)
        bucket = self._refill(upstream.instance, rate)
        if bucket is None:
            return math.inf
        return max(1 - bucket.tokens, 0) / rate

    def _sum_rates(self, upstreams: Iterable[RegisteredUpstream]) -> float:
        rates = (self.fleet_rate(upstream) for upstream in upstreams)
        return max(sum(rates), _MIN_RATE)

    def _usable_rate(self, max_rate: float, region: str) -> float:
        usable = max(max_rate, _MIN_RATE) * _USED_FRACTION
        return usable * self._members.visible_fraction(region)

    def _place(self, instance: str, names: tuple[str, ...]) -> int | None:
        known = self._positions.get(instance)
        if known is not None and known.names == names:
            return known.place
        place = None
        if self._local in names:
            place = rank_by_hash(instance, names).index(self._local)
        self._positions[instance] = _Position(names, place)
        return place

    def _refill(self, instance: str, rate: float) -> TokenBucket | None:
        """Return the bucket, or None if only other gateways may send.

        `rate` is that of this gateway's share.
        """
        if not rate:
            self._buckets.pop(instance, None)
            return None
        now = self._clock.now()
        bucket = self._buckets.setdefault(instance, TokenBucket(0, now))
        bucket.refill(now, rate, burst=max(1, rate * _BURST_S))
        return bucket
