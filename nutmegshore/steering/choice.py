"""Choice of an upstream among the candidates of a region."""

import random
from collections.abc import Sequence

import attrs

from nutmegshore.resources import Service
from nutmegshore.steering.estimate import BusyEstimate

__all__ = ('UpstreamOption', 'Chooser')

#: Upstreams drawn at random, of which the less busy one is chosen.
_RANDOM_CHOICES = 2
#: Load, as a share of the slots, by which an upstream in the local
#: availability zone may be busier than one in another zone.
_ZONE_PREFERENCE = 0.2
#: Requests that the owner of a slot may send beyond the limit, so that it
#: regains its slots from entries that refill them as soon as they are free.
_OWNER_ALLOWANCE = 1


@attrs.frozen
class UpstreamOption:
    """A candidate upstream of a request.

    `limit` is its number of slots, or fewer during a slow start. `owned` of
    them belong to this entry or are lent to it; the entry may use the others
    only if `is_open`: in other regions, and where it shares the upstreams
    with no other entry. `is_near` marks the local availability zone.
    """

    name: str
    limit: float
    owned: int = 0
    is_open: bool = True
    is_near: bool = True


class Chooser:
    """Chooses the upstream of a request by the estimate of busy slots.

    The least busy upstream with a free slot that this entry owns comes first,
    then the less busy of two random others. An upstream without a free slot in
    the estimate is never chosen while another has one; after that, only the
    owner of a slot may exceed the limit, by one request.
    """

    def __init__(self, estimate: BusyEstimate, rng: random.Random) -> None:
        """Choose by `estimate`; `rng` draws samples and breaks ties."""
        self._estimate = estimate
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[UpstreamOption],
        service: Service,
    ) -> str:
        """Name of the chosen upstream; empty if none has a free slot."""
        busy = self._estimate.busy
        free = [
            option for option in candidates if busy(option.name) < option.limit
        ]
        owned = [option for option in free if self._has_own_slot(option)]
        options = owned or self._draw(free) or self._reclaimable(candidates)
        if not options:
            return ''
        return min(
            options, key=lambda option: self._score(option, service)
        ).name

    def _draw(self, free: list[UpstreamOption]) -> list[UpstreamOption]:
        others = [option for option in free if option.is_open]
        return self._rng.sample(others, min(_RANDOM_CHOICES, len(others)))

    def _reclaimable(
        self,
        candidates: Sequence[UpstreamOption],
    ) -> list[UpstreamOption]:
        busy = self._estimate.busy
        return [
            option
            for option in candidates
            if self._has_own_slot(option)
            and busy(option.name) < option.limit + _OWNER_ALLOWANCE
        ]

    def _has_own_slot(self, option: UpstreamOption) -> bool:
        own = self._estimate.own[option.name]
        return own < min(option.owned, option.limit)

    def _score(
        self,
        option: UpstreamOption,
        service: Service,
    ) -> tuple[float, float]:
        load = self._estimate.busy(option.name) / option.limit
        weighted = load * service.headroom_weight
        if not option.is_near:
            weighted += _ZONE_PREFERENCE * service.latency_weight
        return weighted, self._rng.random()
