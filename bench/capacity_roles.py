"""Costs of caps, slot messages, keyed records and status writes by size."""

import asyncio
import collections
import random
import time
from functools import partial

import attrs
import msgpack

from bench.caps_fleet import Fleet, FleetOptions
from bench.capacity_cluster import make_envelope
from bench.steering_deployments import VESTFOLD
from bench.steering_world import Scenario, World
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.once import KeyedRequest, OnceRecords, RecordedAnswer
from nutmegshore.operators import StatusBoard, StatusWriter
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore

__all__ = ('measure_caps', 'measure_once', 'measure_slots', 'measure_status')

_CAP = 900
_WARM_S = 10
_CAPS_S = 20
_SLOTS_S = 1
_STATUS_S = 60
_LOAD = 0.8
_NINE = 9
_DONE_STATUS = 200
_REGIONS = 3
_SLOT_NUMBERS = frozenset((33, 34, 35))


def measure_caps(size: int, seed: int) -> dict[str, float]:
    """Per second, one cap whose demand is at one instance."""
    return run_virtual(partial(_run_caps, size, seed))


def measure_slots(size: int, seed: int) -> dict[str, float]:
    """Slot messages and bytes per entry and second, and requests."""
    return run_virtual(partial(_run_slots, size, seed))


def measure_once(requests: int) -> dict[str, float]:
    """Platform calls, processor time and stored bytes per keyed request."""
    return run_virtual(partial(_run_once, requests))


def measure_status(count: int, seed: int) -> dict[str, float]:
    """Status writes/s of a region whose objects all change for a minute."""
    return run_virtual(partial(_run_status, count, seed))


async def _run_caps(size: int, seed: int) -> dict[str, float]:
    options = FleetOptions(seed=seed, count=size, cap=_CAP)
    fleet = Fleet(options, _one_heavy)
    await fleet.start()
    await asyncio.sleep(_WARM_S)
    before = _totals(fleet)
    await asyncio.sleep(_CAPS_S)
    after = _totals(fleet)
    await fleet.stop()
    return {name: (after[name] - before[name]) / _CAPS_S for name in after}


def _one_heavy(name: str, at: float) -> float:
    return 2 * _CAP if name == 'e0' else 0


def _totals(fleet: Fleet) -> dict[str, float]:
    calls = fleet.store.call_counts
    return {
        'messages': sum(fleet.network.sent_messages.values()),
        'bytes': sum(fleet.network.sent_bytes.values()),
        'reads': calls['read'] + calls['watch'],
        'writes': calls['write'],
        'cpu_s': time.process_time(),
    }


async def _run_slots(size: int, seed: int) -> dict[str, float]:
    deployment = attrs.evolve(
        VESTFOLD,
        upstreams=VESTFOLD.upstreams * size // _NINE,
        entries_per_region=size // _REGIONS,
    )
    world = World(Scenario(deployment, 'steering', _offer, _SLOTS_S), seed)
    counted: collections.Counter[str] = collections.Counter()
    carry = partial(_count_slots, counted, world.network.carry)
    world.network.carry = carry
    await world.run()
    counted['requests'] = len(world.outcomes)
    shared = size * _SLOTS_S
    return {name: found / shared for name, found in counted.items()}


def _offer(region: str, seconds: float) -> float:
    return _LOAD


def _count_slots(counted, carry, source, name: str, frame: bytes) -> None:
    if msgpack.unpackb(frame, strict_map_key=False)[0] in _SLOT_NUMBERS:
        counted['messages'] += 1
        counted['bytes'] += len(frame)
    carry(source, name, frame)


async def _run_once(requests: int) -> dict[str, float]:
    store = MemoryStore()
    records = _make_records(store)
    began = time.process_time()
    await asyncio.gather(*[_claim(records, one) for one in range(requests)])
    await records.stop(_WARM_S)
    spent = time.process_time() - began
    stored = sum(len(one.body) for one in store.by_key.values())
    return {
        'reads': store.call_counts['read'] / requests,
        'writes': store.call_counts['write'] / requests,
        'stored': stored / requests,
        'cpu_s': spent / requests,
    }


def _make_records(store: MemoryStore) -> OnceRecords:
    clock = VirtualClock()
    member = Member('e1', 'west', 'west-a')
    peers = MemoryNetwork().join(member, clock)
    platform = MemoryPlatform(store, clock)
    return OnceRecords(platform, peers, clock, Counters(), random.Random(1))


async def _claim(records: OnceRecords, number: int) -> None:
    request = KeyedRequest('orders', '', str(number), 'digest', _WARM_S)
    claim = await records.begin(request)
    claim.finish(RecordedAnswer(_DONE_STATUS))


async def _run_status(count: int, seed: int) -> dict[str, float]:
    store = MemoryStore()
    writer = _make_writer(store, count, seed)
    began = time.process_time()
    writer.start()
    await asyncio.sleep(_STATUS_S)
    await writer.stop()
    spent = time.process_time() - began
    stored = sum(len(one.body) for one in store.by_key.values())
    return {
        'writes': store.call_counts['write'] / _STATUS_S,
        'stored': stored / max(len(store.by_key), 1),
        'cpu_s': spent / _STATUS_S,
    }


def _make_writer(store: MemoryStore, count: int, seed: int) -> StatusWriter:
    table = ConfigurationTable()
    clock = VirtualClock()
    raw = {'region': 'west'}
    names = [f'd{index}' for index in range(count)]
    table.merge([make_envelope('drain', name, raw) for name in names])
    return StatusWriter(
        MemoryPlatform(store, clock),
        StatusBoard(table, 'west', clock.now, lambda envelope: ['e1']),
        clock,
        lambda: True,
        Counters(),
        random.Random(seed),
    )
