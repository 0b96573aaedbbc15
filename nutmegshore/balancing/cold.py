"""The bound on requests to an upstream that has just started."""

from collections.abc import Collection

import attrs

from nutmegshore.balancing.affinity import rank_by_hash
from nutmegshore.clock import Clock

__all__ = ('ColdBound',)

#: Gateways that may send to one cold upstream. Few of them keep the sum of
#: their bursts small however many gateways there are.
_SENDERS = 4
#: Part of the rate that is used, for clocks that run apart and for requests
#: that arrive later than they were sent.
_USED_PART = 0.9


@attrs.define
class _Bucket:
    level: float
    at: float


class ColdBound:
    """Keeps the rate of all gateways together at a cold upstream.

    Each cold upstream has at most four senders, chosen by rendezvous hashing
    among the gateways of its region, or of all where that has none. Each
    sender uses its part of the rate with a burst of one request, so that a
    second holds at most the rate and one request per sender. A gateway that
    sees fewer others than there are still uses a fourth at most.
    """

    def __init__(self, clock: Clock, local: str) -> None:
        """Decide for the gateway of this name."""
        self._clock = clock
        self._local = local
        self._buckets: dict[str, _Bucket] = {}

    def is_sender(self, instance: str, gateways: Collection[str]) -> bool:
        """Whether this gateway may send to the upstream while it is cold."""
        if len(gateways) <= _SENDERS:
            return True
        return self._local in rank_by_hash(instance, gateways)[:_SENDERS]

    def has_room(self, instance: str, rate: float) -> bool:
        """Whether one more request fits now."""
        return self._refill(instance, rate).level >= 1

    def take(self, instance: str, rate: float) -> None:
        """Count a request that is sent."""
        self._refill(instance, rate).level -= 1

    def forget(self, instance: str) -> None:
        """Drop an upstream that is gone."""
        self._buckets.pop(instance, None)

    def _refill(self, instance: str, rate: float) -> _Bucket:
        now = self._clock.now()
        bucket = self._buckets.setdefault(instance, _Bucket(1, now))
        gained = (now - bucket.at) * rate * _USED_PART / _SENDERS
        bucket.level = min(bucket.level + gained, 1)
        bucket.at = now
        return bucket
