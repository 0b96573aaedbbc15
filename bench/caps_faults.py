"""Seeded schedules of faults against a fleet with one cap."""

import asyncio
import functools
import random
from types import MappingProxyType

import attrs

from bench.caps_fleet import Fleet, FleetOptions, Instance
from nutmegshore.clock import run_virtual
from nutmegshore.platform.memory import Faults

__all__ = ('Verdict', 'run_isolated', 'run_schedule')

_COUNT = 5
_CAP = 60
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


class _Schedule:
    """Draws faults and applies them, two at once in half the steps."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._faults = (
            self._pause,
            self._pause_after_take,
            self._pause_in_renewal,
            self._kill,
            self._cut_one_way,
            self._partition,
            self._lose_answers,
            self._slow,
            self._down,
            self._recap,
            self._delete,
            self._change_lease,
        )
        self.applied: list[str] = []
        self._tasks: list[asyncio.Task] = []

    async def run(self, until: float) -> None:
        """Apply faults until a time; their ends may come later."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for fault in self._rng.sample(
                self._faults, self._rng.choice((1, 2))
            ):
                self.applied.append(fault.__name__[1:])
                self._tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._rng.uniform(*_GAP_S))

    async def stop(self) -> None:
        """End all faults that still wait."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _one(self) -> str:
        return self._rng.choice(sorted(self._fleet.by_name))

    def _instance(self) -> Instance:
        return self._fleet.by_name[self._one()]

    def _length(self) -> float:
        longest = self._rng.choice((_SHORT_S, _LONG_S))
        return self._rng.uniform(0.1, longest)

    async def _pause(self) -> None:
        clock = self._instance().clock
        clock.pause(self._length())

    async def _pause_after_take(self) -> None:
        self._fleet.pause_after_take(self._one(), self._length())

    async def _pause_in_renewal(self) -> None:
        platform = self._instance().platform
        waiting = (platform.pauses_before, platform.pauses_after)
        self._rng.choice(waiting).append(self._length())

    async def _kill(self) -> None:
        if len(self._fleet.by_name) < _COUNT - 1:
            return
        name = self._one()
        self._fleet.kill(name)
        await asyncio.sleep(self._rng.choice((0, self._length())))
        await self._fleet.spawn(name)

    async def _cut_one_way(self) -> None:
        self._fleet.network.cut(self._one(), self._one())
        await asyncio.sleep(self._length())
        self._fleet.network.heal()

    async def _partition(self) -> None:
        self._fleet.network.partition('east', 'west')
        await asyncio.sleep(self._length())
        self._fleet.network.heal()

    async def _lose_answers(self) -> None:
        lost = self._rng.randint(1, _MOST_LOST)
        self._fleet.store.faults.lost_answers += lost

    async def _slow(self) -> None:
        faults = self._faults_of_platform()
        faults.delay_s = self._rng.uniform(*_SLOW_S)
        await asyncio.sleep(self._length())
        faults.delay_s = 0

    async def _down(self) -> None:
        faults = self._faults_of_platform()
        faults.is_down = True
        await asyncio.sleep(self._rng.uniform(*_DOWN_S))
        faults.is_down = False

    def _faults_of_platform(self) -> Faults:
        one = self._instance().platform.faults
        return self._rng.choice((one, self._fleet.store.faults))

    async def _recap(self) -> None:
        cap = self._rng.choice((_CAP // 3, _CAP // 2, _CAP, 2 * _CAP))
        await self._spread(cap)

    async def _delete(self) -> None:
        await self._spread(None)
        await asyncio.sleep(self._length())
        await self._spread(_CAP)

    async def _change_lease(self) -> None:
        self._fleet.lease_seconds = self._rng.choice((_LEASE_S, 3 * _LEASE_S))
        await self._spread(_CAP)

    async def _spread(self, cap: int | None) -> None:
        """Declare at one instance first, at the others a little later."""
        self._fleet.declare(cap, [self._one()])
        await asyncio.sleep(self._rng.uniform(0, _SHORT_S))
        self._fleet.spread(list(self._fleet.by_name))


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
