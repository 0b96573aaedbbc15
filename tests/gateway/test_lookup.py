"""Tests of look-up answers."""

import random

import pytest

from nutmegshore.gateway.lookup import Directory, Gateway
from nutmegshore.gateway.route import Configuration
from nutmegshore.peers import Member
from nutmegshore.platform.lookup import LookupQuestion


def _gateway(name, region):
    return Gateway(Member(name, region, f'{region}-a'), f'{name}:80')


@pytest.fixture
def find():
    """Function that asks a directory of these gateways."""

    def ask(question, *gateways, configuration=None):
        zones = {'west-a': 'west', 'east-a': 'east'}
        directory = Directory(lambda: gateways, random.Random(7), zones)
        return directory.find(question, configuration)

    return ask


_WEST = LookupQuestion('a.example', 'west', 'west-a')


def test_all_gateways_of_the_region_are_named(find):
    """Guards against callers crowded on one gateway, or sent far away."""
    found = find(
        _WEST,
        _gateway('w1', 'west'),
        _gateway('w2', 'west'),
        _gateway('e1', 'east'),
    )
    assert sorted(found) == ['w1:80', 'w2:80']


def test_a_region_without_gateways_is_served_from_others(find):
    """Guards against callers who are told of nobody."""
    assert find(_WEST, _gateway('e1', 'east')) == ['e1:80']


def test_a_home_goes_before_other_regions(find, route):
    """Guards against bodies sent to a region that may not hold them."""
    homes = route(homes=frozenset(('east',)))
    found = find(
        _WEST,
        _gateway('e1', 'east'),
        _gateway('s1', 'south'),
        configuration=Configuration(1, (homes,), {}),
    )
    assert found == ['e1:80']


def test_a_zone_tells_the_region(find):
    """Guards against a question without a region that finds no near one."""
    question = LookupQuestion('a.example', '', 'east-a')
    found = find(question, _gateway('w1', 'west'), _gateway('e1', 'east'))
    assert found == ['e1:80']


def test_nobody_is_named_where_nobody_is_ready(find):
    """Guards against an address made up for want of a gateway."""
    assert not find(_WEST)


def test_an_answer_names_few_of_many(find):
    """Guards against answers that grow with the fleet."""
    gateways = [_gateway(f'w{number}', 'west') for number in range(550)]
    assert len(find(_WEST, *gateways)) == 16
