"""Shares of the room that load reports show at upstreams."""

import collections
import random
from collections.abc import Callable, Iterator, Sequence

import attrs

from nutmegshore.balancing.choice import Candidate
from nutmegshore.balancing.sliding_counts import WINDOW_S, SlidingCounts
from nutmegshore.clock import Clock

__all__ = ('RoomShares',)

#: Seconds until reports show what all gateways sent after an earlier one.
_REPORT_DELAY_S = 0.5
#: Windows in which refusals are counted.
_WINDOWS = 2

MaxWait = Callable[[Candidate], float]


class RoomShares:
    """Shares the room at upstreams among the gateways that read of it.

    All gateways of a region read in the same reports that a busy upstream has
    room again. If each of them sent the requests that wait for it, many times
    what there is room for would arrive before a report shows it. So only a
    fraction of a gateway's requests may use that room: the room divided by the
    requests that all gateways are expected to send until the next report. These
    are the ones that were refused lately; without refusals there is no limit.

        shares.record_refusal('orders')
        found = shares.limit(candidates, max_wait_s, demand_per_s, gateways=28)
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Draw from `rng` which requests may use the room."""
        self._rng = rng
        self._refused: SlidingCounts[collections.Counter[str]] = SlidingCounts(
            clock, collections.Counter, windows=_WINDOWS
        )

    def record_refusal(self, service: str) -> None:
        """Count a request that is refused."""
        self._refused.current()[service] += 1

    def refused_per_s(self, service: str) -> float:
        """Return how many requests this gateway refuses in a second."""
        refused = sum(
            counts[service]
            for windows_ago in range(_WINDOWS)
            for counts in self._refused.window(windows_ago)
        )
        return refused / (_WINDOWS * WINDOW_S)

    def limit(
        self,
        candidates: Sequence[Candidate],
        max_wait_s: MaxWait,
        demand_per_s: float,
        gateways: int,
    ) -> list[Candidate]:
        """Return the candidates, with those full whose room is left to others.

        `max_wait_s` returns the longest wait with which a candidate accepts the
        request. `demand_per_s` counts the requests of this gateway that wait
        for room at these candidates; each of `gateways` has as many, or fewer
        if this one has more than its part of the requests in flight. As many
        gateways as an upstream has slots cannot flood it.
        """
        total_per_s = demand_per_s / _own_fraction(candidates, gateways)
        demand = total_per_s * _REPORT_DELAY_S
        return list(
            self._iter_limited(candidates, max_wait_s, demand, gateways)
        )

    def _iter_limited(
        self,
        candidates: Sequence[Candidate],
        max_wait_s: MaxWait,
        demand: float,
        gateways: int,
    ) -> Iterator[Candidate]:
        """Yield the candidates; those before the first free one are full."""
        is_found = False
        for candidate in sorted(candidates, key=_cost):
            longest_s = max_wait_s(candidate)
            is_shared = gateways > candidate.upstream.slots
            if is_found or not is_shared or candidate.wait_s > longest_s:
                yield candidate
                continue
            room = _room(candidate, longest_s)
            is_found = self._rng.random() * demand < room
            demand -= room
            yield candidate if is_found else _filled(candidate, longest_s)


def _own_fraction(candidates: Sequence[Candidate], gateways: int) -> float:
    """Return this gateway's part of the requests of all.

    Half of it is an even part, the other that of the requests in flight.
    """
    even = 1 / max(gateways, 1)
    own = sum(one.in_flight for one in candidates)
    total = sum(one.busy for one in candidates)
    if not total:
        return even
    return max(even, (even + own / total) / 2)


def _room(candidate: Candidate, max_wait_s: float) -> float:
    """Return how many requests an upstream accepts until the next report."""
    free = candidate.upstream.slots - candidate.busy
    queue_s = candidate.queue_s
    return max(free + max_wait_s / queue_s, 0) + _REPORT_DELAY_S / queue_s


def _filled(candidate: Candidate, max_wait_s: float) -> Candidate:
    """Return a candidate as it looks once its room is used."""
    return attrs.evolve(candidate, wait_s=max_wait_s + candidate.queue_s)


def _cost(candidate: Candidate) -> float:
    return candidate.cost_s
