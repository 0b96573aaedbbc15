"""Operators who race through faults of the platform, and status writes."""

import asyncio
import collections
import itertools
import json
import random
from collections.abc import Iterator

import attrs

from bench.measure import Findings, Measure, Table
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import NutmegshoreError, Outcome
from nutmegshore.operators import (
    Declaration,
    Declarer,
    StatusBoard,
    StatusPart,
    StatusWriter,
)
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.resources import Drain, Envelope

__all__ = ('measure',)

_RACES = 1000
_OPERATORS = 3
_ROUNDS = 3
_MAX_DELAY_S = 3
_MAX_LOST = 2
_OUTAGE_S = 4
_PREFIX = 'config/'
_ALL = 1_000_000
_ACCEPTED = 'accepted'

_REGIONS = 3
_DRAINS = 40
_SESSION_S = 600
#: The status writers may use a quarter of the 50 writes/s of the system.
_MAX_WRITES_PER_S = 12.5


def measure(seed: int) -> Findings:
    """Judge races by the store's log, and count status writes."""
    races = [_Race(seed * _RACES + number) for number in range(_RACES)]
    for race in races:
        run_virtual(race.run)
    answers = collections.Counter(
        itertools.chain.from_iterable(one.outcomes.values() for one in races),
    )
    rows = tuple((name, str(answers[name])) for name in sorted(answers))
    writes_per_s = run_virtual(_count_status_writes) / _SESSION_S
    zeros = {
        'operator_lost_accepts': sum(one.lost_accepts() for one in races),
        'operator_false_not_run': sum(one.false_not_run() for one in races),
        'operator_broken_counts': sum(one.broken_counts() for one in races),
    }
    return Findings(
        measures=(
            *_zero_measures(zeros, seed),
            Measure(
                'status_writes_per_s',
                writes_per_s,
                'writes/s',
                'a quarter of the 50 writes/s of the system',
                seed,
                writes_per_s <= _MAX_WRITES_PER_S,
            ),
        ),
        tables=(Table('Answers to racing writes', ('answer', 'count'), rows),),
    )


def _zero_measures(found: dict[str, int], seed: int) -> Iterator[Measure]:
    for name, count in found.items():
        yield Measure(name, count, 'writes', 'none', seed, count == 0)


class _Race:
    """Operators on entries of their own who write one object in turns."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.outcomes: dict[str, str] = {}

    async def run(self) -> None:
        """Race while answers are lost and the platform goes down once."""
        self._store = MemoryStore()
        await asyncio.gather(
            self._break_platform(),
            *(self._operate(number) for number in range(_OPERATORS)),
        )

    def lost_accepts(self) -> int:
        """Accepted writes that the store never had."""
        stored = {envelope['reason'] for envelope in self._iter_stored()}
        accepted = self._list_answered(_ACCEPTED)
        return len(accepted - stored)

    def false_not_run(self) -> int:
        """Writes that the store had although "not run" was answered."""
        stored = {envelope['reason'] for envelope in self._iter_stored()}
        refused = self._list_answered(Outcome.NOT_RUN.value)
        return len(refused & stored)

    def broken_counts(self) -> int:
        """Generations in the store's log that do not rise by one."""
        generations = [found['generation'] for found in self._iter_stored()]
        return sum(
            later != earlier + 1
            for earlier, later in itertools.pairwise([0, *generations])
        )

    def _list_answered(self, outcome: str) -> set[str]:
        return {
            reason
            for reason, answered in self.outcomes.items()
            if answered.startswith(outcome)
        }

    def _iter_stored(self) -> Iterator[dict]:
        changes = self._store.page_after(_PREFIX, 0, _ALL).changes
        for change in changes:
            yield json.loads(change.stored.body)

    async def _break_platform(self) -> None:
        self._store.faults.lost_answers = self._rng.randint(0, _MAX_LOST)
        await asyncio.sleep(self._rng.uniform(0, _MAX_DELAY_S * _ROUNDS))
        self._store.faults.is_down = self._rng.choice((True, False))
        await asyncio.sleep(_OUTAGE_S)
        self._store.faults.is_down = False

    async def _operate(self, number: int) -> None:
        platform = MemoryPlatform(self._store, VirtualClock())
        platform.faults.delay_s = self._rng.uniform(0, _MAX_DELAY_S)
        table = ConfigurationTable()
        rng = random.Random(self._rng.random())
        declarer = Declarer(platform, table, rng)
        rounds = 0
        while rounds < _ROUNDS:
            rounds += 1
            await asyncio.sleep(self._rng.uniform(0, _MAX_DELAY_S))
            await self._write(declarer, f'{number}-{rounds}')

    async def _write(self, declarer: Declarer, reason: str) -> None:
        spec = {'upstream': reason}
        wish = Declaration('drain', 'd', spec, 'ann', reason)
        try:
            await declarer.declare(wish)
        except NutmegshoreError as error:
            outcome = error.answer.outcome.value
            kind = error.kind.value
            self.outcomes[reason] = f'{outcome}: {kind}'
            return
        self.outcomes[reason] = _ACCEPTED


@attrs.define
class _Region:
    """The status writer of one region, with counts that always change."""

    store: MemoryStore
    name: str
    moved: int = 0

    async def run(self) -> None:
        table = ConfigurationTable()
        table.merge([_envelope(number) for number in range(_DRAINS)])
        board = StatusBoard(table, self.name, float, _members)
        board.add_provider(self._list_parts)
        clock = VirtualClock()
        platform = MemoryPlatform(self.store, clock)
        writer = StatusWriter(platform, board, clock, _always, Counters())
        writer.start()
        while self.moved < _SESSION_S:
            self.moved += 1
            await clock.sleep(1)
        await writer.stop()

    def _list_parts(self) -> list[StatusPart]:
        return [
            StatusPart('drain', f'd{number}', {'moved': self.moved})
            for number in range(_DRAINS)
        ]


async def _count_status_writes() -> int:
    store = MemoryStore()
    regions = [_Region(store, f'r{number}') for number in range(_REGIONS)]
    await asyncio.gather(*(region.run() for region in regions))
    return store.call_counts['write']


def _envelope(number: int) -> Envelope:
    name = f'd{number}'
    spec = Drain(upstream=name)
    return Envelope('drain', name, 1, 'uid', 'ann', '', 'op', spec)


def _members(envelope: Envelope) -> list[str]:
    return []


def _always() -> bool:
    return True
