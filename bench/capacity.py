"""Capacity at the long-run size: python -m bench.capacity --seed 7."""

import argparse
import json
import pathlib
import sys
from collections.abc import Callable

import attrs

from bench import capacity_parts as parts
from bench import capacity_roles as roles
from bench.capacity_cluster import ClusterCost, measure_cluster
from bench.capacity_fit import Fit, fit_best

_DEFAULT_SEED = 7
_LONG_RUN = 550
_LONG_UPSTREAMS = 2000
_CLUSTER_SIZES = (9, 30, 60, 90, 150)
_CAP_SIZES = (9, 30, 60)
_LOOKUP_SIZES = (9, 30, 90, _LONG_RUN)
_PLAN_SIZES = (220, 660, _LONG_UPSTREAMS)
_MEMORY_SIZES = (90, 180, _LONG_RUN)
_COUNTS = (30, 90, 300)

#: Values by size, by the name of the figure.
_Figures = dict[str, dict[int, float]]


@attrs.frozen
class Row:
    """A figure by size, its fit and its value at the long-run size."""

    name: str
    points: dict[int, float]
    target: int
    fit: Fit
    is_measured: bool

    @property
    def long_run(self) -> float:
        """Measured value at the target size, else that of the fit.

        A fit that falls with the size is not extended: the largest measured
        value stands instead.
        """
        if self.is_measured:
            return self.points[self.target]
        return max(self.fit.at(self.target), *self.points.values())

    @property
    def source(self) -> str:
        """Where the long-run value comes from."""
        if self.is_measured:
            return 'measured'
        if self.fit.at(self.target) < max(self.points.values()):
            return 'largest measured'
        return self.fit.form


def main() -> int:
    """Measure all, and write build/capacity.json and build/capacity.md."""
    parser = argparse.ArgumentParser(prog='python -m bench.capacity')
    parser.add_argument('--seed', type=int, default=_DEFAULT_SEED)
    parser.add_argument('--out', default='build')
    chosen = parser.parse_args()
    loop_s = parts.reference_s()
    rows = [
        *_cluster_rows(chosen.seed),
        *_role_rows(chosen.seed),
        *_part_rows(chosen.seed),
    ]
    out = pathlib.Path(chosen.out)
    out.mkdir(parents=True, exist_ok=True)
    found = {
        'seed': chosen.seed,
        'reference_s': loop_s,
        'rows': [_to_fields(row) for row in rows],
    }
    (out / 'capacity.json').write_text(json.dumps(found, indent=2))
    text = _to_text(rows, chosen.seed, loop_s)
    (out / 'capacity.md').write_text(text)
    sys.stdout.write(text)
    return 0


def _row(name: str, points: dict[int, float], target: int = _LONG_RUN) -> Row:
    # Up to 16 members every pair is linked; nine do not lie on the line of
    # the clusters that forward.
    large = {
        size: found
        for size, found in points.items()
        if size != _CLUSTER_SIZES[0]
    }
    fitted = points if len(points) == len(_CAP_SIZES) else large
    return Row(name, points, target, fit_best(fitted), target in points)


def _cluster_rows(seed: int) -> list[Row]:
    costs = [measure_cluster(size, seed) for size in _CLUSTER_SIZES]
    takes: dict[str, Callable[[ClusterCost], float]] = {
        'membership and configuration messages/s': _quiet_messages,
        'membership and configuration B/s': lambda one: one.quiet.sent,
        'membership and configuration cpu share': lambda one: one.quiet.cpu_s,
        'load exchange messages/s': lambda one: one.load.messages,
        'load exchange B/s': lambda one: one.load.sent,
        'load exchange cpu share': lambda one: one.load.cpu_s,
        'busiest member, all of these, B/s': lambda one: one.largest,
        'platform reads/s, quiet': lambda one: one.reads,
        'platform writes/s, quiet': lambda one: one.writes,
    }
    return [
        _row(name, {one.size: take(one) for one in costs})
        for name, take in takes.items()
    ]


def _quiet_messages(one: ClusterCost) -> float:
    return one.quiet.messages


def _role_rows(seed: int) -> list[Row]:
    caps = {size: roles.measure_caps(size, seed) for size in _CAP_SIZES}
    slots = {size: roles.measure_slots(size, seed) for size in _CAP_SIZES}
    once = {count: roles.measure_once(count) for count in _COUNTS}
    status = {count: roles.measure_status(count, seed) for count in _COUNTS}
    return [
        *_named('cap, all members', caps),
        *_named('slots, per entry', slots),
        *_named('keyed request, each', once),
        *_named('status objects, per region', status),
    ]


def _named(name: str, found: dict[int, dict[str, float]]) -> list[Row]:
    figures = next(iter(found.values()))
    return [
        _row(
            f'{name}: {figure}',
            {size: one[figure] for size, one in found.items()},
        )
        for figure in figures
    ]


def _part_rows(seed: int) -> list[Row]:
    lookups = {size: parts.measure_lookup(size, seed) for size in _LOOKUP_SIZES}
    plans = {size: parts.measure_plan(size) for size in _PLAN_SIZES}
    members = {size: parts.measure_members(size) for size in _MEMORY_SIZES}
    tables = {size: parts.measure_table(size) for size in _MEMORY_SIZES}
    return [
        _row('look-up with body, s', lookups),
        _row('build_plan by upstreams, s', plans, _LONG_UPSTREAMS),
        _row('membership state, traced B', members),
        _row('configuration table, traced B', tables),
    ]


def _to_fields(row: Row) -> dict:
    return {**attrs.asdict(row), 'long_run': row.long_run}


def _to_text(rows: list[Row], seed: int, loop_s: float) -> str:
    command = f'Command: `make capacity SEED={seed}`.'
    turns = 'Reference loop of 100,000 turns: {0:.6f} s.'.format(loop_s)
    lines = [
        f'{command} {turns}',
        '',
        '| figure | by size | fit | residual | long-run size | value |',
        '|---|---|---|---|---|---|',
        *map(_to_line, rows),
    ]
    return '\n'.join([*lines, ''])


def _to_line(row: Row) -> str:
    points = [
        '{0}: {1:.4g}'.format(size, found) for size, found in row.points.items()
    ]
    cells = (
        row.name,
        ', '.join(points),
        row.source,
        '{0:.2f}'.format(row.fit.residual),
        str(row.target),
        '{0:.4g}'.format(row.long_run),
    )
    return '| {0} |'.format(' | '.join(cells))


if __name__ == '__main__':
    sys.exit(main())
