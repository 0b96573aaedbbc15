"""Traffic and processor time of a cluster, without and with steering."""

import asyncio
import random
import time

import attrs

from bench.peers_cluster import Cluster, Process
from nutmegshore.clock import run_virtual
from nutmegshore.resources import Envelope, parse_spec
from nutmegshore.steering import Steering, SteeringDependencies

__all__ = (
    'ClusterCost',
    'Rate',
    'make_envelope',
    'make_upstream',
    'measure_cluster',
)

_SETTLE_S = 12
_WINDOW_S = 5
_BUSY_UPSTREAMS = 3
_UPSTREAMS_PER_ENTRY = 4


@attrs.frozen
class Rate:
    """Per member and second: frames sent, their bytes, processor seconds."""

    messages: float
    sent: float
    cpu_s: float

    def less(self, other: 'Rate') -> 'Rate':
        """What is above another rate."""
        return Rate(
            self.messages - other.messages,
            self.sent - other.sent,
            self.cpu_s - other.cpu_s,
        )


@attrs.frozen
class ClusterCost:
    """Costs at one size; `largest` is the busiest member's sent bytes/s."""

    size: int
    quiet: Rate
    load: Rate
    largest: float
    reads: float
    writes: float


def make_envelope(kind: str, name: str, raw: dict) -> Envelope:
    """A declared object for the benches."""
    return Envelope(
        kind=kind,
        name=name,
        generation=1,
        uid='u',
        author='bench',
        reason='',
        operation='1',
        spec=parse_spec(kind, raw),
        is_deleted=False,
    )


def make_upstream(region: str) -> dict:
    """Spec of an upstream of service `s`."""
    return {
        'service': 's',
        'region': region,
        'availability_zone': f'{region}-a',
        'address': '127.0.0.1:1',
        'slots': _BUSY_UPSTREAMS,
    }


def measure_cluster(size: int, seed: int) -> ClusterCost:
    """Run one size on virtual time."""
    return run_virtual(lambda: _run(size, seed))


async def _run(size: int, seed: int) -> ClusterCost:
    cluster = Cluster(size, seed)
    await cluster.boot()
    _declare(cluster)
    await asyncio.sleep(_SETTLE_S)
    calls = dict(cluster.store.call_counts)
    quiet = await _window(cluster)
    reads = _per_s(cluster, calls, ('read', 'watch'))
    writes = _per_s(cluster, calls, ('write',))
    load, largest = await _run_steered(cluster, seed)
    await cluster.stop()
    return ClusterCost(size, quiet, load.less(quiet), largest, reads, writes)


def _declare(cluster: Cluster) -> None:
    declared = _declared(cluster)
    for process in cluster.by_name.values():
        process.table.merge(declared)


async def _run_steered(cluster: Cluster, seed: int) -> tuple[Rate, float]:
    steered = [_steer(one, seed) for one in cluster.by_name.values()]
    await asyncio.gather(*[one.start() for one in steered])
    await asyncio.sleep(_SETTLE_S)
    before = dict(cluster.network.sent_bytes)
    load = await _window(cluster)
    after = cluster.network.sent_bytes
    await asyncio.gather(*[one.stop() for one in steered])
    largest = max(after[name] - before[name] for name in cluster.names)
    return load, largest / _WINDOW_S


def _per_s(
    cluster: Cluster,
    before: dict[str, int],
    calls: tuple[str, ...],
) -> float:
    counts = cluster.store.call_counts
    total = sum(counts[call] for call in calls)
    earlier = sum(before.get(call, 0) for call in calls)
    return (total - earlier) / _WINDOW_S


async def _window(cluster: Cluster) -> Rate:
    network = cluster.network
    sent = sum(network.sent_bytes.values())
    messages = sum(network.sent_messages.values())
    began = time.process_time()
    await asyncio.sleep(_WINDOW_S)
    spent = time.process_time() - began
    shared = _WINDOW_S * cluster.size
    return Rate(
        (sum(network.sent_messages.values()) - messages) / shared,
        (sum(network.sent_bytes.values()) - sent) / shared,
        spent / shared,
    )


def _declared(cluster: Cluster) -> list[Envelope]:
    regions = ('west', 'north', 'south')
    found = [
        make_envelope('region', one, {'availability_zones': [f'{one}-a']})
        for one in regions
    ]
    weights = {'latency_weight': 0.5, 'headroom_weight': 0.5}
    service = {'idempotent': True, 'deadline_ms': 1000, **weights}
    found.append(make_envelope('service', 's', service))
    for index in range(cluster.size * _UPSTREAMS_PER_ENTRY):
        region = regions[index % len(regions)]
        name = 's-{0:04}'.format(index)
        found.append(make_envelope('upstream', name, make_upstream(region)))
    return found


def _steer(process: Process, seed: int) -> Steering:
    peers = process.peers
    region = peers.local.region
    around = SteeringDependencies(
        clock=process.clock,
        peers=peers,
        availability_zone=peers.local.availability_zone,
    )
    rng = random.Random(f'{seed} {process.name}')
    steering = Steering(process.table, region, rng, around)
    for choice in steering.plan.choices['s'][:1]:
        names = sorted(choice.upstreams)
        for name in rng.sample(names, _BUSY_UPSTREAMS):
            steering.components.estimate.own[name] = 1
    return steering
