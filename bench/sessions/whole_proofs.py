"""Whether the checks of whole sessions see each rule that is taken out."""

import functools
from concurrent.futures import Executor, ProcessPoolExecutor

from bench.measure import Findings, Measure, Table
from bench.whole_faults import run_schedule
from bench.whole_judge import MEASURES
from bench.whole_rules import RULES, without

__all__ = ('measure',)

_WORKERS = 6
_SEEDS = 16


def measure(seed: int) -> Findings:
    """Run a few schedules without each rule."""
    with ProcessPoolExecutor(_WORKERS) as pool:
        reds = {name: _count_reds(pool, name, seed) for name in MEASURES}
    rows = [
        (name, RULES[name][0], f'{count} of {_SEEDS}')
        for name, count in reds.items()
    ]
    unseen = sum(count == 0 for count in reds.values())
    return Findings(
        measures=(
            Measure(
                'whole_rules_unseen',
                unseen,
                'checks that stay green without their rule',
                '0',
                seed,
                unseen == 0,
            ),
        ),
        tables=(
            Table(
                'Rules taken out',
                ('check', 'rule taken out', 'seeds red'),
                tuple(rows),
            ),
        ),
    )


def _count_reds(pool: Executor, name: str, first: int) -> int:
    run = functools.partial(_is_red, name)
    return sum(pool.map(run, range(first, first + _SEEDS)))


def _is_red(name: str, seed: int) -> bool:
    with without(name):
        return bool(run_schedule(seed).breaches[name])
