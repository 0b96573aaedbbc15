"""What the balancing decisions make of whole loads, on the model."""

import attrs

from bench.balancing_load import (
    Pattern,
    Served,
    patelwadi,
    play,
    vestfold,
)
from bench.measure import Findings, Measure

__all__ = ('measure',)

_PLAYS = 6
#: Callers a second in each region: three times those of the most frequent
#: kind of request on a calm day.
_PATELWADI_PER_S = 45
_VESTFOLD_PER_S = 111


def measure(seed: int) -> Findings:
    """Compare each load with gateways that move nothing between regions."""
    found: list[Measure] = []
    patterns = (
        ('patelwadi', patelwadi(_PATELWADI_PER_S)),
        ('vestfold', vestfold(_VESTFOLD_PER_S)),
    )
    for name, pattern in patterns:
        moving = _play_all(pattern, seed)
        staying = _play_all(attrs.evolve(pattern, max_shift=0), seed)
        found.extend(_compare(name, seed, moving, staying))
    return Findings(measures=tuple(found))


def _play_all(pattern: Pattern, seed: int) -> list[dict[str, Served]]:
    return [play(pattern, seed + number) for number in range(_PLAYS)]


def _compare(
    name: str,
    seed: int,
    moving: list[dict[str, Served]],
    staying: list[dict[str, Served]],
) -> tuple[Measure, ...]:
    in_time = (_in_time(moving), _in_time(staying))
    worst = (_worst_in_time(moving), _worst_in_time(staying))
    refused = (_refused(moving), _refused(staying))
    return (
        _measure(name, 'in_time', seed, in_time),
        _measure(name, 'in_time_worst_region', seed, worst),
        _measure(name, 'refused', seed, refused, is_less_better=True),
    )


def _measure(
    name: str,
    what: str,
    seed: int,
    found: tuple[float, float],
    *,
    is_less_better: bool = False,
) -> Measure:
    """Compare the part of the requests with and without moves."""
    moving, staying = found
    is_met = moving <= staying if is_less_better else moving >= staying
    return Measure(
        f'balancing_{name}_{what}',
        moving,
        'part of the requests',
        'no worse than without moves',
        seed,
        is_met,
        {'all at home': staying},
    )


def _in_time(plays: list[dict[str, Served]]) -> float:
    found = [served for one in plays for served in one.values()]
    asked = sum(one.asked for one in found)
    return round(sum(one.in_time for one in found) / asked, 3)


def _worst_in_time(plays: list[dict[str, Served]]) -> float:
    """Mean over the plays of the worst region's part."""
    worst = [min(one.in_time_part for one in found.values()) for found in plays]
    return round(sum(worst) / len(worst), 3)


def _refused(plays: list[dict[str, Served]]) -> float:
    found = [served for one in plays for served in one.values()]
    asked = sum(one.asked for one in found)
    return round(sum(one.refused for one in found) / asked, 3)
