"""Spread of the configuration, deaths, traffic and platform calls."""

import itertools
import math
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from bench.measure import Chart, Findings, Measure, Table
from bench.peers_faults import Verdict, run_schedule
from bench.peers_session import PLANS, Plan, Recorded, Session
from nutmegshore.clock import run_virtual

__all__ = ('measure',)

_WORKERS = 4
_LONG_RUN = 550
_SCHEDULES = 4
_MEDIAN = 50
_P99 = 99
_PERCENT = 100

# Goals of the design page.
_EVERYWHERE_S = 14
_NINE_P99_S = 2
_BYTES_PER_S = 23_000
_READS_PER_S = 100
_WRITES_PER_S = 50
#: Rate at which a boot of many reads the platform's list.
_FIRST_READS_PER_S = 60


def measure(seed: int) -> Findings:
    """Measure three sizes and a handful of fault schedules."""
    recorded, verdicts = _run_all(seed)
    measures = [_measures(one, seed) for one in recorded]
    return Findings(
        measures=(
            *itertools.chain.from_iterable(measures),
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


def _run_all(seed: int) -> tuple[list[Recorded], list[Verdict]]:
    """Run all sizes and schedules, the longest session first."""
    with ProcessPoolExecutor(_WORKERS) as workers:
        plans = reversed(PLANS)
        sizes = workers.map(partial(_run, seed=seed), plans)
        seeds = range(seed, seed + _SCHEDULES)
        verdicts = list(workers.map(run_schedule, seeds))
        recorded = list(sizes)
    return list(reversed(recorded)), verdicts


def _run(plan: Plan, seed: int) -> Recorded:
    return run_virtual(lambda: Session(plan, seed).run())


def _percentile(values: list[float], percent: float) -> float:
    ranked = sorted(values)
    index = math.ceil(len(ranked) * percent / _PERCENT) - 1
    return ranked[max(index, 0)]


def _measures(one: Recorded, seed: int) -> list[Measure]:
    size = one.size
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
    if size == PLANS[0].size:
        p99 = _percentile(one.spread_s, _P99)
        found.append(_nine(p99, seed))
    return found


def _nine(p99: float, seed: int) -> Measure:
    goal = f'p99 at most {_NINE_P99_S} s'
    is_met = p99 <= _NINE_P99_S
    return Measure('everywhere_p99_9', p99, 's', goal, seed, is_met)


def _bounded(name: str, value: float, goal: str, seed: int) -> Measure:
    return Measure(name, value, 's', goal, seed, value <= _EVERYWHERE_S)


def _worked_out(recorded: list[Recorded], seed: int) -> list[Measure]:
    """Values for the long-run size, fitted on the sizes that forward.

    Links per member grow with the logarithm of the size, and the reads of a
    boot with the size, as does the time over which they are spread. Outages
    cost what the watchers read, whatever the size.
    """
    small, large = recorded[1:]
    logs = [math.log2(size) for size in (small.size, large.size, _LONG_RUN)]
    sent = _extend(logs, (small.bytes_per_s, large.bytes_per_s))
    sizes = [small.size, large.size, _LONG_RUN]
    boot = _extend(sizes, (small.boot_reads, large.boot_reads))
    boot_rate = boot * _FIRST_READS_PER_S / _LONG_RUN
    reads = f'under {_READS_PER_S} reads/s'
    return [
        _below('bytes_per_s_550', sent, _BYTES_PER_S, '23 KB/s', seed),
        _below('boot_reads_550', boot_rate, _READS_PER_S, reads, seed),
        _below(
            'outage_reads_550',
            large.recovery_peak,
            _READS_PER_S,
            reads,
            seed,
        ),
        _below(
            'steady_writes_550',
            large.steady_writes,
            _WRITES_PER_S,
            f'under {_WRITES_PER_S} writes/s',
            seed,
        ),
    ]


def _below(
    name: str,
    found: float,
    bound: float,
    goal: str,
    seed: int,
) -> Measure:
    return Measure(name, found, '1/s', goal, seed, found < bound)


def _extend(places: list[float], known: tuple[float, float]) -> float:
    """Extend the line through two known points to the third place."""
    first, second, third = places
    slope = (known[1] - known[0]) / (second - first)
    return known[1] + slope * (third - second)


def _reverts(verdicts: list[Verdict], seed: int) -> Measure:
    count = sum(len(verdict.reverts) for verdict in verdicts)
    is_sound = all(verdict.is_sound for verdict in verdicts)
    goal = f'0 in {_SCHEDULES} schedules, all converge'
    return Measure(
        'peers_config_revert', count, 'reverts', goal, seed, is_sound
    )


#: Name of a figure and its text for one size.
_Row = tuple[str, Callable[[Recorded], str]]


def _table(recorded: list[Recorded]) -> Table:
    return Table(
        'Spread and membership by size (p50 / p99 / max)',
        ('figure', *[str(one.size) for one in recorded]),
        tuple((name, *map(text, recorded)) for name, text in _ROWS),
    )


def _spread_text(values: list[float]) -> str:
    shares = (
        _percentile(values, _MEDIAN),
        _percentile(values, _P99),
        max(values),
    )
    return ' / '.join(f'{value:.3f}' for value in shares)


_TIME_ROWS: tuple[_Row, ...] = (
    ('in force everywhere, s', lambda one: _spread_text(one.spread_s)),
    ('store down after accept, s', lambda one: _spread_text(one.down_s)),
    ('burst of 100, s', lambda one: _spread_text(one.burst_s)),
    ('after a heal, s', lambda one: _spread_text(one.healed_s)),
    ('death noticed, s', lambda one: _spread_text(one.death_s)),
)
_COUNT_ROWS: tuple[_Row, ...] = (
    ('false verdicts', lambda one: str(one.false_deaths)),
    ('B/s per member', lambda one: f'{one.bytes_per_s:.0f}'),
    ('messages/s per member', lambda one: f'{one.messages_per_s:.1f}'),
    ('reads/s, steady', lambda one: f'{one.steady_reads:.2f}'),
    ('writes/s, steady', lambda one: f'{one.steady_writes:.2f}'),
    ('boot, s until all ready', lambda one: f'{one.boot_s:.1f}'),
    ('reads in a boot', lambda one: f'{one.boot_reads}'),
    ('reads in the busiest second of boot', lambda one: f'{one.boot_peak}'),
    ('the same after an outage', lambda one: f'{one.recovery_peak}'),
)
_ROWS = _TIME_ROWS + _COUNT_ROWS
