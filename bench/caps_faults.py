"""Seeded schedules of faults against a fleet with one cap."""

import asyncio
import functools
import random
from types import MappingProxyType

import attrs

from bench.caps_fleet import Fleet, FleetOptions, Instance
from nutmegshore.clock import run_virtual
from nutmegshore.store.memory import Faults

__all__ = ('Verdict', 'run_isolated', 'run_schedule')

_COUNT = 5
_CAP = 60
_CAPS = (_CAP // 3, _CAP // 2, _CAP, 2 * _CAP)
_LEASE_S = 10
#: The short lease shows a missing window, the long one missing drift.
_ISOLATED_LEASES_S = (60, 600)
_POLL_S = 0.01
_LOADED_S = 12
#: The owner uses its units evenly, the observer takes new ones at once.
_LATE = MappingProxyType({'e0': 35, 'e1': 200})
_RUN_S = 45
_STEP_S = 0.04
_WARM_S = 4
_PERIOD_S = 5
_RATES = (0.995, 1, 1.005)
_LONG_S = 25
_SHORT_S = 3
_MOST_LOST = 4
_SLOW_S = (0.1, 4)
_DOWN_S = (1, 40)
_GAP_S = (0.2, 6)
_HEAVY = 80
_HEAVY_SHARE = 0.4


@attrs.frozen
class Verdict:
    """What a schedule led to: uses over the cap, and uses in all."""

    seed: int
    over_cap: int
    uses: int
    faults: tuple[str, ...]


class _Targets:
    """Draws what a fault hits and for how long."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    def name(self) -> str:
        """Name of a live instance."""
        return self._rng.choice(sorted(self._fleet.by_name))

    def instance(self) -> Instance:
        """A live instance."""
        return self._fleet.by_name[self.name()]

    def seconds(self) -> float:
        """Length of a fault, short or long."""
        longest = self._rng.choice((_SHORT_S, _LONG_S))
        return self._rng.uniform(0.1, longest)

    def platform(self) -> Faults:
        """Faults of the platform for one instance or for all."""
        one = self.instance().platform.faults
        return self._rng.choice((one, self._fleet.store.faults))


class _Faults:
    """Faults of processes, network, platform and declarations."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._targets = _Targets(fleet, rng)

    async def pause(self) -> None:
        """Stop a process for a while."""
        clock = self._targets.instance().clock
        clock.pause(self._targets.seconds())

    async def pause_after_take(self) -> None:
        """Stop a process between a check and the sending."""
        self._fleet.pause_after_take(
            self._targets.name(), self._targets.seconds()
        )

    async def pause_in_renewal(self) -> None:
        """Stop a process around its next write to the platform."""
        platform = self._targets.instance().platform
        waiting = (platform.pauses_before, platform.pauses_after)
        self._rng.choice(waiting).append(self._targets.seconds())

    async def kill(self) -> None:
        """End a process and start it again, if most are there."""
        if len(self._fleet.by_name) < _COUNT - 1:
            return
        name = self._targets.name()
        self._fleet.kill(name)
        await asyncio.sleep(self._rng.choice((0, self._targets.seconds())))
        await self._fleet.spawn(name)

    async def cut_one_way(self) -> None:
        """Cut one direction between two instances for a while."""
        self._fleet.network.cut(self._targets.name(), self._targets.name())
        await asyncio.sleep(self._targets.seconds())
        self._fleet.network.heal()

    async def partition(self) -> None:
        """Cut two regions from each other for a while."""
        self._fleet.network.partition('east', 'west')
        await asyncio.sleep(self._targets.seconds())
        self._fleet.network.heal()

    async def lose_answers(self) -> None:
        """Lose the answers of the next writes."""
        lost = self._rng.randint(1, _MOST_LOST)
        self._fleet.store.faults.lost_answers += lost

    async def slow(self) -> None:
        """Let each platform call take up to 4 s for a while."""
        faults = self._targets.platform()
        faults.delay_s = self._rng.uniform(*_SLOW_S)
        await asyncio.sleep(self._targets.seconds())
        faults.delay_s = 0

    async def down(self) -> None:
        """Take the platform away for a while."""
        faults = self._targets.platform()
        faults.is_down = True
        await asyncio.sleep(self._rng.uniform(*_DOWN_S))
        faults.is_down = False

    async def recap(self) -> None:
        """Declare another cap."""
        await self._spread(self._rng.choice(_CAPS))

    async def delete(self) -> None:
        """Delete the shift and declare it again."""
        await self._spread(None)
        await asyncio.sleep(self._targets.seconds())
        await self._spread(_CAP)

    async def change_lease(self) -> None:
        """Declare another lease."""
        self._fleet.lease_seconds = self._rng.choice((_LEASE_S, 3 * _LEASE_S))
        await self._spread(_CAP)

    async def _spread(self, cap: int | None) -> None:
        """Declare at one instance first, at the others a little later."""
        self._fleet.declare(cap, [self._targets.name()])
        await asyncio.sleep(self._rng.uniform(0, _SHORT_S))
        self._fleet.spread(list(self._fleet.by_name))


class _Schedule:
    """Draws faults and applies them, two at once in half the steps."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._rng = rng
        faults = _Faults(fleet, rng)
        self._faults = (
            faults.pause,
            faults.pause_after_take,
            faults.pause_in_renewal,
            faults.kill,
            faults.cut_one_way,
            faults.partition,
            faults.lose_answers,
            faults.slow,
            faults.down,
            faults.recap,
            faults.delete,
            faults.change_lease,
        )
        self.applied: list[str] = []
        self._tasks: list[asyncio.Task] = []

    async def run(self, until: float) -> None:
        """Apply faults until a time; their ends may come later."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            count = self._rng.choice((1, 2))
            for fault in self._rng.sample(self._faults, count):
                self.applied.append(fault.__name__)
                self._tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._rng.uniform(*_GAP_S))

    async def stop(self) -> None:
        """End all faults that still wait."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_schedule(seed: int) -> Verdict:
    """Run one schedule; the same seed gives the same run."""
    return run_virtual(lambda: _session(seed))


def run_isolated(seed: int) -> Verdict:
    """Cut a slow-clocked owner off from the platform under full load."""
    return run_virtual(lambda: _isolated(seed))


async def _isolated(seed: int) -> Verdict:
    lease_s = _ISOLATED_LEASES_S[seed % len(_ISOLATED_LEASES_S)]
    options = FleetOptions(
        seed=seed,
        count=2,
        cap=_CAP,
        lease_seconds=lease_s,
        rates={'e0': min(_RATES), 'e1': max(_RATES)},
    )
    fleet = Fleet(
        options,
        lambda name, at: _LATE[name] if at > lease_s - _LOADED_S else 0,
    )
    await fleet.start()
    await asyncio.sleep(_WARM_S)
    fleet.network.partition('e0', 'e1')
    # A new generation of the same cap makes the owner renew, and another
    # one makes the observer read right after that.
    writes = len(fleet.judge.caps_in_force)
    fleet.declare(_CAP, ['e0'])
    while len(fleet.judge.caps_in_force) == writes:
        await asyncio.sleep(_POLL_S)
    fleet.declare(_CAP, ['e1'])
    await asyncio.sleep(_POLL_S)
    owner = fleet.by_name['e0'].platform
    owner.faults.is_down = True
    await asyncio.sleep(lease_s + _LOADED_S)
    await fleet.stop()
    return Verdict(seed, fleet.judge.over_cap(), len(fleet.judge.uses), ())


async def _session(seed: int) -> Verdict:
    rng = random.Random(seed)
    salt = rng.random()
    rates = {f'e{index}': rng.choice(_RATES) for index in range(_COUNT)}
    options = FleetOptions(
        seed=seed,
        count=_COUNT,
        cap=_CAP,
        lease_seconds=_LEASE_S,
        rates=rates,
        step_s=_STEP_S,
    )
    fleet = Fleet(options, lambda name, at: _demand(salt, name, at))
    schedule = _Schedule(fleet, rng)
    await fleet.start()
    await asyncio.sleep(_WARM_S)
    await schedule.run(_RUN_S)
    await schedule.stop()
    await fleet.stop()
    return Verdict(
        seed=seed,
        over_cap=fleet.judge.over_cap(),
        uses=len(fleet.judge.uses),
        faults=tuple(schedule.applied),
    )


def _demand(salt: float, name: str, at: float) -> float:
    """Demand that moves to other instances every few seconds."""
    return _drawn_demand(salt, name, int(at / _PERIOD_S))


@functools.lru_cache
def _drawn_demand(salt: float, name: str, period: int) -> float:
    drawn = random.Random(f'{salt}{name}{period}').random()
    return _HEAVY if drawn < _HEAVY_SHARE else drawn * _CAP / _COUNT
