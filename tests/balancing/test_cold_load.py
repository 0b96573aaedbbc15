"""Tests of cold upstreams under load, in fleets whose views differ.

They run the model of `bench/cold_load.py`: gateways, callers that press, and
upstreams that turn cold, on a simulated clock. Load pattern: upstreams turn
cold in the middle of traffic.
"""

import itertools
from types import MappingProxyType

import pytest

from bench.cold_load import ColdFleet, play_cold, upstream_name
from bench.cold_upstreams import ColdStart
from bench.cold_views import Boot
from bench.limit_views import Separation

_COLD_PER_S = 3.5
#: The promised limit: `cold_factor` and `cold_slack` of the settings.
_BOUND = 1.5 * _COLD_PER_S + 5
_AT_S = 5
_REGIONS = ('west', 'north', 'south')
_WEST = tuple(f'west-g{number}' for number in range(28))
_ALL = tuple(
    f'{region}-g{number}' for region in _REGIONS for number in range(28)
)


def _starts(*numbers, regions=('west',), **changes):
    return tuple(
        ColdStart(upstream_name(region, number), _AT_S, **changes)
        for region in regions
        for number in numbers or range(6)
    )


def _check(fleet, seed=7):
    """Check the promised limit; requests must have been counted at all."""
    result = play_cold(fleet, seed)
    assert result.count() > 0
    assert result.worst() <= _BOUND
    return result


def _sides(*groups):
    """Separate groups of gateways from all others, before upstreams turn."""
    return tuple(Separation(frozenset(group), 2, 30) for group in groups)


_CUTS = MappingProxyType(
    {
        'two_sides': _sides(_ALL[::2]),
        'three_sides': _sides(_ALL[::3], _ALL[1::3]),
        'one_alone': _sides(_WEST[:1]),
        'each_of_a_quarter_alone': _sides(*((name,) for name in _ALL[::4])),
        'a_region_alone': _sides(_WEST),
    }
)


@pytest.mark.parametrize('separations', _CUTS.values(), ids=_CUTS)
def test_a_cold_upstream_is_safe_in_partitions(separations):
    """Guards against LOST: each side of a partition sent at the whole rate of
    a cold upstream."""
    starts = _starts(down_s=2, is_renamed=True)
    _check(ColdFleet(starts, separations=separations))


_THREE_OF_FIVE = (True, True, True, False, False)
_MOST = tuple(itertools.compress(_ALL, itertools.cycle(_THREE_OF_FIVE)))


def _boots(names, at_s=_AT_S, gap_s=0):
    times = itertools.count(at_s, gap_s)
    return tuple(map(Boot, names, times))


_BOOTS = MappingProxyType(
    {
        'in_turn': _boots(_WEST, at_s=4, gap_s=0.1),
        'most_at_once': _boots(_MOST),
        'a_region_at_once': _boots(_WEST),
        'all_at_once': _boots(_ALL),
    }
)


@pytest.mark.parametrize('boots', _BOOTS.values(), ids=_BOOTS)
def test_a_cold_upstream_is_safe_while_gateways_restart(boots):
    """Guards against LOST: gateways that had just started, and saw few others,
    each sent to every cold upstream."""
    starts = _starts(down_s=2, is_renamed=True)
    _check(ColdFleet(starts, cold_s=6, boots=boots))


@pytest.mark.parametrize('late_s', [0, 1])
@pytest.mark.parametrize('word_s', [0, 0.5])
def test_an_upstream_may_turn_cold_at_any_time(word_s, late_s):
    """Guards against LOST: word of a cold upstream comes late to some."""
    _check(ColdFleet(_starts(word_s=word_s, late_s=late_s)))


@pytest.mark.parametrize('is_renamed', [True, False])
@pytest.mark.parametrize('word_s', [0, 1, 2])
def test_an_upstream_may_restart_behind_a_cut(word_s, is_renamed):
    """Guards against LOST: an upstream that the store does not reach has
    restarted, and gateways send by its old registration."""
    starts = _starts(down_s=1.5, is_renamed=is_renamed, word_s=word_s, late_s=1)
    _check(ColdFleet(starts))


def test_a_region_without_gateways_has_cold_upstreams():
    """Guards against LOST: the gateways of all other regions send there."""
    starts = _starts(down_s=2, is_renamed=True, regions=('south',))
    fleet = ColdFleet(
        starts,
        without_gateways=frozenset(('south',)),
        without_upstreams=frozenset(('west', 'north')),
    )
    assert _check(fleet).least() > 0


def test_a_region_whose_gateways_are_down_has_cold_upstreams():
    """Guards against LOST: a region lost all of its gateways, and those of all
    other regions sent to each of its cold upstreams."""
    fleet = ColdFleet(
        (
            ColdStart('west-u0', 2, down_s=1, is_renamed=True),
            *_starts(1, 2, 3, 4, 5, down_s=2, is_renamed=True),
        ),
        boots=tuple(Boot(name, 9, down_s=5) for name in _WEST),
        without_upstreams=frozenset(('north', 'south')),
    )
    _check(fleet)


@pytest.mark.parametrize('gateways', [1, 3, 28, 65])
def test_many_upstreams_turn_cold_at_once(gateways):
    """Guards against LOST: callers press while all upstreams are cold."""
    starts = _starts(down_s=2, is_renamed=True, regions=_REGIONS)
    result = _check(ColdFleet(starts, gateways=gateways, per_s=120))
    assert result.least() > 0
