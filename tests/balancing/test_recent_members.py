"""Tests of the gateways that share an allowance."""

import pytest

from nutmegshore.balancing.recent_members import RecentMembers


@pytest.fixture
def seen():
    """Names that the gateways of a test see; the test changes them."""
    return ['g1', 'g2', 'g3', 'g4']


@pytest.fixture
def members(clock, seen):
    """Members of a region that change with `seen`."""
    return RecentMembers(clock, lambda region: list(seen))


def test_the_recent_names_are_one_object_until_they_change(
    members, clock, seen
):
    """Guards against a ranking of all gateways for each request, which is kept
    for as long as the names are the same object."""
    first = members.recent_names('west')
    clock.advance(1)
    assert members.recent_names('west') is first
    seen.append('g5')
    clock.advance(1)
    assert members.recent_names('west') == first | {'g5'}


def test_gateways_that_vanish_count_for_a_while(members, clock, seen):
    """Guards against an allowance that both sides of a partition use."""
    members.observe('west')
    seen.remove('g3')
    seen.remove('g4')
    clock.advance(1)
    assert members.names('west') == ('g1', 'g2')
    assert members.count('west') == 4
    assert 2 * members.visible_fraction('west') == 1
    clock.advance(31)
    assert members.visible_fraction('west') == 1
