"""Instances with one cap on virtual time, and the judge of their uses."""

import asyncio
import collections
import math
import random
from collections.abc import Callable

import attrs

from nutmegshore.caps import Caps, Ledger, parse_ledger
from nutmegshore.clock import VirtualClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, MemoryNetwork, Peers
from nutmegshore.store import (
    Expected,
    MemoryPlatform,
    MemoryStore,
    StoredObject,
)
from nutmegshore.resources import Envelope, parse_spec

__all__ = ('KIND', 'NAME', 'Fleet', 'FleetOptions', 'Instance', 'Judge')

KIND = 'shift'
NAME = 'moved'
_REGIONS = ('east', 'west', 'north')
_BETWEEN_S = 0.055
_WITHIN_S = 0.001
_PLATFORM_S = 0.006
_STEP_S = 0.02
_HOP_SHARE = 0.3
_HOP_S = 0.004
_TOKEN_BITS = 64

#: Demand in units per second of an instance at a time.
DemandAt = Callable[[str, float], float]


class Judge:
    """True times of all uses over all instances, and the caps in force."""

    def __init__(self, cap: int) -> None:
        """Start without uses and with the cap that is declared first."""
        self.uses: list[tuple[float, int, str]] = []
        self.caps_in_force: list[tuple[float, int]] = [(0, cap)]
        self._assigned = 0
        self.overassigned = 0
        self.has_ledger = True

    def use(self, name: str, units: int = 1) -> None:
        """Record that a request leaves now."""
        self.uses.append((_true_now(), units, name))

    def wrote(self, ledger: Ledger) -> None:
        """Record a stored ledger; its sum may only exceed a lowered cap."""
        assigned = ledger.assigned
        if assigned > max(ledger.cap, self._assigned):
            self.overassigned += 1
        self._assigned = assigned
        self.caps_in_force.append((_true_now(), max(ledger.cap, assigned)))

    def over_cap(self) -> int:
        """Uses that made any window of one second exceed the cap in force.

        A lowered cap is in force from when no owner may use more than it.
        """
        over = self.overassigned
        held = 0
        window: collections.deque[tuple[float, int]] = collections.deque()
        lowest = min((cap for _, cap in self.caps_in_force), default=0)
        for at, units, _ in sorted(self.uses):
            window.append((at, units))
            held += units
            while at - window[0][0] >= 1:
                held -= window.popleft()[1]
            over += held > lowest and held > self.in_force(at)
        return over

    def in_force(self, at: float) -> int:
        """Largest cap that was in force in the second before a time."""
        caps = [0]
        for written_at, cap in self.caps_in_force:
            if written_at > at:
                break
            if written_at <= at - 1:
                caps.clear()
            caps.append(cap)
        return max(caps)

    def used(self, start: float, end: float) -> float:
        """Units used per second between two times."""
        units = sum(units for at, units, _ in self.uses if start <= at < end)
        return units / (end - start)


class PausingPlatform(MemoryPlatform):
    """A client whose process can be stopped around its next write."""

    def __init__(self, store: MemoryStore, clock: VirtualClock) -> None:
        """Connect without pauses."""
        super().__init__(store, clock)
        self._process = clock
        self.pauses_before: collections.deque[float] = collections.deque()
        self.pauses_after: collections.deque[float] = collections.deque()

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write, and stop the process before or after the write counts."""
        if self.pauses_before:
            self._process.pause(self.pauses_before.popleft())
        stored = await super().write(key, body, expected, operation)
        if self.pauses_after:
            self._process.pause(self.pauses_after.popleft())
            await self._process.gate()
        return stored


class JudgedStore(MemoryStore):
    """A store that shows each stored ledger to the judge."""

    def __init__(self, judge: Judge) -> None:
        """Start empty."""
        super().__init__()
        self._judge = judge

    def apply(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write conditionally, or raise `VersionConflict`."""
        stored = super().apply(key, body, expected, operation)
        if key.startswith('caps/') and self._judge.has_ledger:
            self._judge.wrote(parse_ledger(body))
        return stored


@attrs.frozen
class FleetOptions:
    """Size and cap of a fleet; `build` makes the policy of an instance."""

    seed: int
    count: int = 9
    cap: int = 900
    lease_seconds: int = 600
    build: Callable[..., Caps] = Caps
    rates: dict[str, float] = attrs.field(factory=dict)
    step_s: float = _STEP_S


@attrs.define
class Instance:
    """One process with its clock, its policy and its callers."""

    name: str
    clock: VirtualClock
    platform: PausingPlatform
    table: ConfigurationTable
    peers: Peers
    rng: random.Random
    caps: Caps
    callers: asyncio.Task | None = None


@attrs.define
class _Chance:
    """Pauses to inject between a check and the sending."""

    pauses: collections.deque = attrs.field(factory=collections.deque)


class Fleet:
    """Instances `e0`, `e1`, ... in three regions with one shift."""

    def __init__(self, options: FleetOptions, demand: DemandAt) -> None:
        """Build the surroundings; `start` runs the instances."""
        self.options = options
        self.rng = random.Random(options.seed)
        self.judge = Judge(options.cap)
        self.store = JudgedStore(self.judge)
        self.store.faults.delay_s = _PLATFORM_S
        self.network = MemoryNetwork()
        self.demand = demand
        self.by_name: dict[str, Instance] = {}
        self.chances: dict[str, _Chance] = {}
        self._generation = 0
        self._sending: set[asyncio.Task] = set()
        self.declared: list[Envelope] = []
        self.lease_seconds = options.lease_seconds
        self._incarnations: collections.Counter[str] = collections.Counter()
        for index, one in enumerate(_REGIONS):
            self.network.set_delay(one, one, _WITHIN_S)
            for other in _REGIONS[:index]:
                self.network.set_delay(one, other, _BETWEEN_S)

    @property
    def names(self) -> list[str]:
        """Names of all instances, also of those that are dead."""
        return [f'e{index}' for index in range(self.options.count)]

    async def start(self) -> None:
        """Declare the cap and start all instances."""
        self.declare(self.options.cap)
        await asyncio.gather(*[self.spawn(name) for name in self.names])

    def declare(self, cap: int | None, names: list[str] | None = None) -> None:
        """Declare a cap, or delete the shift, at these or all instances."""
        self._generation += 1
        self.declared = [_envelope(self._generation, cap, self.lease_seconds)]
        self.spread(list(self.by_name) if names is None else names)

    def spread(self, names: list[str]) -> None:
        """Bring what is declared to these instances."""
        for name in names:
            instance = self.by_name.get(name)
            if instance is not None:
                instance.table.merge(self.declared)

    async def spawn(self, name: str) -> None:
        """Start an instance, also again under the name of a dead one."""
        instance = self._build(name)
        self.by_name[name] = instance
        self.chances[name] = _Chance()
        await instance.caps.start()
        rng = random.Random(instance.rng.random())
        callers = self._call(instance, rng)
        instance.callers = asyncio.create_task(callers)

    def kill(self, name: str) -> None:
        """End a process; a write that it has sent still takes effect."""
        instance = self.by_name.pop(name)
        self.network.leave(name)
        instance.callers.cancel()
        # The tick ends; a sync under way goes on, as a sent write does.
        instance.caps._task.cancel()  # noqa: SLF001 - a kill has no method

    def pause_after_take(self, name: str, seconds: float) -> None:
        """Stop the process between its next check and the sending."""
        self.chances[name].pauses.append(seconds)

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.by_name.values():
            instance.callers.cancel()
        stops = [one.caps.stop() for one in self.by_name.values()]
        await asyncio.gather(*stops)

    def _build(self, name: str) -> Instance:
        clock = VirtualClock(self.options.rates.get(name, 1))
        peers = self.network.join(self._next_member(name), clock)
        platform = PausingPlatform(self.store, clock)
        table = ConfigurationTable()
        table.merge(self.declared)
        rng = random.Random(self.rng.getrandbits(_TOKEN_BITS))
        caps = self.options.build(
            table, platform, peers, clock, rng, Counters()
        )
        return Instance(name, clock, platform, table, peers, rng, caps)

    def _next_member(self, name: str) -> Member:
        """Member with the next incarnation of a name."""
        self._incarnations[name] += 1
        region = _REGIONS[int(name[1:]) % len(_REGIONS)]
        return Member(name, region, 'a', self._incarnations[name])

    async def _call(self, instance: Instance, rng: random.Random) -> None:
        """Callers of one instance: random arrivals at the demanded rate."""
        step_s = self.options.step_s
        last = _true_now()
        while True:
            await instance.clock.sleep(rng.uniform(0, 2 * step_s))
            now = _true_now()
            rate = self.demand(instance.name, now)
            # After a pause the callers have not waited for the instance.
            seconds = min(now - last, 4 * step_s)
            last = now
            for _ in range(_poisson(rng, rate * seconds)):
                self._request(instance, rng)

    def _request(self, instance: Instance, rng: random.Random) -> None:
        taken_at = instance.clock.now()
        if instance.clock.is_paused:
            return
        if not instance.caps.try_acquire(KIND, NAME):
            return
        pauses = self.chances[instance.name].pauses
        if pauses:
            instance.clock.pause(pauses.popleft())
        elif rng.random() >= _HOP_SHARE:
            self.judge.use(instance.name)
            return
        task = asyncio.create_task(self._send(instance, taken_at, rng))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(
        self,
        instance: Instance,
        taken_at: float,
        rng: random.Random,
    ) -> None:
        """Send after a short way through the process."""
        await instance.clock.sleep(rng.uniform(0, _HOP_S))
        is_alive = self.by_name.get(instance.name) is instance
        if is_alive and instance.caps.is_sendable(taken_at):
            self.judge.use(instance.name)


def _envelope(generation: int, cap: int | None, lease: int) -> Envelope:
    fields = {
        'service': 's',
        'from_region': 'east',
        'to_region': 'west',
        'share': 1,
        'cap': cap,
        'lease_seconds': lease,
    }
    return Envelope(
        kind=KIND,
        name=NAME,
        generation=generation,
        uid='uid',
        author='bench',
        reason='',
        operation=f'op-{generation}',
        spec=None if cap is None else parse_spec(KIND, fields),
        is_deleted=cap is None,
    )


def _true_now() -> float:
    return asyncio.get_running_loop().time()


def _poisson(rng: random.Random, mean: float) -> int:
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
