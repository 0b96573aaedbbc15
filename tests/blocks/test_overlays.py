"""Tests of drains, limits and shifts of whole sites."""

import random
import socket

import pytest

from nutmegshore.blocks import (
    BlockTable,
    Overlays,
    SiteAnswer,
    SiteDrain,
    SiteLimit,
    SiteLookup,
    SiteShift,
)

_CALLER = socket.inet_aton('10.1.2.3')


class _Units:
    """Available units by object name; records the acquired ones."""

    def __init__(self):
        self.remaining = {}
        self.acquired = []

    def try_acquire(self, origin):
        if self.remaining.get(origin.name, 0) < 1:
            return False
        self.remaining[origin.name] -= 1
        self.acquired.append(origin.name)
        return True


@pytest.fixture
def units():
    """No units for any object."""
    return _Units()


@pytest.fixture
def overlays(units):
    """Overlays without drains, limits or shifts."""
    return Overlays(random.Random(7), units.try_acquire)


@pytest.fixture
def lookup(overlays, make_block):
    """Look-up in a table with one block on sites 1, 2 and 3."""
    table = BlockTable()
    table.put(make_block('10.0.0.0/8', 1, 2, 3))
    return SiteLookup(table, overlays)


def test_a_drained_site_is_excluded_and_the_drain_named(
    lookup, overlays, origin
):
    """Guards against a drained site in an answer, or an unnamed drain."""
    assert lookup.find(_CALLER) == SiteAnswer((1, 2, 3))
    drain = origin('drain', 'a')
    other = origin('drain', 'b')
    overlays.replace(drains=[SiteDrain(2, other), SiteDrain(2, drain)])
    assert lookup.find(_CALLER) == SiteAnswer((1, 3), (drain,))
    overlays.replace(drains=[SiteDrain(9, drain)])
    assert lookup.find(_CALLER) == SiteAnswer((1, 2, 3))


def test_no_site_remains_when_all_are_drained(lookup, overlays, origin):
    """Guards against a drain that is ignored when no site remains."""
    drain = origin('drain', 'a')
    overlays.replace(drains=[SiteDrain(site, drain) for site in (1, 2, 3)])
    assert lookup.find(_CALLER) == SiteAnswer((), (drain, drain, drain))


def test_a_shift_moves_one_look_up_per_unit(lookup, overlays, units, origin):
    """Guards against a shift that exceeds its cap or is not named."""
    shift = origin('shift', 's')
    units.remaining = {'s': 5}
    overlays.replace(shifts=[SiteShift(1, 3, 1, shift)])
    answers = [lookup.find(_CALLER) for _ in range(20)]
    assert answers.count(SiteAnswer((3, 1, 2), (shift,))) == 5
    assert answers.count(SiteAnswer((1, 2, 3))) == 15


def test_a_shift_acquires_units_only_for_its_share(
    lookup, overlays, units, origin
):
    """Guards against a share that is ignored or applied twice."""
    units.remaining = {'s': 10_000}
    overlays.replace(shifts=[SiteShift(1, 9, 0.25, origin('shift', 's'))])
    answers = [lookup.find(_CALLER) for _ in range(4_000)]
    moved = sum(answer.sites[0] == 9 for answer in answers)
    assert moved == len(units.acquired)
    assert 900 < moved < 1_100


def test_a_drain_takes_precedence_over_a_shift_into_the_site(
    lookup, overlays, units, origin
):
    """Guards against a shift that sends callers to a drained site."""
    units.remaining = {'s': 9}
    overlays.replace(
        drains=[SiteDrain(3, origin('drain', 'd'))],
        shifts=[SiteShift(1, 3, 1, origin('shift', 's'))],
    )
    assert lookup.find(_CALLER).sites == (1, 2)
    assert not units.acquired


def test_a_limit_takes_precedence_over_a_shift_into_the_site(
    lookup, overlays, units, origin
):
    """Guards against a shift that exceeds the receiving site's limit."""
    units.remaining = {'s': 9, 'l': 2}
    overlays.replace(
        limits=[SiteLimit(3, origin('limit', 'l'))],
        shifts=[SiteShift(1, 3, 1, origin('shift', 's'))],
    )
    firsts = [lookup.find(_CALLER).sites[0] for _ in range(6)]
    assert firsts == [3, 3, 1, 1, 1, 1]
    assert units.remaining == {'s': 7, 'l': 0}


def test_a_limited_site_without_units_is_dropped(
    lookup, overlays, units, origin
):
    """Guards against a limit that is exceeded or not named."""
    first, second = origin('limit', 'a'), origin('limit', 'b')
    units.remaining = {'a': 1, 'b': 1}
    overlays.replace(limits=[SiteLimit(1, first), SiteLimit(2, second)])
    assert [lookup.find(_CALLER) for _ in range(3)] == [
        SiteAnswer((1, 2, 3)),
        SiteAnswer((2, 3), (first,)),
        SiteAnswer((3,), (first, second)),
    ]


def test_the_shift_with_the_lowest_name_applies(
    lookup, overlays, units, origin
):
    """Guards against an answer that depends on the order of arrival."""
    units.remaining = {'a': 9, 'b': 9}
    lower = SiteShift(1, 2, 1, origin('shift', 'a'))
    higher = SiteShift(1, 3, 1, origin('shift', 'b'))
    for shifts in ([lower, higher], [higher, lower]):
        overlays.replace(shifts=shifts)
        assert lookup.find(_CALLER).sites == (2, 1, 3)


def test_a_cached_answer_does_not_outlive_its_ranking(overlays, make_block):
    """Guards against a stale answer after a load."""
    table = BlockTable()
    lookup = SiteLookup(table, overlays)
    assert lookup.find(_CALLER) is None
    table.put(make_block('10.0.0.0/8', 1))
    assert lookup.find(_CALLER).sites == (1,)
    rebuild = table.begin_rebuild()
    rebuild.block_set.change(make_block('10.0.0.0/8').network, (2,))
    table.finish_rebuild(rebuild)
    assert lookup.find(_CALLER).sites == (2,)
