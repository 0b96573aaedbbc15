"""Seeded fault schedules and the judge of config_revert."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import attrs

from bench.peers_cluster import Cluster, Process
from nutmegshore.clock import run_virtual
from nutmegshore.store import Expected
from nutmegshore.resources import Envelope, write_envelope

__all__ = ('Judge', 'Verdict', 'run_schedule')

_SIZE = 9
_FAULTS_S = 60
_HEAL_S = 40
_SAMPLE_S = 0.1
#: What a ready neighbour had this long before must be in a table that turns
#: ready: pushes and one exchange are under way for less.
_LAG_SAMPLES = 30
_KEYS = (
    ('drain', 'd1'),
    ('drain', 'd2'),
    ('service', 's1'),
    ('region', 'r1'),
)
_SPECS = MappingProxyType(
    {
        'drain': ({'region': 'west'}, {'region': 'north'}),
        'service': ({'idempotent': True}, {'idempotent': False}),
        'region': (
            {'availability_zones': ['a']},
            {'availability_zones': ['a', 'b']},
        ),
    }
)
_REGIONS = ('west', 'north', 'south')
_LONGEST_FAULT_S = 15
_LONGEST_PAUSE_S = 10
_QUICK_S = 0.005
#: Generations by key, and those by member.
_Generations = dict[str, int]
_Sample = dict[str, _Generations]


@attrs.define
class Verdict:
    """What the recorded tables show of one schedule."""

    seed: int
    accepted: int = 0
    reverts: list[str] = attrs.field(factory=list)
    stale_ready: list[str] = attrs.field(factory=list)
    #: Accepted generations that are not in force in the end.
    lost: list[str] = attrs.field(factory=list)
    is_converged: bool = False
    failures: list[str] = attrs.field(factory=list)

    @property
    def is_sound(self) -> bool:
        """Whether nothing is wrong."""
        faults = (self.reverts, self.stale_ready, self.lost, self.failures)
        return self.is_converged and not any(faults)


class Judge:
    """Samples every table and compares with what it was before."""

    def __init__(self, cluster: Cluster, verdict: Verdict) -> None:
        """Judge a cluster's processes."""
        self._cluster = cluster
        self._verdict = verdict
        self._last: dict[Process, _Generations] = {}
        self._ready: set[Process] = set()
        self._past: list[_Sample] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_S)

    def sample(self) -> None:
        """Take the generations of all tables once."""
        ready = {}
        for name, process in self._cluster.by_name.items():
            now = process.generations()
            self._compare(process, now)
            self._last[process] = now
            if process.is_ready:
                ready[name] = now
                if process not in self._ready:
                    self._ready.add(process)
                    self._check_ready(process, now)
        self._past.append(ready)

    def _compare(self, process: Process, now: _Generations) -> None:
        for key, before in self._last.get(process, {}).items():
            if now.get(key, 0) < before:
                found = f'{process.name} {key} {before} to {now.get(key)}'
                self._verdict.reverts.append(found)

    def _check_ready(self, process: Process, now: _Generations) -> None:
        if len(self._past) < _LAG_SAMPLES:
            return
        past = self._past[-_LAG_SAMPLES]
        # Neighbours that were linked all the time: a link that is just up or
        # stalls in a partition has told nothing.
        for name in self._linked(process):
            for key, generation in past.get(name, {}).items():
                if now.get(key, 0) < generation:
                    found = f'{process.name} {key} older than at {name}'
                    self._verdict.stale_ready.append(found)

    def _linked(self, process: Process) -> list[str]:
        links = process.links()
        return [
            name
            for name, link in sorted(links.items())
            if name in self._cluster.by_name
            and not self._cluster.by_name[name].is_paused
            # A link that lost a frame in a cut carries nothing any more.
            and not (link.is_broken or link.other.is_broken)
        ]


Step = Callable[[], Awaitable[None]]


class _Faults:
    """Faults of processes, network and store, drawn from a seed."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """Work on a booted cluster."""
        self._cluster = cluster
        self._rng = rng

    async def partition(self) -> None:
        """Cut two regions from each other."""
        one, other = self._rng.sample(_REGIONS, 2)
        self._cluster.network.partition(one, other)

    async def cut_one_way(self) -> None:
        """Cut one direction between two members or regions."""
        ends = [*self._cluster.names, *_REGIONS]
        self._cluster.network.cut(*self._rng.sample(ends, 2))

    async def mend(self) -> None:
        """End all cuts."""
        self._cluster.network.heal()

    async def kill(self) -> None:
        """End a process, if most are there."""
        if len(self._cluster.by_name) > _SIZE // 2:
            await self._cluster.kill(self._name())

    async def restart(self) -> None:
        """Start a dead one, or end and start one."""
        cluster = self._cluster
        dead = sorted(set(cluster.names) - set(cluster.by_name))
        if not dead:
            dead = [self._name()]
            await cluster.kill(dead[0])
        name = self._rng.choice(dead)
        if name not in cluster.by_name:
            cluster.start(name)

    async def pause(self) -> None:
        """Stop a process for up to 10 s."""
        process = self._cluster.by_name[self._name()]
        process.clock.pause(self._rng.uniform(1, _LONGEST_PAUSE_S))

    async def store_down(self) -> None:
        """Take the store away for a while, for all or for one."""
        targets = [self._cluster.store]
        targets.append(self._cluster.by_name[self._name()].platform)
        faults = self._rng.choice(targets).faults
        faults.is_down = True
        await asyncio.sleep(self._rng.uniform(1, _LONGEST_FAULT_S))
        faults.is_down = False

    async def store_slow(self) -> None:
        """Let each call take up to 3 s for a while."""
        faults = self._cluster.store.faults
        faults.delay_s = self._rng.uniform(0.5, 3)
        await asyncio.sleep(self._rng.uniform(1, _LONGEST_PAUSE_S))
        faults.delay_s = _QUICK_S

    async def lose_answers(self) -> None:
        """Lose the answers of the next writes."""
        self._cluster.store.faults.lost_answers = 2

    async def lag(self) -> None:
        """Serve one process from a replica that stands still."""
        platform = self._cluster.by_name[self._name()].platform
        platform.freeze()
        await asyncio.sleep(self._rng.uniform(1, _LONGEST_FAULT_S))
        platform.frozen = None

    async def list_wrong(self) -> None:
        """Let the list name some of the dead and miss some of the living."""
        cluster = self._cluster
        count = self._rng.randint(0, _SIZE)
        cluster.list_instances(self._rng.sample(cluster.names, count))

    def _name(self) -> str:
        return self._rng.choice(sorted(self._cluster.by_name))


class _Writes:
    """Writes of operators, and some past the operator API."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """Work on a booted cluster."""
        self.accepted: list[Envelope] = []
        #: Keys that were written past the operator API.
        self.tampered: set[str] = set()
        self._cluster = cluster
        self._rng = rng

    async def write(self) -> None:
        """One writer changes or deletes an object."""
        key = self._rng.choice(_KEYS)
        await self._declare(key, self._spec(key[0]))

    async def race(self) -> None:
        """Two writers change one object at once."""
        key = self._rng.choice(_KEYS)
        specs = _SPECS[key[0]]
        await asyncio.gather(*[self._declare(key, one) for one in specs])

    async def recreate(self) -> None:
        """Delete an object and create it again."""
        key = self._rng.choice(_KEYS)
        await self._declare(key, None)
        await self._declare(key, _SPECS[key[0]][0])

    async def tamper(self) -> None:
        """Write past the operator API: faulty, older, or without a trace."""
        store = self._cluster.store
        if not store.by_key:
            return
        key = self._rng.choice(sorted(store.by_key))
        stored = store.by_key[key]
        self.tampered.add(key)
        expected = Expected.of(stored)
        way = self._rng.randrange(3)
        if way == 0:
            store.apply(key, b'{"kind": "drain"', expected, 'tamper')
        elif way == 1:
            older = self._older(key)
            if older is not None:
                store.apply(key, write_envelope(older), expected, 'tamper')
        else:
            store.discard(key, expected)

    async def _declare(self, key: tuple[str, str], raw: dict | None) -> None:
        if not self._cluster.by_name:
            return
        name = self._rng.choice(sorted(self._cluster.by_name))
        if not self._cluster.by_name[name].is_ready:
            return
        envelope = await self._cluster.try_declare(name, key, raw)
        if envelope is not None:
            self.accepted.append(envelope)

    def _spec(self, kind: str) -> dict | None:
        choices = [*_SPECS[kind], None]
        return self._rng.choice(choices)

    def _older(self, key: str) -> Envelope | None:
        found = [one for one in self.accepted if one.key == key]
        return found[0] if len(found) > 1 else None


class Schedule:
    """Draws faults and writes from a seed, and applies them."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """Work on a booted cluster."""
        self.writes = _Writes(cluster, rng)
        self._faults = _Faults(cluster, rng)
        self._cluster = cluster
        self._rng = rng

    async def run(self, seconds: float) -> None:
        """Apply faults and writes at random times."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        steps = []
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(1))
            step = self._rng.choice(self._steps())
            steps.append(asyncio.ensure_future(step()))
        await asyncio.wait(steps, timeout=_HEAL_S)

    async def heal(self) -> None:
        """End all faults and start what is dead."""
        cluster = self._cluster
        cluster.network.heal()
        cluster.store.faults.is_down = False
        cluster.store.faults.lost_answers = 0
        cluster.store.faults.delay_s = _QUICK_S
        for process in cluster.by_name.values():
            process.set_store_down(is_down=False)
            process.platform.frozen = None
        for name in cluster.names:
            if name not in cluster.by_name:
                cluster.start(name)
        cluster.list_instances(cluster.names)

    def _steps(self) -> list[Step]:
        faults = self._faults
        writes = self.writes
        operators = [writes.write, writes.write, writes.race, writes.recreate]
        return [
            *operators,
            *operators,
            faults.partition,
            faults.cut_one_way,
            faults.mend,
            faults.kill,
            faults.restart,
            faults.pause,
            faults.store_down,
            faults.store_slow,
            faults.lose_answers,
            faults.lag,
            writes.tamper,
            faults.list_wrong,
        ]


def run_schedule(seed: int) -> Verdict:
    """Run one schedule; the same seed takes the same course."""

    return run_virtual(lambda: _session(seed))


async def _session(seed: int) -> Verdict:
    verdict = Verdict(seed)
    cluster = Cluster(_SIZE, seed)
    await cluster.boot()
    judge = asyncio.ensure_future(Judge(cluster, verdict).run())
    schedule = Schedule(cluster, random.Random(seed))
    await schedule.run(_FAULTS_S)
    await schedule.heal()
    await asyncio.sleep(_HEAL_S)
    judge.cancel()
    await asyncio.gather(judge, return_exceptions=True)
    _judge_end(cluster, schedule, verdict)
    await cluster.stop()
    verdict.failures.extend(repr(one) for one in cluster.failures())
    return verdict


def _judge_end(cluster: Cluster, schedule: Schedule, verdict: Verdict) -> None:
    processes = list(cluster.by_name.values())
    digests = {process.table.digest() for process in processes}
    verdict.is_converged = len(digests) == 1 and cluster.is_ready()
    verdict.accepted = len(schedule.writes.accepted)
    if not processes:
        return
    in_force = processes[0].generations()
    operations = {}
    for envelope in schedule.writes.accepted:
        place = (envelope.key, envelope.generation)
        if in_force.get(envelope.key, 0) < envelope.generation:
            verdict.lost.append(f'{place} is not in force')
        first = operations.setdefault(place, envelope.operation)
        # After a write past the operator API the store itself forgets which
        # generations it accepted.
        is_twice = first != envelope.operation
        if is_twice and envelope.key not in schedule.writes.tampered:
            verdict.lost.append(f'{place} was accepted twice')
