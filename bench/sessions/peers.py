"""Spread of the configuration, deaths, traffic and platform calls."""

import asyncio
import math
from collections.abc import Callable
from types import MappingProxyType

import attrs

from bench.measure import Chart, Findings, Measure, Table
from bench.peers_cluster import Cluster
from bench.peers_faults import Verdict, run_schedule
from nutmegshore.clock import run_virtual
from nutmegshore.resources import Envelope

__all__ = ('measure',)

_LONG_RUN = 550
_STEP_S = 0.5
_BURST = 100
_SCHEDULES = 6
_WEST = MappingProxyType({'region': 'west'})
_NEVER_S = 999.0
#: One-way delay between regions while links are slow.
_SLOW_S = 0.8

#: Size, changes, kills, and seconds of quiet per session; the large session
#: is shorter because each of its seconds costs most.
_PLANS = ((9, 60, 4, 20), (30, 30, 6, 10), (90, 8, 4, 6))

# Goals of the design page.
_EVERYWHERE_S = 14
_NINE_P99_S = 2
_BYTES_PER_S = 23_000
_READS_PER_S = 100
_WRITES_PER_S = 50


@attrs.define
class _Recorded:
    """What the network, the store and the tables showed at one size."""

    size: int
    spread_s: list[float] = attrs.field(factory=list)
    down_s: list[float] = attrs.field(factory=list)
    healed_s: list[float] = attrs.field(factory=list)
    burst_s: list[float] = attrs.field(factory=list)
    death_s: list[float] = attrs.field(factory=list)
    false_deaths: int = 0
    bytes_per_s: float = 0
    messages_per_s: float = 0
    steady_reads: float = 0
    steady_writes: float = 0
    boot_s: float = 0
    boot_peak: int = 0
    recovery_peak: int = 0


def measure(seed: int) -> Findings:
    """Measure three sizes and a handful of fault schedules."""
    recorded = [_run(plan, seed) for plan in _PLANS]
    verdicts = [run_schedule(seed + index) for index in range(_SCHEDULES)]
    measures = [_measures(one, seed) for one in recorded]
    return Findings(
        measures=(
            *[measure_ for group in measures for measure_ in group],
            *_worked_out(recorded, seed),
            _reverts(verdicts, seed),
        ),
        tables=(_table(recorded),),
        charts=(
            Chart(
                'Traffic per member',
                'members',
                'B/s',
                {'sent': [(one.size, one.bytes_per_s) for one in recorded]},
            ),
        ),
    )


def _run(plan: tuple[int, int, int, int], seed: int) -> _Recorded:
    return run_virtual(lambda: _Session(plan, seed).run())


class _Session:
    """One cluster that goes through all situations."""

    def __init__(self, plan: tuple[int, int, int, int], seed: int) -> None:
        self._size, self._changes, self._kills, self._quiet_s = plan
        self._cluster = Cluster(self._size, seed)
        self._found = _Recorded(self._size)
        self._reads: list[int] = []

    async def run(self) -> _Recorded:
        """Go through all situations, one after the other."""
        sampler = asyncio.ensure_future(self._sample_reads())
        self._found.boot_s = await self._cluster.boot()
        await asyncio.sleep(_STEP_S)
        self._found.boot_peak = max(self._reads)
        # Links that the boot opened beyond the wanted ones close after 10 s.
        await asyncio.sleep(12)
        steps = (
            self._quiet,
            self._change,
            self._store_down,
            self._burst,
            self._cut_off,
            self._pause,
            self._kill,
        )
        for step in steps:
            await step()
        sampler.cancel()
        await asyncio.gather(sampler, return_exceptions=True)
        await self._cluster.stop()
        if self._cluster.failures():
            raise RuntimeError(self._cluster.failures()[0])
        return self._found

    async def _sample_reads(self) -> None:
        last = 0
        while True:
            await asyncio.sleep(1)
            calls = self._cluster.store.call_counts
            total = calls['read'] + calls['watch']
            self._reads.append(total - last)
            last = total

    def _totals(self) -> tuple[int, int, int, int]:
        network = self._cluster.network
        calls = self._cluster.store.call_counts
        return (
            sum(network.sent_bytes.values()),
            sum(network.sent_messages.values()),
            calls['read'] + calls['watch'],
            calls['write'],
        )

    async def _quiet(self) -> None:
        before = self._totals()
        await asyncio.sleep(self._quiet_s)
        after = self._totals()
        pairs = zip(before, after, strict=True)
        rates = [(late - early) / self._quiet_s for early, late in pairs]
        self._found.bytes_per_s = rates[0] / self._size
        self._found.messages_per_s = rates[1] / self._size
        self._found.steady_reads = rates[2]
        self._found.steady_writes = rates[3]

    async def _change(self) -> None:
        for index in range(self._changes):
            spent = await self._spread(f'change{index}', _STEP_S)
            self._found.spread_s.extend(spent)

    async def _store_down(self) -> None:
        faults = self._cluster.store.faults
        for index in range(3):
            envelope = await self._declare(f'down{index}')
            faults.is_down = True
            accepted = _now()
            await asyncio.sleep(4)
            self._found.down_s.extend(self._seen(envelope, accepted))
            reads = len(self._reads)
            faults.is_down = False
            await asyncio.sleep(3)
            peak = max(self._reads[reads:], default=0)
            self._found.recovery_peak = max(self._found.recovery_peak, peak)

    async def _burst(self) -> None:
        envelopes = await asyncio.gather(
            *[self._declare(f'burst{index}') for index in range(_BURST)],
        )
        accepted = _now()
        await asyncio.sleep(4)
        for envelope in envelopes:
            self._found.burst_s.extend(self._seen(envelope, accepted))

    async def _cut_off(self) -> None:
        network = self._cluster.network
        for other in ('west', 'north'):
            network.partition('south', other)
        south = [
            process
            for process in self._cluster.by_name.values()
            if process.peers.local.region == 'south'
        ]
        for process in south:
            process.platform.faults.is_down = True
        envelope = await self._declare('cut')
        await asyncio.sleep(10)
        network.heal()
        healed = _now()
        for process in south:
            process.platform.faults.is_down = False
        await asyncio.sleep(14)
        self._found.healed_s.extend(self._seen(envelope, healed))

    async def _pause(self) -> None:
        """Pause some on slow links, and count the others that are dropped."""
        self._cluster.set_far_delay(_SLOW_S)
        paused = self._cluster.names[-2:]
        for name in paused:
            self._cluster.by_name[name].clock.pause(10)
        await self._count_false(set(paused), 14)
        self._cluster.set_far_delay()

    async def _kill(self) -> None:
        names = self._cluster.names[1 : self._kills + 1]
        killed = {}
        for name in names:
            killed[name] = _now()
            await self._cluster.kill(name)
            await asyncio.sleep(0.4)
        noticed: dict[tuple[str, str], float] = {}
        for _ in range(110):
            await asyncio.sleep(0.1)
            for viewer, process in self._cluster.by_name.items():
                for name in set(names) - set(process.peers.live()):
                    noticed.setdefault((viewer, name), _now() - killed[name])
        for viewer in self._cluster.by_name:
            for name in names:
                spent = noticed.get((viewer, name), _NEVER_S)
                self._found.death_s.append(spent)

    async def _count_false(self, away: set[str], seconds: float) -> None:
        wrong = set()
        for _ in range(int(seconds / _STEP_S)):
            await asyncio.sleep(_STEP_S)
            for viewer, process in self._cluster.by_name.items():
                gone = set(self._cluster.names) - set(process.peers.live())
                wrong |= {(viewer, name) for name in gone - away}
        self._found.false_deaths += len(wrong)

    async def _spread(self, name: str, wait_s: float) -> list[float]:
        envelope = await self._declare(name)
        accepted = _now()
        await asyncio.sleep(wait_s)
        return self._seen(envelope, accepted)

    async def _declare(self, name: str) -> Envelope:
        # The writers are in the region of the store and take turns.
        names = self._cluster.names[::3]
        writer = names[self._cluster.rng.randrange(len(names))]
        return await self._cluster.declare(writer, ('drain', name), _WEST)

    def _seen(self, envelope: Envelope, since: float) -> list[float]:
        place = (envelope.key, envelope.generation)
        return [
            max(process.seen_at.get(place, _NEVER_S) - since, 0)
            for process in self._cluster.by_name.values()
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()


def _percentile(values: list[float], percent: float) -> float:
    ranked = sorted(values)
    index = math.ceil(len(ranked) * percent / 100) - 1
    return ranked[max(index, 0)]


def _measures(one: _Recorded, seed: int) -> list[Measure]:
    size = one.size
    p99 = _percentile(one.spread_s, 99)
    everywhere = f'at most {_EVERYWHERE_S} s'
    found = [
        _bounded(f'everywhere_max_{size}', max(one.spread_s), everywhere, seed),
        _bounded(f'store_down_max_{size}', max(one.down_s), everywhere, seed),
        _bounded(f'burst_max_{size}', max(one.burst_s), everywhere, seed),
        _bounded(f'healed_max_{size}', max(one.healed_s), everywhere, seed),
        Measure(
            f'false_deaths_{size}',
            one.false_deaths,
            'verdicts',
            '0 with two members paused for 10 s on slow links',
            seed,
            one.false_deaths == 0,
        ),
    ]
    if size == _PLANS[0][0]:
        goal = f'p99 at most {_NINE_P99_S} s'
        is_met = p99 <= _NINE_P99_S
        found.append(
            Measure('everywhere_p99_9', p99, 's', goal, seed, is_met),
        )
    return found


def _bounded(name: str, value: float, goal: str, seed: int) -> Measure:
    return Measure(name, value, 's', goal, seed, value <= _EVERYWHERE_S)


def _worked_out(recorded: list[_Recorded], seed: int) -> list[Measure]:
    """Values for the long-run size, fitted on the sizes that forward."""
    small, large = recorded[1:]
    logs = [math.log2(size) for size in (small.size, large.size, _LONG_RUN)]
    slope = (large.bytes_per_s - small.bytes_per_s) / (logs[1] - logs[0])
    sent = large.bytes_per_s + slope * (logs[2] - logs[1])
    per_member = (large.boot_peak - small.boot_peak) / (large.size - small.size)
    boot = large.boot_peak + per_member * (_LONG_RUN - large.size)
    rows = (
        ('bytes_per_s_550', sent, 'B/s', _BYTES_PER_S),
        ('boot_reads_550', boot, 'reads/s', _READS_PER_S),
        (
            'recovery_reads_550',
            large.recovery_peak,
            'reads/s',
            _READS_PER_S,
        ),
        ('steady_writes_550', large.steady_writes, 'writes/s', _WRITES_PER_S),
    )
    return [
        Measure(name, value, unit, f'under {goal}', seed, value < goal)
        for name, value, unit, goal in rows
    ]


def _reverts(verdicts: list[Verdict], seed: int) -> Measure:
    count = sum(len(verdict.reverts) for verdict in verdicts)
    is_sound = all(verdict.is_sound for verdict in verdicts)
    goal = f'0 in {_SCHEDULES} schedules, all converge'
    return Measure('config_revert', count, 'reverts', goal, seed, is_sound)


def _table(recorded: list[_Recorded]) -> Table:
    rows: tuple[tuple[str, Callable[[_Recorded], str]], ...] = (
        ('in force everywhere, s', lambda one: _spread_text(one.spread_s)),
        ('store down after accept, s', lambda one: _spread_text(one.down_s)),
        ('burst of 100, s', lambda one: _spread_text(one.burst_s)),
        ('after a heal, s', lambda one: _spread_text(one.healed_s)),
        ('death noticed, s', lambda one: _spread_text(one.death_s)),
        ('false verdicts', lambda one: str(one.false_deaths)),
        ('B/s per member', lambda one: f'{one.bytes_per_s:.0f}'),
        ('messages/s per member', lambda one: f'{one.messages_per_s:.1f}'),
        ('reads/s, steady', lambda one: f'{one.steady_reads:.2f}'),
        ('writes/s, steady', lambda one: f'{one.steady_writes:.2f}'),
        ('boot, s until all ready', lambda one: f'{one.boot_s:.1f}'),
        ('reads in the busiest second of boot', lambda one: f'{one.boot_peak}'),
        ('the same after an outage', lambda one: f'{one.recovery_peak}'),
    )
    return Table(
        'Spread and membership by size (p50 / p99 / max)',
        ('figure', *[str(one.size) for one in recorded]),
        tuple((name, *map(text, recorded)) for name, text in rows),
    )


def _spread_text(values: list[float]) -> str:
    shares = (_percentile(values, 50), _percentile(values, 99), max(values))
    return ' / '.join(f'{value:.3f}' for value in shares)
