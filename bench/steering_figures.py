"""Figures of one run, and the bound that no policy can be below."""

import heapq
import itertools
import math
import random
from collections.abc import Iterator

from bench.steering_deployments import Deployment
from bench.steering_world import SAMPLE_S, World

__all__ = ('PERCENTILES', 'least_headroom', 'percentile_ms', 'pooled_ms')

PERCENTILES = (50, 99, 99.9)
_PERCENT = 100
_MS_PER_S = 1000
#: What callers see in this time is left out, while the slow starts last.
_SETTLE_S = 1
_POOLED_REQUESTS = 60_000


def percentile_ms(world: World, percent: float) -> float:
    """Latency of answered requests after the start has settled."""
    found = sorted(
        one.ended_at - one.began_at
        for one in world.outcomes
        if one.failure is None and one.began_at > _SETTLE_S
    )
    if not found:
        return math.inf
    index = int(len(found) * percent / _PERCENT)
    return found[min(index, len(found) - 1)] * _MS_PER_S


def least_headroom(world: World) -> float:
    """Free share of the slots of the upstream that was busiest on average."""
    slots = world.scenario.deployment.slots
    settled = list(
        itertools.islice(
            world.samples,
            int(_SETTLE_S / SAMPLE_S),
            None,
        ),
    )
    busiest = max(
        sum(min(sample[name], slots) for sample in settled)
        for name in world.upstreams.by_name
    )
    return 1 - busiest / (slots * len(settled))


def pooled_ms(
    deployment: Deployment,
    load: float,
    service_time_s: float,
    seed: int,
) -> dict[float, float]:
    """Latency of one queue per region in front of all its slots (M/M/k).

    No policy without a shared queue can be below this bound.
    """
    rng = random.Random(seed)
    found = sorted(
        itertools.chain.from_iterable(
            _pooled_s(deployment.slots_in(region), load, service_time_s, rng)
            for region in deployment.regions
        ),
    )
    return {
        percent: found[int(len(found) * percent / _PERCENT)] * _MS_PER_S
        for percent in PERCENTILES
    }


def _pooled_s(
    slots: int,
    load: float,
    service_time_s: float,
    rng: random.Random,
) -> Iterator[float]:
    mean_gap_s = service_time_s / (load * slots)
    free_at = [float(0) for _ in range(slots)]
    now = float(0)
    for _ in range(_POOLED_REQUESTS):
        now += rng.expovariate(1 / mean_gap_s)
        began_at = max(now, heapq.heappop(free_at))
        ended_at = began_at + rng.expovariate(1 / service_time_s)
        heapq.heappush(free_at, ended_at)
        yield ended_at - now
