"""Caps over all entries: use, calls, outages and faults."""

import asyncio
import contextlib
import functools
import itertools
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from types import MappingProxyType
from typing import Any
from unittest import mock

import attrs

from bench.caps_faults import Verdict, run_isolated, run_schedule
from bench.caps_fleet import Fleet, FleetOptions
from bench.caps_policies import StaticSplit, WriteGrants
from bench.measure import Findings, Measure, Table
from nutmegshore.caps import Caps
from nutmegshore.clock import run_virtual

__all__ = ('measure',)

_WORKERS = 6
_CAP = 900
_SIZES = (9, 30)
_STEADY_S = (20, 35)
_JUMP_AT_S = 35
_JUMPED_S = 10
_HEAVY = 1200
_SCHEDULES = 200
_ISOLATED = 10
#: Length of an outage and of the lease.
_OUTAGES_S = ((30, 600), (600, 600), (900, 600), (600, 1000))
_OUTAGE_AT_S = 20
_LOADED_S = 15
_READ_S = 5
_QUIET_S = 600
_STEADY_GOAL = 0.95
_JUMP_GOAL = 0.8
_CHOSEN = 'owners and loans'
_COMPARED = 'one heavy'
_POLICIES = MappingProxyType(
    {
        'static split': StaticSplit,
        'conditional writes': WriteGrants,
        'one lender': Caps,
        _CHOSEN: Caps,
    },
)
#: Units per second wanted at single entries, and at all others together.
_DEMANDS = MappingProxyType(
    {
        'one heavy': ({'e0': 1000, 'e1': 150, 'e2': 60}, 120),
        'two levels': ({'e0': 700, 'e1': 200, 'e2': 100}, 240),
        'three heavy': ({'e0': 400, 'e1': 300, 'e2': 300}, 480),
    },
)
#: All demands for the chosen policy, one for the others.
_USE_CASES = tuple(
    case
    for case in itertools.product(_POLICIES, _SIZES, _DEMANDS)
    if case[-1] == _COMPARED or case[0] == _CHOSEN
)
_OUTAGE_CASES = tuple(
    (policy, *lengths)
    for policy, lengths in itertools.product(_POLICIES, _OUTAGES_S)
)


@attrs.frozen
class _Result:
    policy: str
    count: int
    demand: str
    steady: float
    jumped: float
    over_cap: int
    reads_per_s: float
    writes_per_s: float
    messages_per_s: float


@contextlib.contextmanager
def _policy(name: str):
    """Limit the owners to one for the policy with one lender."""
    owners = 1 if name == 'one lender' else 9
    with mock.patch('nutmegshore.caps.caps.MAX_OWNERS', owners):
        yield _POLICIES[name]


def _run_use(seed: int, case: tuple[str, int, str]) -> _Result:
    with _policy(case[0]) as build:
        return run_virtual(lambda: _use(seed, case, build))


async def _use(
    seed: int,
    case: tuple[str, int, str],
    build: Callable[..., Any],
) -> _Result:
    _, count, demand = case
    options = FleetOptions(seed=seed, count=count, cap=_CAP, build=build)
    fleet = Fleet(options, functools.partial(_wanted, demand, count))
    fleet.judge.has_ledger = build is Caps
    await fleet.start()
    per_s = await _steady_calls(fleet)
    await asyncio.sleep(_JUMPED_S)
    now = asyncio.get_running_loop().time()
    await fleet.stop()
    return _Result(
        *case,
        fleet.judge.used(*_STEADY_S) / _CAP,
        fleet.judge.used(now - 1, now) / _CAP,
        fleet.judge.over_cap(),
        *per_s,
    )


async def _steady_calls(fleet: Fleet) -> list[float]:
    """Reads, writes and messages per second in the steady time."""
    start, end = _STEADY_S
    await asyncio.sleep(start)
    before = _calls(fleet)
    await asyncio.sleep(end - start)
    counts = zip(before, _calls(fleet), strict=True)
    return [(late - early) / (end - start) for early, late in counts]


def _wanted(demand: str, count: int, name: str, at: float) -> float:
    if at >= _JUMP_AT_S:
        return _HEAVY if name == 'e4' else 0
    single, others = _DEMANDS[demand]
    return single.get(name, others / (count - len(single)))


def _calls(fleet: Fleet) -> tuple[int, int, int]:
    counts = fleet.store.call_counts
    messages = sum(fleet.network.sent_messages.values())
    return (counts['read'], counts['write'], messages)


def _run_outage(
    seed: int, case: tuple[str, int, int]
) -> tuple[float, float, int]:
    with _policy(case[0]) as build:
        return run_virtual(lambda: _outage(seed, case[1:], build))


async def _outage(
    seed: int,
    lengths: tuple[int, int],
    build: Callable[..., Any],
) -> tuple[float, float, int]:
    """Use at the end of an outage and after it; the demand has moved."""
    seconds, lease_s = lengths
    ends = _OUTAGE_AT_S + seconds
    options = FleetOptions(
        seed=seed,
        cap=_CAP,
        lease_seconds=lease_s,
        build=build,
    )
    fleet = Fleet(options, functools.partial(_around_outage, ends))
    fleet.judge.has_ledger = build is Caps
    await fleet.start()
    await asyncio.sleep(_OUTAGE_AT_S)
    fleet.store.faults.is_down = True
    await asyncio.sleep(seconds)
    fleet.store.faults.is_down = False
    await asyncio.sleep(_LOADED_S)
    await fleet.stop()
    after = ends + _LOADED_S
    return (
        fleet.judge.used(ends - _READ_S, ends) / _CAP,
        fleet.judge.used(after - _READ_S, after) / _CAP,
        fleet.judge.over_cap(),
    )


def _around_outage(ends: float, name: str, at: float) -> float:
    if at < _OUTAGE_AT_S:
        return _HEAVY if name == 'e0' else 0
    if at < ends - _LOADED_S:
        return 0
    return _HEAVY if name == 'e4' else 0


def _run_calls(seed: int, count: int) -> tuple[float, float, int]:
    """Platform reads and writes per second of one cap in quiet times."""
    return run_virtual(lambda: _quiet(seed, count))


async def _quiet(seed: int, count: int) -> tuple[float, float, int]:
    fleet = Fleet(
        FleetOptions(seed=seed, count=count, cap=_CAP, step_s=1),
        lambda name, at: 1,
    )
    await fleet.start()
    await asyncio.sleep(_OUTAGE_AT_S)
    before = _calls(fleet)
    await asyncio.sleep(_QUIET_S)
    reads, writes, _ = _calls(fleet)
    await fleet.stop()
    return (
        (reads - before[0]) / _QUIET_S,
        (writes - before[1]) / _QUIET_S,
        fleet.judge.over_cap(),
    )


def measure(seed: int) -> Findings:
    """Compare the policies and run the fault schedules."""
    with ProcessPoolExecutor(_WORKERS) as workers:
        runs = _run_all(seed, workers)
    return Findings(
        measures=(
            *_use_measures(seed, runs.results),
            _over_measure(seed, runs.over_caps()),
        ),
        tables=(
            _use_table(runs.results),
            _outage_table(runs.outages),
            _quiet_table(runs.quiet),
        ),
    )


@attrs.frozen
class _Runs:
    """What all runs showed, the outages and quiet times by their case."""

    results: list[_Result]
    outages: dict[tuple[str, int, int], tuple[float, float, int]]
    verdicts: list[Verdict]
    quiet: dict[int, tuple[float, float, int]]

    def over_caps(self) -> list[int]:
        """Uses over the cap of each run."""
        return [
            *[found.over_cap for found in self.results],
            *[found[-1] for found in self.outages.values()],
            *[found[-1] for found in self.quiet.values()],
            *[verdict.over_cap for verdict in self.verdicts],
        ]


def _run_all(seed: int, workers: ProcessPoolExecutor) -> _Runs:
    """Give all runs to the workers, then wait for them."""
    used = workers.map(functools.partial(_run_use, seed), _USE_CASES)
    lasted = workers.map(functools.partial(_run_outage, seed), _OUTAGE_CASES)
    seeds = range(seed, seed + _SCHEDULES)
    faulty = workers.map(run_schedule, seeds, chunksize=5)
    alone = workers.map(run_isolated, seeds[:_ISOLATED])
    calls = workers.map(functools.partial(_run_calls, seed), _SIZES)
    return _Runs(
        results=list(used),
        outages=dict(zip(_OUTAGE_CASES, lasted, strict=True)),
        verdicts=[*faulty, *alone],
        quiet=dict(zip(_SIZES, calls, strict=True)),
    )


def _use_measures(seed: int, results: list[_Result]) -> list[Measure]:
    measures = []
    for count in _SIZES:
        found = [one for one in results if one.count == count]
        measures.append(
            _use_measure(seed, found, ('steady', _STEADY_GOAL)),
        )
        measures.append(
            _use_measure(seed, found, ('jumped', _JUMP_GOAL)),
        )
    return measures


def _use_measure(
    seed: int,
    results: list[_Result],
    wanted: tuple[str, float],
) -> Measure:
    """The worst demand of the chosen policy against the others."""
    field, goal = wanted
    shares = {one.policy: getattr(one, field) for one in results}
    chosen = [getattr(one, field) for one in results if one.policy == _CHOSEN]
    shares.pop(_CHOSEN)
    return Measure(
        name=f'caps_{field}_use_{results[0].count}',
        value=min(chosen),
        unit='of the cap',
        goal=f'at least {goal}, worst of the demands',
        seed=seed,
        is_met=min(chosen) >= goal,
        baselines=shares,
    )


def _over_measure(seed: int, over: list[int]) -> Measure:
    return Measure(
        name='over_cap',
        value=sum(over),
        unit=f'uses in {len(over)} sessions',
        goal='0',
        seed=seed,
        is_met=not any(over),
    )


def _use_table(results: list[_Result]) -> Table:
    columns = (
        'policy',
        'entries',
        'demand',
        'steady use',
        'use 10 s after a jump',
        'over_cap',
        'reads/s',
        'writes/s',
        'messages/s',
    )
    rows = [tuple(map(_cell, attrs.astuple(one))) for one in results]
    return Table('Use of a cap by policy', columns, tuple(rows))


def _outage_table(
    ends: dict[tuple[str, int, int], tuple[float, float, int]],
) -> Table:
    columns = (
        'policy',
        'outage s',
        'lease s',
        'use at its end',
        '15 s later',
        'over',
    )
    found = [(*case, *measured) for case, measured in ends.items()]
    rows = [tuple(map(_cell, one)) for one in found]
    return Table('Use of a cap in a platform outage', columns, tuple(rows))


def _quiet_table(quiet: dict[int, tuple[float, float, int]]) -> Table:
    columns = ('entries', 'reads/s', 'writes/s', 'over_cap')
    rows = [
        tuple(map(_cell, (count, *found))) for count, found in quiet.items()
    ]
    return Table(
        'Platform calls of one cap with a lease of 600 s', columns, tuple(rows)
    )


def _cell(found: object) -> str:
    return format(found, '.4f') if isinstance(found, float) else str(found)
