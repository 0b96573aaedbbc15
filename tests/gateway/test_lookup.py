"""Tests of look-up answers."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegshore.gateway.lookup import Directory, Gateway
from nutmegshore.gateway.route import (
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from nutmegshore.peers import Member
from nutmegshore.platform.lookup import (
    LookupQuestion,
    parse_lookup,
    write_lookup,
)


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


def test_gateways_that_believe_no_key_are_not_named(find):
    """Guards against callers that are sent to a gateway which refuses keys
    while another one, if in another region, believes them."""
    old = attrs.evolve(_gateway('w1', 'west'), accepts_keys=False)
    fresh = _gateway('w2', 'west')
    remote = _gateway('e1', 'east')
    assert find(_WEST, old, fresh, remote) == ['w2:80']
    assert find(_WEST, old, remote) == ['e1:80']


def test_gateways_are_named_if_none_accepts_keys(find):
    """Guards against public routes that no gateway serves."""
    old = attrs.evolve(_gateway('w1', 'west'), accepts_keys=False)
    assert find(_WEST, old) == ['w1:80']


def test_no_gateway_is_named_if_none_is_ready(find):
    """Guards against an invented address if no gateway is ready."""
    assert not find(_WEST)


def test_an_answer_is_limited_in_length(find):
    """Guards against answers that grow with the fleet."""
    gateways = [_gateway(f'w{number}', 'west') for number in range(550)]
    assert len(find(_WEST, *gateways)) == 16


_REGIONS = st.sampled_from(('west', 'east', 'south', ''))
_QUERIES = st.one_of(
    st.text(st.characters(min_codepoint=33, max_codepoint=126)),
    st.builds(
        'Name={0}&Region={1}&Zone={2}'.format,
        st.sampled_from(('a.example', 'A.Example', '%FF%00', '')),
        _REGIONS,
        st.sampled_from(('west-a', 'east-a', 'south-a', '')),
    ),
)


@given(
    query=_QUERIES,
    regions=st.lists(_REGIONS, max_size=40),
    homes=st.one_of(st.none(), st.frozensets(_REGIONS)),
)
def test_any_look_up_is_answered(query, regions, homes):
    """Guards against a look-up that is cut off, or an empty answer while any
    gateway is ready."""
    gateways = [
        _gateway(f'g{number}', region) for number, region in enumerate(regions)
    ]
    zones = {'west-a': 'west', 'east-a': 'east'}
    directory = Directory(lambda: gateways, random.Random(7), zones)
    configuration = None
    if homes is not None:
        configuration = Configuration(1, (_homed(homes),), {})
    found = directory.find(parse_lookup(f'/resolve?{query}'), configuration)
    named = set(found)
    assert named <= {gateway.address for gateway in gateways}
    assert bool(found) is bool(gateways)
    assert len(found) == len(named)
    assert len(found) <= 16
    assert write_lookup(found, 2)


def _homed(homes):
    return Route(
        name='r1',
        host='a.example',
        prefix='/',
        kind=RouteKind.SAFE,
        timeout_s=2,
        target_latency_s=0.4,
        shares=(ServiceShare('orders'),),
        homes=homes,
    )
