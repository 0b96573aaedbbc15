"""Tests of whole-site changes over the ranked lists."""

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
    """Units by object name; counts those that were taken."""

    def __init__(self):
        self.left = {}
        self.taken = []

    def take(self, origin):
        if self.left.get(origin.name, 0) < 1:
            return False
        self.left[origin.name] -= 1
        self.taken.append(origin.name)
        return True


@pytest.fixture
def units():
    """Gate without units."""
    return _Units()


@pytest.fixture
def overlays(units):
    """Overlays without changes."""
    return Overlays(random.Random(7), units.take)


@pytest.fixture
def lookup(overlays, make_block):
    """Look-up in a table with one block on sites 1, 2 and 3."""
    table = BlockTable()
    table.put(make_block('10.0.0.0/8', 1, 2, 3))
    return SiteLookup(table, overlays)


def test_a_drained_site_is_left_out_and_the_drain_named(
    lookup, overlays, origin
):
    """Guards against callers sent to a drained site, or out of cause."""
    assert lookup.find(_CALLER) == SiteAnswer((1, 2, 3))
    drain = origin('drain', 'a')
    other = origin('drain', 'b')
    overlays.replace(drains=[SiteDrain(2, other), SiteDrain(2, drain)])
    assert lookup.find(_CALLER) == SiteAnswer((1, 3), (drain,))
    overlays.replace(drains=[SiteDrain(9, drain)])
    assert lookup.find(_CALLER) == SiteAnswer((1, 2, 3))


def test_no_site_is_left_when_all_are_drained(lookup, overlays, origin):
    """Guards against a drain that is given up to find any site."""
    drain = origin('drain', 'a')
    overlays.replace(drains=[SiteDrain(site, drain) for site in (1, 2, 3)])
    assert lookup.find(_CALLER) == SiteAnswer((), (drain, drain, drain))


def test_a_shift_moves_as_many_as_it_gets_units(
    lookup, overlays, units, origin
):
    """Guards against a shift over its cap and against one without cause."""
    shift = origin('shift', 's')
    units.left = {'s': 5}
    overlays.replace(shifts=[SiteShift(1, 3, 1, shift)])
    answers = [lookup.find(_CALLER) for _ in range(20)]
    assert answers.count(SiteAnswer((3, 1, 2), (shift,))) == 5
    assert answers.count(SiteAnswer((1, 2, 3))) == 15


def test_a_shift_asks_for_units_only_for_its_share(
    lookup, overlays, units, origin
):
    """Guards against a share that is ignored or applied twice."""
    units.left = {'s': 10_000}
    overlays.replace(shifts=[SiteShift(1, 9, 0.25, origin('shift', 's'))])
    answers = [lookup.find(_CALLER) for _ in range(4_000)]
    moved = sum(answer.sites[0] == 9 for answer in answers)
    assert moved == len(units.taken)
    assert 900 < moved < 1_100


def test_a_drain_goes_before_a_shift_into_the_site(
    lookup, overlays, units, origin
):
    """Guards against a shift that sends callers to a drained site."""
    units.left = {'s': 9}
    overlays.replace(
        drains=[SiteDrain(3, origin('drain', 'd'))],
        shifts=[SiteShift(1, 3, 1, origin('shift', 's'))],
    )
    assert lookup.find(_CALLER).sites == (1, 2)
    assert not units.taken


def test_a_limit_goes_before_a_shift_into_the_site(
    lookup, overlays, units, origin
):
    """Guards against a shift over the receiving site's limit."""
    units.left = {'s': 9, 'l': 2}
    overlays.replace(
        limits=[SiteLimit(3, origin('limit', 'l'))],
        shifts=[SiteShift(1, 3, 1, origin('shift', 's'))],
    )
    firsts = [lookup.find(_CALLER).sites[0] for _ in range(6)]
    assert firsts == [3, 3, 1, 1, 1, 1]
    assert units.left == {'s': 7, 'l': 0}


def test_a_limited_site_without_units_falls_out(
    lookup, overlays, units, origin
):
    """Guards against a limit that is exceeded or whose cause is missing."""
    first, second = origin('limit', 'a'), origin('limit', 'b')
    units.left = {'a': 1, 'b': 1}
    overlays.replace(limits=[SiteLimit(1, first), SiteLimit(2, second)])
    assert [lookup.find(_CALLER) for _ in range(3)] == [
        SiteAnswer((1, 2, 3)),
        SiteAnswer((2, 3), (first,)),
        SiteAnswer((3,), (first, second)),
    ]


def test_the_lower_name_counts_among_shifts(lookup, overlays, units, origin):
    """Guards against an answer that depends on the order of arrival."""
    units.left = {'a': 9, 'b': 9}
    lower = SiteShift(1, 2, 1, origin('shift', 'a'))
    higher = SiteShift(1, 3, 1, origin('shift', 'b'))
    for shifts in ([lower, higher], [higher, lower]):
        overlays.replace(shifts=shifts)
        assert lookup.find(_CALLER).sites == (2, 1, 3)


def test_a_kept_answer_does_not_outlive_its_ranking(overlays, make_block):
    """Guards against an answer of the table before a load."""
    table = BlockTable()
    lookup = SiteLookup(table, overlays)
    assert lookup.find(_CALLER) is None
    table.put(make_block('10.0.0.0/8', 1))
    assert lookup.find(_CALLER).sites == (1,)
    rebuild = table.begin_rebuild()
    rebuild.block_set.change(make_block('10.0.0.0/8').network, (2,))
    table.finish_rebuild(rebuild)
    assert lookup.find(_CALLER).sites == (2,)
