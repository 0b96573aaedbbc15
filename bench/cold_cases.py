"""Cases of the model of cold starts: what befalls which fleet."""

import itertools
from collections.abc import Iterable, Iterator

from bench.cold_load import ColdFleet, upstream_name
from bench.cold_upstreams import ColdStart, Evacuation
from bench.cold_views import Boot
from bench.limit_views import Separation

__all__ = (
    'ALL_GATEWAYS',
    'REGIONS',
    'cold_cases',
    'make_starts',
    'restarted',
    'taken_back',
    'turned_cold',
)

_Case = tuple[str, ColdFleet]

_COLD_AT_S = 5
#: When zones are evacuated and gateways are cut off, and for how long.
_BEFORE_S = 2
_CUT_S = 30
_DOWN_S = 1.5
_GATEWAYS_PER_REGION = 28
REGIONS = ('west', 'north', 'south')
ALL_GATEWAYS = tuple(
    f'{region}-g{number}'
    for region in REGIONS
    for number in range(_GATEWAYS_PER_REGION)
)
_WEST = ALL_GATEWAYS[:_GATEWAYS_PER_REGION]
_THREE_OF_FIVE = (True, True, True, False, False)
_MOST = tuple(itertools.compress(ALL_GATEWAYS, itertools.cycle(_THREE_OF_FIVE)))


def make_starts(
    *numbers: int, regions: Iterable[str] = ('west',), **changes: object
) -> tuple[ColdStart, ...]:
    """Have upstreams of the given regions turn cold; by default all of them."""
    return tuple(
        ColdStart(upstream_name(region, number), _COLD_AT_S, **changes)
        for region in regions
        for number in numbers or range(6)
    )


def _separate(*groups: Iterable[str]) -> tuple[Separation, ...]:
    """Separate groups of gateways from all others, before upstreams turn."""
    return tuple(
        Separation(frozenset(group), _BEFORE_S, _CUT_S) for group in groups
    )


def _make_boots(
    names: Iterable[str], at_s: float = _COLD_AT_S, gap_s: float = 0
) -> tuple[Boot, ...]:
    """Have gateways start one after the other."""
    return tuple(map(Boot, names, itertools.count(at_s, gap_s)))


def turned_cold(word_s: float, late_s: float) -> ColdFleet:
    """Return a fleet whose upstreams turn cold as they run."""
    return ColdFleet(make_starts(word_s=word_s, late_s=late_s))


def restarted(word_s: float, *, is_renamed: bool) -> ColdFleet:
    """Return a fleet whose upstreams start again behind a cut."""
    return ColdFleet(
        make_starts(
            down_s=_DOWN_S, is_renamed=is_renamed, word_s=word_s, late_s=1
        )
    )


def taken_back(word_s: float, late_s: float) -> ColdFleet:
    """Return a fleet that takes a zone back whose upstreams are cold."""
    starts = make_starts(word_s=word_s, late_s=1)
    evacuation = Evacuation('west-a', _BEFORE_S, _COLD_AT_S - _BEFORE_S, late_s)
    return ColdFleet(starts, evacuations=(evacuation,))


def cold_cases() -> Iterator[_Case]:
    """Yield each case that the tests play, with its name."""
    yield from _iter_views()
    for turn in itertools.product((0, 0.5), (0, 1)):
        yield f'turn_{turn}', turned_cold(*turn)
    for word_s in (0, 1, 2):
        new = restarted(word_s, is_renamed=True)
        yield f'restart_new_id_{word_s}', new
        same = restarted(word_s, is_renamed=False)
        yield f'restart_same_id_{word_s}', same
    for back in itertools.product((0.5, 1.5), (0, 0.5)):
        yield f'taken_back_{back}', taken_back(*back)


def _iter_views() -> Iterator[_Case]:
    """Yield the cases in which gateways see different gateways."""
    renamed = make_starts(down_s=_BEFORE_S, is_renamed=True)
    every_fourth = ((name,) for name in ALL_GATEWAYS[::4])
    cuts = {
        'two_sides': _separate(ALL_GATEWAYS[::2]),
        'three_sides': _separate(ALL_GATEWAYS[::3], ALL_GATEWAYS[1::3]),
        'one_alone': _separate(_WEST[:1]),
        'each_of_a_quarter_alone': _separate(*every_fourth),
        'a_region_alone': _separate(_WEST),
    }
    for cut, separations in cuts.items():
        yield f'cut_{cut}', ColdFleet(renamed, separations=separations)
    boots_by_name = {
        'in_turn': _make_boots(_WEST, at_s=4, gap_s=0.1),
        'most_at_once': _make_boots(_MOST),
        'a_region_at_once': _make_boots(_WEST),
        'all_at_once': _make_boots(ALL_GATEWAYS),
    }
    for boot, boots in boots_by_name.items():
        yield f'boot_{boot}', ColdFleet(renamed, cold_s=6, boots=boots)
