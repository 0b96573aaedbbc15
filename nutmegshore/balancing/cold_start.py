"""Rate limit for upstreams that have just started."""

import math

import attrs

from nutmegshore.balancing.affinity import rank_by_hash
from nutmegshore.balancing.token_bucket import TokenBucket
from nutmegshore.clock import Clock

__all__ = ('ColdStartLimiter',)

#: Gateways that may send to one cold upstream. A small number keeps the sum of
#: their bursts small, however many gateways there are.
_MAX_SENDERS = 4
#: Fraction of the rate that is used. The rest covers clock drift, and requests
#: that arrive later than they were sent.
_USED_FRACTION = 0.9
#: Seconds without a request after which the next one counts as the first.
_UNUSED_S = 5


@attrs.frozen
class _Role:
    """Whether this gateway is a sender of an upstream, among `gateways`.

    Ranking all gateways for each request would cost more than the request.
    """

    gateways: frozenset[str]
    is_sender: bool


class ColdStartLimiter:
    """Keeps the total rate of all gateways at a cold upstream within its limit.

    Each cold upstream has at most four senders, chosen by rendezvous hashing
    among the gateways of its region, or among all gateways if its region has
    none. Each sender uses a quarter of the rate with a burst of one request,
    so that a second holds at most the rate plus one request per sender.

    The choice includes gateways that vanished lately: they may be cut off and
    alive, and then choose the same senders. If they are dead, their part
    of the rate stays unused for a while.
    """

    def __init__(self, clock: Clock, local: str) -> None:
        """Limit the requests of the gateway named `local`."""
        self._clock = clock
        self._local = local
        self._buckets: dict[str, TokenBucket] = {}
        self._used_at: dict[str, float] = {}
        self._roles: dict[str, _Role] = {}

    def is_sender(self, instance: str, gateways: frozenset[str]) -> bool:
        """Return whether this gateway may send to the upstream while cold.

        `gateways` are those that were seen lately, whether or not they are
        visible now.
        """
        role = self._roles.get(instance)
        if role is None or role.gateways is not gateways:
            senders = rank_by_hash(instance, gateways)[:_MAX_SENDERS]
            role = _Role(gateways, self._local in senders)
            self._roles[instance] = role
        return role.is_sender

    def has_token(self, instance: str, rate: float) -> bool:
        """Return whether one more request may be sent now."""
        return self._refill(instance, rate).tokens >= 1

    def acquire(self, instance: str, rate: float) -> bool:
        """Consume the token of a request that is sent.

        Returns whether it is the first for some seconds.
        """
        self._refill(instance, rate).take()
        now = self._clock.now()
        used_at = self._used_at.get(instance, -math.inf)
        self._used_at[instance] = now
        return now - used_at > _UNUSED_S

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self._buckets.pop(instance, None)
        self._used_at.pop(instance, None)
        self._roles.pop(instance, None)

    def _refill(self, instance: str, rate: float) -> TokenBucket:
        now = self._clock.now()
        bucket = self._buckets.setdefault(instance, TokenBucket(1, now))
        bucket.refill(now, rate * _USED_FRACTION / _MAX_SENDERS, burst=1)
        return bucket
