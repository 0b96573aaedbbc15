"""Tests of complete steering decisions on virtual time."""

import asyncio
import random

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.steering import (
    CapGate,
    DrainState,
    RouteRequest,
    Steering,
    SteeringDependencies,
)

_LOST = ErrorKind.UPSTREAM_LOST


class _OpenGate(CapGate):
    """Admits a number of units and records them."""

    def __init__(self, units):
        self.units = units
        self.acquired = []

    def try_acquire(self, kind, name, size_bytes=0):
        """Acquire a unit while one is available."""
        if len(self.acquired) >= self.units:
            return False
        self.acquired.append((kind, name))
        return True

    def release_unit(self, kind, name):
        """Release a unit."""
        self.acquired.remove((kind, name))


class _Cluster:
    """One entry in each of two regions, with three upstreams in each."""

    def __init__(self, declare, gate=None, more=()):
        self.declare = declare
        self.table = ConfigurationTable()
        self.table.merge([*self._declared(), *more])
        self.network = MemoryNetwork()
        self.counters = Counters()
        self.entries = {}
        for region in ('west', 'south'):
            clock = VirtualClock()
            member = Member(f'e-{region}', region, f'{region}-a')
            dependencies = {'gate': gate} if gate else {}
            self.entries[region] = Steering(
                self.table,
                region,
                random.Random(region),
                SteeringDependencies(
                    clock=clock,
                    counters=self.counters,
                    peers=self.network.join(member, clock),
                    **dependencies,
                ),
            )

    async def __aenter__(self):
        for entry in self.entries.values():
            await entry.start()
        await asyncio.sleep(0.6)
        return self

    async def __aexit__(self, *failure):
        for entry in self.entries.values():
            await entry.stop()

    async def warm(self):
        """Serve enough requests for the slow starts to end."""
        for _ in range(60):
            for entry in self.entries.values():
                permits = [await self.get(entry) for _ in range(3)]
                for permit in permits:
                    permit.release()

    async def get(self, entry, **options):
        """Acquire a permit with a deadline in 10 s."""
        deadline = asyncio.get_running_loop().time() + 10
        return await entry.acquire(RouteRequest('s', deadline, **options))

    def _declared(self):
        service = {'queue_target_ms': 100, 'idempotent': True}
        yield self.declare('service', 's', service)
        for region, other in (('west', 'south'), ('south', 'west')):
            near = {'availability_zones': ['a'], 'delay_ms': {other: 12}}
            yield self.declare('region', region, near)
            for index in range(3):
                spec = {
                    'service': 's',
                    'region': region,
                    'availability_zone': f'{region}-a',
                    'address': '127.0.0.1:1',
                    'slots': 4,
                }
                yield self.declare('upstream', f'{region}-{index}', spec)


def _run(declare, check, **options):
    async def session():
        async with _Cluster(declare, **options) as cluster:
            await check(cluster)

    run_virtual(session)


@pytest.fixture
def shift(declare):
    """Shift of everything from west to south."""
    spec = {
        'service': 's',
        'from_region': 'west',
        'to_region': 'south',
        'share': 1,
        'cap': 5,
    }
    return declare('shift', 'm', spec)


@pytest.mark.parametrize(
    ('units', 'expected'),
    [(0, 'no_unit'), (2, 'no_room')],
)
def test_a_shift_moves_only_with_a_unit(units, expected, declare, shift):
    """Guards against a shift that goes above its cap."""
    gate = _OpenGate(units)

    async def check(cluster):
        await cluster.warm()
        cluster.table.merge([shift])
        west = cluster.entries['west']
        permits = [await cluster.get(west) for _ in range(4)]
        moved = [one for one in permits if one.upstream.region == 'south']
        assert len(moved) == min(units, 1)
        assert all(one.origins[-1].name == 'm' for one in moved)
        assert len(gate.acquired) == len(moved)
        obstacle = west.components.shifts.held_back_by('m')
        assert obstacle == expected

    _run(declare, check, gate=gate)


def test_a_shift_without_a_gate_moves_nothing(declare, shift):
    """Guards against a cap that is ignored when the gate is missing."""

    async def check(cluster):
        await cluster.warm()
        cluster.table.merge([shift])
        permit = await cluster.get(cluster.entries['west'])
        assert permit.upstream.region == 'west'

    _run(declare, check)


def test_a_shift_ramps_from_its_arrival(declare, shift):
    """Guards against a ramp that jumps to the whole share."""
    spec = {
        'service': 's',
        'from_region': 'west',
        'to_region': 'south',
        'share': 1,
        'cap': 5,
        'ramp_seconds': 1000,
    }

    async def check(cluster):
        await cluster.warm()
        cluster.table.merge([declare('shift', 'm', spec)])
        permit = await cluster.get(cluster.entries['west'])
        assert permit.upstream.region == 'west'

    _run(declare, check, gate=_OpenGate(9))


def test_a_limit_refuses_without_a_unit(declare):
    """Guards against a declared limit that is not enforced."""
    limit = declare('limit', 'l', {'service': 's', 'concurrency': 1})

    async def check(cluster):
        west = cluster.entries['west']
        permit = await cluster.get(west)
        with pytest.raises(RequestError) as caught:
            await cluster.get(west)
        assert caught.value.kind is ErrorKind.CAP_REACHED
        permit.release()
        await cluster.get(west)

    _run(declare, check, gate=_OpenGate(1), more=[limit])


def test_a_full_region_spills_into_free_slots_then_queues(declare):
    """Guards against spill that overloads the next region."""

    async def check(cluster):
        await cluster.warm()
        west = cluster.entries['west']
        tasks = [
            asyncio.create_task(cluster.get(west, body_bytes=0))
            for _ in range(60)
        ]
        await asyncio.sleep(0.5)
        ended = [task for task in tasks if task.done()]
        permits = [task.result() for task in ended if not task.exception()]
        regions = [one.upstream.region for one in permits]
        assert regions.count('west') <= 12
        assert regions.count('south') <= 12
        for task in tasks:
            task.cancel()

    _run(declare, check)


@pytest.mark.parametrize('units', [0, 2])
def test_a_full_region_spills_within_the_cap_of_a_shift(units, declare, shift):
    """Guards against a spill that goes above the cap beside the shift."""
    gate = _OpenGate(1000)

    async def check(cluster):
        await cluster.warm()
        idle = attrs.evolve(shift, spec=attrs.evolve(shift.spec, share=0))
        cluster.table.merge([idle])
        gate.units = len(gate.acquired) + units
        west = cluster.entries['west']
        tasks = [asyncio.create_task(cluster.get(west)) for _ in range(60)]
        await asyncio.sleep(0.5)
        ended = [task for task in tasks if task.done()]
        permits = [task.result() for task in ended if not task.exception()]
        regions = [one.upstream.region for one in permits]
        for task in tasks:
            task.cancel()
        assert regions.count('south') == units
        assert regions.count('west') > 0

    _run(declare, check, gate=gate)


def test_every_entry_stops_sending_to_a_leaving_upstream(declare):
    """Guards against requests that a peer sends to a leaving upstream."""

    async def check(cluster):
        cluster.entries['south'].record_leaving('west-0')
        await asyncio.sleep(0.001)
        west = cluster.entries['west']
        names = set()
        for _ in range(30):
            permit = await cluster.get(west)
            names.add(permit.name)
            permit.release()
        assert 'west-0' not in names
        west.record_listed('west-0', is_leaving=False)
        assert 'west-0' not in west.components.leaving

    _run(declare, check)


def test_the_first_failure_stays_the_outcome(declare):
    """Guards against "not run" reported for a request that may have run."""

    async def check(cluster):
        west = cluster.entries['west']
        permit = await cluster.get(west)
        permit.release(_LOST)
        with pytest.raises(RequestError) as caught:
            await cluster.get(
                west,
                excluded=frozenset((permit.name,)),
                failed_with=_LOST,
            )
        assert caught.value.kind is _LOST
        for _ in range(20):
            (await cluster.get(west)).release()
        with pytest.raises(RequestError) as caught:
            await cluster.get(
                west,
                excluded=frozenset((permit.name,)),
                is_allowed=lambda name: False,
            )
        assert caught.value.kind is _LOST

    _run(declare, check)


def test_a_failed_region_is_skipped_by_the_declared_rule(declare):
    """Guards against callers that wait for a failed region."""
    spec = {
        'trigger': 'region_failed',
        'action': 'spread',
        'after_seconds': 1,
    }

    async def check(cluster):
        await cluster.warm()
        west = cluster.entries['west']
        (await cluster.get(west)).release(_LOST)
        await asyncio.sleep(1.5)
        regions = []
        for _ in range(6):
            permit = await cluster.get(west)
            regions.append(permit.upstream.region)
            failure = _LOST if permit.upstream.region == 'west' else None
            permit.release(failure)
        # The request to the failed region is its probe.
        assert regions.count('west') == 1
        explained = west.explain('s', 'west')
        assert 'rule' in str(explained.skipped)

    _run(declare, check, more=[declare('rule', 'r', spec)])


def test_a_drain_of_a_region_holds_without_headroom(declare):
    """Guards against a drain that overloads the remaining region."""

    async def check(cluster):
        await cluster.warm()
        west, south = cluster.entries['west'], cluster.entries['south']
        busy = [await cluster.get(south) for _ in range(12)]
        used = [await cluster.get(west) for _ in range(12)]
        await asyncio.sleep(0.6)
        cluster.table.merge([declare('drain', 'd', {'region': 'west'})])
        await asyncio.sleep(3)
        held = west.drain_progress()[0]
        assert held.state is DrainState.HELD
        assert held.needed_slots > held.free_slots
        for permit in (*busy, *used):
            permit.release()
        await asyncio.sleep(5)
        assert west.drain_progress()[0].state is DrainState.DONE
        permit = await cluster.get(west)
        assert permit.upstream.region == 'south'

    _run(declare, check)


def test_a_permit_is_released_once(declare):
    """Guards against slots that are counted as free twice."""

    async def check(cluster):
        west = cluster.entries['west']
        permit = await cluster.get(west)
        permit.release()
        permit.release()
        assert west.components.estimate.own[permit.name] == 0

    _run(declare, check)
