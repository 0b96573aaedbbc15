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
    """Function that queries a directory of some gateways."""

    def find_addresses(question, *gateways, configuration=None):
        zones = {'west-a': 'west', 'east-a': 'east'}
        directory = Directory(lambda: gateways, random.Random(7), zones)
        return directory.find(question, configuration)

    return find_addresses


_WEST = LookupQuestion('a.example', 'west', 'west-a')


def test_all_gateways_of_the_region_are_named(find):
    """Guards against callers that all use one gateway or a distant one."""
    addresses = find(
        _WEST,
        _gateway('w1', 'west'),
        _gateway('w2', 'west'),
        _gateway('e1', 'east'),
    )
    assert sorted(addresses) == ['w1:80', 'w2:80']


def test_a_region_without_gateways_is_served_from_others(find):
    """Guards against empty answers while another region has gateways."""
    assert find(_WEST, _gateway('e1', 'east')) == ['e1:80']


def test_a_home_goes_before_other_regions(find, route):
    """Guards against bodies sent to a region that must not store them."""
    homes = route(homes=frozenset(('east',)))
    addresses = find(
        _WEST,
        _gateway('e1', 'east'),
        _gateway('s1', 'south'),
        configuration=Configuration(1, (homes,), {}),
    )
    assert addresses == ['e1:80']


def test_a_zone_determines_the_region(find):
    """Guards against distant gateways for a question without a region."""
    question = LookupQuestion('a.example', '', 'east-a')
    addresses = find(question, _gateway('w1', 'west'), _gateway('e1', 'east'))
    assert addresses == ['e1:80']


def test_no_gateway_is_named_if_none_is_ready(find):
    """Guards against an invented address if no gateway is ready."""
    assert not find(_WEST)


def test_an_answer_is_limited_in_length(find):
    """Guards against answers that grow with the fleet."""
    gateways = [_gateway(f'w{number}', 'west') for number in range(550)]
    assert len(find(_WEST, *gateways)) == 16
