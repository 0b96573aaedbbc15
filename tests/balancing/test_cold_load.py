"""Tests of cold upstreams under load, in fleets whose views differ.

They run the model of `bench/cold_load.py`: gateways, callers that press, and
upstreams that turn cold, on a simulated clock. Load pattern: upstreams turn
cold in the middle of traffic.
"""

from types import MappingProxyType

import pytest

from bench.cold_cases import (
    ALL_GATEWAYS,
    REGIONS,
    cold_cases,
    make_starts,
    restarted,
    taken_back,
    turned_cold,
)
from bench.cold_load import ColdFleet, play_cold
from bench.cold_upstreams import ColdStart
from bench.cold_views import Boot

_COLD_PER_S = 3.5
#: The promised limit: `cold_factor` and `cold_slack` of the settings.
_BOUND = 1.5 * _COLD_PER_S + 5
_CASES = MappingProxyType(dict(cold_cases()))


def _check(fleet, seed=7):
    """Check the promised limit; requests must have been counted at all."""
    result = play_cold(fleet, seed)
    assert result.count() > 0
    assert result.worst() <= _BOUND
    return result


def _named(prefix):
    return [name for name in _CASES if name.startswith(prefix)]


@pytest.mark.parametrize('name', _named('cut_'))
def test_a_cold_upstream_is_safe_in_partitions(name):
    """Guards against LOST: each side of a partition sent at the whole rate of
    a cold upstream."""
    _check(_CASES[name])


@pytest.mark.parametrize('name', _named('boot_'))
def test_a_cold_upstream_is_safe_while_gateways_restart(name):
    """Guards against LOST: gateways that had just started, and saw few others,
    each sent to every cold upstream."""
    _check(_CASES[name])


@pytest.mark.parametrize('late_s', [0, 1])
@pytest.mark.parametrize('word_s', [0, 0.5])
def test_an_upstream_may_turn_cold_at_any_time(word_s, late_s):
    """Guards against LOST: word of a cold upstream comes late to some."""
    _check(turned_cold(word_s, late_s))


@pytest.mark.parametrize('is_renamed', [True, False])
@pytest.mark.parametrize('word_s', [0, 1, 2])
def test_an_upstream_may_restart_behind_a_cut(word_s, is_renamed):
    """Guards against FAILBACK: an upstream that the store does not reach has
    restarted, and all gateways sent to it as to a warm one."""
    _check(restarted(word_s, is_renamed=is_renamed))


@pytest.mark.parametrize('late_s', [0, 0.5])
@pytest.mark.parametrize('word_s', [0.5, 1.5])
def test_a_zone_is_taken_back_cold(word_s, late_s):
    """Guards against FAILBACK: all gateways sent to the upstreams of a zone
    that was taken back as to warm ones, until they registered as cold."""
    _check(taken_back(word_s, late_s))


def test_a_region_without_gateways_has_cold_upstreams():
    """Guards against LOST: the gateways of all other regions send there."""
    starts = make_starts(down_s=2, is_renamed=True, regions=('south',))
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
            *make_starts(1, 2, 3, 4, 5, down_s=2, is_renamed=True),
        ),
        boots=tuple(Boot(name, 9, down_s=5) for name in ALL_GATEWAYS[:28]),
        without_upstreams=frozenset(('north', 'south')),
    )
    _check(fleet)


@pytest.mark.parametrize('gateways', [1, 3, 28, 65])
def test_many_upstreams_turn_cold_at_once(gateways):
    """Guards against LOST: callers press while all upstreams are cold."""
    starts = make_starts(down_s=2, is_renamed=True, regions=REGIONS)
    result = _check(ColdFleet(starts, gateways=gateways, per_s=120))
    assert result.least() > 0
