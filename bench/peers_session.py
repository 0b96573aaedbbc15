"""One cluster that goes through all situations, and what it showed."""

import asyncio
import collections
import itertools
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from types import MappingProxyType

import attrs

from bench.peers_cluster import Cluster
from nutmegshore.resources import Envelope

__all__ = ('PLANS', 'Plan', 'Recorded', 'Session')

_STEP_S = 0.5
_BURST = 100
_WEST = MappingProxyType({'region': 'west'})
_NEVER_S = 999.0
_TRIM_S = 12
_KILL_GAP_S = 0.4
_FINE_STEP_S = 0.1
_FINE_STEPS = 110
_HEAL_S = 6
_SHORT_S = 4
_PAUSE_S = 10
_FALSE_STEPS = 28
#: One-way delay between regions while links are slow.
_SLOW_S = 0.8


#: Time by member, and by viewer and member.
_Times = dict[str, float]
_Step = Callable[[], Awaitable[None]]
_Noticed = dict[tuple[str, str], float]


@attrs.frozen
class Plan:
    """How much one session does."""

    size: int
    changes: int
    kills: int
    quiet_s: int
    outages: int = 3


_LONG_S = 20
_MIDDLE = 30
_LARGE = 90
#: The large session is shorter because each of its seconds costs most.
PLANS = (
    Plan(9, changes=60, kills=4, quiet_s=_LONG_S),
    Plan(_MIDDLE, changes=_MIDDLE, kills=6, quiet_s=10),
    Plan(_LARGE, changes=8, kills=4, quiet_s=6, outages=1),
)


@attrs.define
class Recorded:
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
    boot_reads: int = 0
    recovery_peak: int = 0


class _Verdicts:
    """Deaths that members notice, and those that did not happen."""

    def __init__(self, cluster: Cluster, plan: Plan, found: Recorded) -> None:
        """Write into what the session records."""
        self._cluster = cluster
        self._plan = plan
        self._found = found
        self._wrong: set[tuple[str, str]] = set()

    async def pause(self) -> None:
        """Pause some on slow links, and count the others that are dropped."""
        self._cluster.set_far_delay(_SLOW_S)
        paused = self._cluster.names[-2:]
        for name in paused:
            self._cluster.by_name[name].pause(_PAUSE_S)
        look = partial(self._look_for_false, set(paused))
        await _run_each(itertools.repeat(look, _FALSE_STEPS))
        self._found.false_deaths = len(self._wrong)
        self._cluster.set_far_delay()

    async def kill(self) -> None:
        """Kill some, one after the other, and wait until all notice."""
        names = self._cluster.names[: self._plan.kills]
        killed: _Times = {}
        await _run_each(
            [partial(self._kill_one, name, killed) for name in names]
        )
        noticed: _Noticed = {}
        look = partial(self._look_for_deaths, killed, noticed)
        await _run_each(itertools.repeat(look, _FINE_STEPS))
        for viewer in self._cluster.by_name:
            for name in names:
                spent = noticed.get((viewer, name), _NEVER_S)
                self._found.death_s.append(spent)

    async def _kill_one(self, name: str, killed: _Times) -> None:
        killed[name] = _now()
        await self._cluster.kill(name)
        await asyncio.sleep(_KILL_GAP_S)

    async def _look_for_deaths(
        self,
        killed: _Times,
        noticed: _Noticed,
    ) -> None:
        await asyncio.sleep(_FINE_STEP_S)
        for viewer, process in self._cluster.by_name.items():
            for name in set(killed) - set(process.peers.live()):
                noticed.setdefault((viewer, name), _now() - killed[name])

    async def _look_for_false(self, away: set[str]) -> None:
        await asyncio.sleep(_STEP_S)
        for viewer, process in self._cluster.by_name.items():
            gone = set(self._cluster.names) - set(process.peers.live())
            self._wrong.update((viewer, name) for name in gone - away)


class Session:
    """One cluster that goes through all situations."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self._plan = plan
        self._cluster = Cluster(plan.size, seed)
        self._found = Recorded(plan.size)
        self._reads: list[int] = []
        self._verdicts = _Verdicts(self._cluster, plan, self._found)

    async def run(self) -> Recorded:
        """Go through all situations, one after the other."""
        sampler = asyncio.ensure_future(self._sample_reads())
        self._found.boot_s = await self._cluster.boot()
        await asyncio.sleep(_STEP_S)
        self._found.boot_peak = max(self._reads)
        self._found.boot_reads = sum(self._reads)
        # Links that the boot opened beyond the wanted ones close after 10 s.
        await asyncio.sleep(_TRIM_S)
        steps = (
            self._quiet,
            self._change,
            self._store_down,
            self._burst,
            self._cut_off,
            self._verdicts.pause,
            self._verdicts.kill,
        )
        await _run_each(steps)
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

    async def _quiet(self) -> None:
        before = _totals(self._cluster)
        await asyncio.sleep(self._plan.quiet_s)
        after = _totals(self._cluster)
        pairs = zip(before, after, strict=True)
        rates = [(late - early) / self._plan.quiet_s for early, late in pairs]
        self._found.bytes_per_s = rates[0] / self._plan.size
        self._found.messages_per_s = rates[1] / self._plan.size
        self._found.steady_reads = rates[2]
        self._found.steady_writes = rates[3]

    async def _change(self) -> None:
        names = [f'change{index}' for index in range(self._plan.changes)]
        await _run_each([partial(self._spread, name) for name in names])

    async def _store_down(self) -> None:
        names = [f'down{index}' for index in range(self._plan.outages)]
        await _run_each([partial(self._lose_store, name) for name in names])

    async def _lose_store(self, name: str) -> None:
        faults = self._cluster.store.faults
        envelope = await self._declare(name)
        faults.is_down = True
        accepted = _now()
        await asyncio.sleep(_SHORT_S)
        self._found.down_s.extend(self._seen(envelope, accepted))
        reads = len(self._reads)
        faults.is_down = False
        await asyncio.sleep(_SHORT_S)
        peak = max(self._reads[reads:], default=0)
        self._found.recovery_peak = max(self._found.recovery_peak, peak)

    async def _burst(self) -> None:
        envelopes = await asyncio.gather(
            *[self._declare(f'burst{index}') for index in range(_BURST)],
        )
        accepted = _now()
        await asyncio.sleep(_SHORT_S)
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
            process.set_store_down(is_down=True)
        envelope = await self._declare('cut')
        await asyncio.sleep(10)
        network.heal()
        healed = _now()
        for process in south:
            process.set_store_down(is_down=False)
        await asyncio.sleep(_HEAL_S)
        self._found.healed_s.extend(self._seen(envelope, healed))

    async def _spread(self, name: str) -> None:
        envelope = await self._declare(name)
        accepted = _now()
        await asyncio.sleep(_STEP_S)
        self._found.spread_s.extend(self._seen(envelope, accepted))

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


def _totals(cluster: Cluster) -> tuple[int, ...]:
    calls = cluster.store.call_counts
    return (
        sum(cluster.network.sent_bytes.values()),
        sum(cluster.network.sent_messages.values()),
        calls['read'] + calls['watch'],
        calls['write'],
    )


async def _run_each(steps: Iterable[_Step]) -> None:
    """Run the steps one after the other."""
    waiting = collections.deque(steps)
    while waiting:
        step = waiting.popleft()
        await step()


def _now() -> float:
    return asyncio.get_running_loop().time()
