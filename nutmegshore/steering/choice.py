"""Choice of an upstream within a region."""

import random
from collections.abc import Sequence

import attrs

from nutmegshore.resources import Service
from nutmegshore.steering.estimate import BusyEstimate

__all__ = ('UpstreamOption', 'Chooser')

_RANDOM_CHOICES = 2
#: Share of the slots by which the own availability zone may be busier.
_ZONE_NEARNESS = 0.2
#: Requests above the slots that the owner of a slot may send, so that it
#: wins its slots back from entries that refill them as they get free.
_OWNER_ALLOWANCE = 1


@attrs.frozen
class UpstreamOption:
    """An upstream that a request may go to.

    `limit` is its slots, or fewer during a slow start. `owned` of its slots
    belong to this entry or are lent to it; the others may be used by it only
    if `is_open`, which is so in other regions.
    """

    name: str
    limit: float
    owned: int = 0
    is_open: bool = True
    is_near: bool = True


class Chooser:
    """Draws the upstream of a request by the estimate of busy slots.

    Upstreams with a free slot that this entry owns come first, the least busy
    one; then two random ones of the others, the less busy of the two. An
    upstream without a free slot in the estimate is never chosen while another
    has one; only the owner of a slot may go above, by one request.
    """

    def __init__(self, estimate: BusyEstimate, rng: random.Random) -> None:
        """Choose by an estimate."""
        self._estimate = estimate
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[UpstreamOption],
        service: Service,
    ) -> str:
        """Name of the chosen upstream; empty if none has a free slot."""
        busy = self._estimate.busy
        free = [one for one in candidates if busy(one.name) < one.limit]
        owned = [one for one in free if self._has_own_slot(one)]
        drawn = owned or self._draw(free) or self._reclaimable(candidates)
        if not drawn:
            return ''
        return min(drawn, key=lambda one: self._score(one, service)).name

    def _draw(self, free: list[UpstreamOption]) -> list[UpstreamOption]:
        others = [one for one in free if one.is_open]
        return self._rng.sample(others, min(_RANDOM_CHOICES, len(others)))

    def _reclaimable(
        self,
        candidates: Sequence[UpstreamOption],
    ) -> list[UpstreamOption]:
        busy = self._estimate.busy
        return [
            one
            for one in candidates
            if self._has_own_slot(one)
            and busy(one.name) < one.limit + _OWNER_ALLOWANCE
        ]

    def _has_own_slot(self, one: UpstreamOption) -> bool:
        own = self._estimate.own[one.name]
        return own < min(one.owned, one.limit)

    def _score(
        self,
        one: UpstreamOption,
        service: Service,
    ) -> tuple[float, float]:
        load = self._estimate.busy(one.name) / one.limit
        weighted = load * service.headroom_weight
        if not one.is_near:
            weighted += _ZONE_NEARNESS * service.latency_weight
        return weighted, self._rng.random()
