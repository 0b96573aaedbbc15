"""Deployments with nine entries and their callers on virtual time."""

import asyncio
import functools
import itertools
import random
from collections.abc import Callable

import attrs

from bench.steering_baselines import BASELINES, Baseline
from bench.steering_deployments import Deployment
from nutmegshore.callers import CallerForwarder, CallerRequest
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.resources import Envelope, parse_spec
from nutmegshore.steering import Steering, SteeringDependencies
from nutmegshore.upstreams import (
    AnswerReceiver,
    MemoryUpstream,
    MemoryUpstreams,
)

__all__ = (
    'SAMPLE_S',
    'Outcome',
    'Scenario',
    'World',
    'run_scenario',
)

SAMPLE_S = 0.05
_REPORT_S = 0.1
_MS_PER_S = 1000
_ZONES = 'ab'


@attrs.frozen
class Scenario:
    """What one run offers.

    `load(region, seconds)` gives the offered load as a share of the region's
    slots. `lag_s` is the age of the upstreams' reports. `act(world)` runs
    beside the callers. `more` are further objects: (kind, name, spec).
    """

    deployment: Deployment
    policy: str
    load: Callable[[str, float], float]
    seconds: float
    lag_s: float = 0
    service_time_s: float = 0.05
    deadline_ms: int = 1000
    queue_limit: int = 100
    act: Callable[['World'], object] | None = None
    more: tuple[tuple[str, str, dict], ...] = ()


@attrs.frozen
class Outcome:
    """What one caller saw, on the session's clock."""

    region: str
    began_at: float
    ended_at: float
    failure: ErrorKind | None


class _Sink(AnswerReceiver):
    async def begin(self, head) -> None:
        """Ignore the head."""

    async def receive(self, chunk: bytes) -> None:
        """Ignore the body."""


@attrs.define
class _Entry:
    member: Member
    policy: Steering | Baseline
    forwarder: CallerForwarder
    counters: Counters


class World:
    """Entries, upstreams and callers of one run, and what they recorded."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Build everything; `run` offers the load."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self._seed = seed
        self.table = ConfigurationTable()
        self.network = MemoryNetwork()
        self.upstreams = MemoryUpstreams(VirtualClock(), self.rng, _no_delay)
        self.entries: dict[str, _Entry] = {}
        self.outcomes: list[Outcome] = []
        self.samples: list[dict[str, int]] = []
        self._calls: set[asyncio.Task] = set()
        self._declare()
        self._build_entries()

    def declare(self, kind: str, name: str, spec: dict | None) -> None:
        """Declare an object that is in force at once at all entries."""
        present = self.table.get(f'config/{kind}/{name}')
        generation = present.generation + 1 if present else 1
        self.table.merge(
            [
                Envelope(
                    kind=kind,
                    name=name,
                    generation=generation,
                    uid='u',
                    author='bench',
                    reason='',
                    operation=str(generation),
                    spec=None if spec is None else parse_spec(kind, spec),
                    is_deleted=spec is None,
                ),
            ],
        )

    async def run(self) -> None:
        """Offer the load and wait for the last answer."""
        steered = [
            entry.policy
            for entry in self.entries.values()
            if isinstance(entry.policy, Steering)
        ]
        await asyncio.gather(*(policy.start() for policy in steered))
        beside = [
            asyncio.create_task(self._report()),
            asyncio.create_task(self._sample()),
        ]
        if self.scenario.act is not None:
            beside.append(asyncio.create_task(self.scenario.act(self)))
        regions = self.scenario.deployment.regions
        await asyncio.gather(*map(self._offer, regions))
        await asyncio.gather(*self._calls)
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        await asyncio.gather(*(policy.stop() for policy in steered))

    def _declare(self) -> None:
        found = self.scenario.deployment
        for region in found.regions:
            self._declare_region(region)
        spec = {
            'idempotent': True,
            'latency_weight': found.latency_weight,
            'headroom_weight': 1 - found.latency_weight,
            'deadline_ms': self.scenario.deadline_ms,
        }
        self.declare('service', found.service, spec)
        for index in range(found.upstreams):
            self._declare_upstream(index)
        for kind, name, more in self.scenario.more:
            self.declare(kind, name, more)

    def _declare_region(self, region: str) -> None:
        found = self.scenario.deployment
        delay_ms = found.region_delay_s * _MS_PER_S
        others = {other: delay_ms for other in found.regions if other != region}
        zones = [f'{region}-{zone}' for zone in _ZONES]
        spec = {'availability_zones': zones, 'delay_ms': others}
        self.declare('region', region, spec)

    def _declare_upstream(self, index: int) -> None:
        found = self.scenario.deployment
        region = found.region_of(index)
        zone = _ZONES[index // len(found.regions) % len(_ZONES)]
        spec = {
            'service': found.service,
            'region': region,
            'availability_zone': f'{region}-{zone}',
            'address': '127.0.0.1:1',
            'slots': found.slots,
        }
        name = '{0}-{1:02}'.format(found.service, index)
        self.declare('upstream', name, spec)
        self.upstreams.by_name[name] = MemoryUpstream(
            slots=found.slots,
            service_time_s=self.scenario.service_time_s,
            queue_limit=self.scenario.queue_limit,
        )

    def _build_entries(self) -> None:
        found = self.scenario.deployment
        for one, other in itertools.combinations(found.regions, 2):
            self.network.set_delay(one, other, found.region_delay_s)
        for region in found.regions:
            for index in range(found.entries_per_region):
                zone = _ZONES[index % len(_ZONES)]
                self._build_entry(
                    Member(f'{region}-{index}', region, f'{region}-{zone}'),
                )

    def _build_entry(self, member: Member) -> None:
        clock = VirtualClock()
        counters = Counters()
        rng = random.Random(self.rng.random())
        baseline = BASELINES.get(self.scenario.policy)
        if baseline is None:
            around = SteeringDependencies(
                clock=clock,
                counters=counters,
                peers=self.network.join(member, clock),
                availability_zone=member.availability_zone,
            )
            policy = Steering(self.table, member.region, rng, around)
        else:
            policy = baseline(self.table, member.region, rng)
        client = self.upstreams.client(clock, _delays_from(self, member))
        self.entries[member.name] = _Entry(
            member,
            policy,
            CallerForwarder(policy, client, clock, counters),
            counters,
        )

    async def _offer(self, region: str) -> None:
        scenario = self.scenario
        slots = scenario.deployment.slots_in(region)
        loop = asyncio.get_running_loop()
        entries = [
            entry
            for entry in self.entries.values()
            if entry.member.region == region
        ]
        # A generator of its own gives every policy the same arrivals.
        rng = random.Random('{0} {1}'.format(self._seed, region))
        while loop.time() < scenario.seconds:
            share = scenario.load(region, loop.time())
            rate = max(share * slots / scenario.service_time_s, 1)
            await asyncio.sleep(rng.expovariate(rate))
            call = asyncio.create_task(self._call(rng.choice(entries)))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, entry: _Entry) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        request = CallerRequest(
            request_id=str(self.rng.random()),
            service=self.scenario.deployment.service,
            method='GET',
            target='/',
            headers=(),
        )
        failure = None
        try:
            await entry.forwarder.forward(request, _Sink())
        except RequestError as found:
            failure = found.kind
        region = entry.member.region
        self.outcomes.append(Outcome(region, began_at, loop.time(), failure))

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.samples.append(self._inside())

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_REPORT_S)
            loop.call_later(self.scenario.lag_s, self._tell, self._inside())

    def _inside(self) -> dict[str, int]:
        return {
            name: one.inside for name, one in self.upstreams.by_name.items()
        }

    def _tell(self, reports: dict[str, int]) -> None:
        for entry in self.entries.values():
            for name, busy in reports.items():
                entry.policy.record_report(name, busy)


def _delays_from(world: World, member: Member) -> Callable[[str], float]:
    found = world.scenario.deployment
    delays = {}
    for name in world.upstreams.by_name:
        spec = world.table.get(f'config/upstream/{name}').spec
        delays[name] = float(0)
        if spec.region != member.region:
            delays[name] = found.region_delay_s
        elif spec.availability_zone != member.availability_zone:
            delays[name] = found.zone_delay_s
    return delays.__getitem__


def _no_delay(name: str) -> float:
    return 0


def run_scenario(scenario: Scenario, seed: int) -> World:
    """Run one scenario on virtual time and return what was recorded."""

    return run_virtual(functools.partial(_session, scenario, seed))


async def _session(scenario: Scenario, seed: int) -> World:
    world = World(scenario, seed)
    await world.run()
    return world
