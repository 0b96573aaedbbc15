"""Tests of the parsers of the platform's objects."""

import json
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.route import RouteKind
from nutmegshore.platform.configuration import parse_configuration
from nutmegshore.platform.lookup import parse_lookup, write_lookup
from nutmegshore.platform.registration import parse_upstream

_ZONES = MappingProxyType({'west-a': 'west'})
_ROUTE = MappingProxyType(
    {
        'Host': 'A.example',
        'PathPrefix': '/x/',
        'Kind': 'unsafe',
        'TimeoutS': 2,
        'TargetLatencyS': 0.4,
        'Priority': 1,
        'Service': 'orders',
        'MaxAttempts': 2,
        'Sticky': True,
        'HomeRegions': [],
    }
)
_ENTRY = MappingProxyType(
    {
        'Addr': '10.0.0.9:80',
        'born': 1700000000000,
        'Info': {
            'Service': 'orders',
            'Version': 'v1',
            'Zone': 'west-a',
            'Slots': 5,
        },
        'Status': {'State': 'ready', 'Sequence': 4, 'ColdLeftS': 1.5},
    }
)
_TEXTS = st.text(max_size=8)
_PLAIN = st.one_of(st.none(), st.booleans(), st.floats(), _TEXTS)
_KEYS = st.sampled_from(['Addr', 'Info', 'Status', 'Zone', 'Slots', 'State'])


def _nest(inner):
    tables = st.dictionaries(_KEYS, inner, max_size=4)
    return st.lists(inner, max_size=3) | tables


_JSON = st.recursive(_PLAIN, _nest, max_leaves=12)


def _configuration(**changes):
    spec = {
        'Version': '0000000c',
        'Routes': {'r1': {**_ROUTE, **changes}},
        'Services': {'orders': {'MaxConns': 360, 'ColdS': 3, 'ColdPerS': 7.4}},
        'Limits': {'MaxHeaderBytes': 100, 'IdleTimeoutS': 15},
    }
    return json.dumps({'Spec': spec, 'Status': None}).encode()


def _entry(**changes):
    spec = {**_ENTRY, **changes}
    return json.dumps({'Spec': spec}).encode()


def test_all_fields_of_a_configuration_are_parsed():
    """Guards against a field that silently keeps its default."""
    found = parse_configuration(_configuration())
    route = found.match('a.example:80', '/x/y?z=1')
    assert found.version == 12
    assert route.kind is RouteKind.UNSAFE
    assert route.timeout_s == 2
    assert route.target_latency_s == pytest.approx(0.4)
    assert (route.max_attempts, route.rank, route.is_sticky) == (2, 1, True)
    assert found.rules('orders').cold_per_s == pytest.approx(7.4)
    assert found.limits.header_bytes == 100
    assert found.limits.idle_s == 15


def _customers(**entries):
    return _spec_configuration(Tenants=entries).customers


def _spec_configuration(**changes):
    spec = json.loads(_configuration())['Spec']
    body = json.dumps({'Spec': {**spec, **changes}, 'Status': None})
    return parse_configuration(body.encode())


def test_customers_are_found_by_their_keys():
    """Guards against a customer whose quota, rank or homes are ignored."""
    found = _customers(
        c1={
            'ApiKeys': ['k1', 'k2'],
            'Priority': 1,
            'RatePerS': 5.5,
            'Burst': 2,
            'HomeRegions': ['west'],
        },
        c2={'ApiKeys': ['k3']},
    )
    c1 = found.find('k2')
    assert found.is_enabled
    assert (c1.name, c1.rank, c1.max_rate, c1.burst) == ('c1', 1, 5.5, 2)
    assert c1.homes == {'west'}
    assert not found.find('k3').has_quota
    assert found.find('') is None


def test_an_invalid_customer_costs_only_itself():
    """Guards against a configuration that is dropped as a whole, and against
    a key that lets one customer act as another."""
    found = _customers(
        c1={'ApiKeys': ['k1', 'shared']},
        c2={'ApiKeys': ['k2', 'shared']},
        c3={'ApiKeys': []},
        c4={'ApiKeys': ['k4'], 'RatePerS': -1},
        c5='odd',
    )
    assert found.find('k1').name == 'c1'
    assert found.find('k2').name == 'c2'
    assert [found.find(key) for key in ('shared', 'k4')] == [None, None]
    rejected = [one.name for one in found.rejected]
    assert rejected == ['c3', 'c4', 'c5', 'c1', 'c2']


@pytest.mark.parametrize('changes', [{}, {'Tenants': {}}, {'Tenants': None}])
def test_without_customers_no_key_is_needed(changes):
    """Guards against refusing all requests of a deployment without keys."""
    assert not _spec_configuration(**changes).customers.is_enabled


def test_a_table_without_any_valid_customer_lets_nobody_in():
    """Guards against opening all routes because the table cannot be read."""
    assert _customers(c1={'ApiKeys': []}).is_enabled


def test_a_traffic_split_keeps_its_weights():
    """Guards against a split whose services get equal weights."""
    split = [
        {'Service': 'a', 'Weight': 90},
        {'Service': 'b', 'Weight': 10},
    ]
    found = parse_configuration(_configuration(TrafficSplit=split))
    weights = {share.service: share.weight for share in found.routes[0].shares}
    assert weights == {'a': 90, 'b': 10}


@pytest.mark.parametrize(
    'changes',
    [{'Kind': 'other'}, {'TimeoutS': 'x'}, {'Host': 7}, {'Sticky': 'yes'}],
)
def test_an_invalid_field_rejects_the_configuration(changes):
    """Guards against adopting part of a configuration."""
    with pytest.raises(PlatformFormatError):
        parse_configuration(_configuration(**changes))


@pytest.mark.parametrize(
    'changes',
    [
        {'Routes': {'r1': 'x'}},
        {'Routes': {'r1': None}},
        {'Routes': [7]},
        {'Routes': {'': dict(_ROUTE)}},
        {'Routes': {'\ud800': dict(_ROUTE)}},
        {'Routes': {'r1': {**_ROUTE, 'TrafficSplit': 7}}},
        {'Routes': {'r1': {**_ROUTE, 'TrafficSplit': ['x']}}},
        {'Routes': {'r1': {**_ROUTE, 'TrafficSplit': {'a': 1}}}},
        {'Routes': {'r1': {**_ROUTE, 'TimeoutS': 10**400}}},
        {'Routes': {'r1': {**_ROUTE, 'TimeoutS': float('inf')}}},
        {'Routes': {'r1': {**_ROUTE, 'Priority': 10**400}}},
        {'Routes': {'r1': {**_ROUTE, 'Host': 'a\n'}}},
        {'Routes': {'r1': {**_ROUTE, 'HomeRegions': [{}]}}},
        {'Services': {'orders': []}},
        {'Services': {'orders': 'x'}},
        {'Services': {'orders': {'MaxConns': 1e400}}},
        {'Limits': 'x'},
        {'Limits': {'MaxBodyBytes': 10**400}},
        {'Version': '+c'},
        {'Version': '0x0c'},
        {'Version': '0_c'},
        {'Version': '\u0663'},
        {'Version': 'f' * 17},
    ],
)
def test_an_odd_part_rejects_the_whole_configuration(changes):
    """Guards against LOST: a configuration with a part of another type ended
    the task that follows it."""
    spec = json.loads(_configuration())['Spec'] | changes
    with pytest.raises(PlatformFormatError):
        parse_configuration(json.dumps({'Spec': spec}).encode())


@pytest.mark.parametrize(
    'body',
    [b'', b'7', b'null', b'"x"', b'[]', b'x', b'{"Spec":%s}' % (b'9' * 5000)],
)
def test_a_body_that_is_no_object_is_rejected(body):
    """Guards against LOST: such a body ended the task that read it."""
    with pytest.raises(PlatformFormatError):
        parse_configuration(body)


def test_a_registration_is_parsed():
    """Guards against reading a field from the wrong object."""
    found = parse_upstream('servers/i-1', _entry(), _ZONES)
    assert found.instance == 'i-1'
    assert (found.service, found.region, found.slots) == ('orders', 'west', 5)
    assert found.cold_left_s == pytest.approx(1.5)
    assert found.born_ms == 1700000000000
    assert not found.is_draining


@pytest.mark.parametrize(
    'changes',
    [
        {'Addr': None},
        {'Addr': 'host:80'},
        {'Addr': '10.0.0.9:x'},
        {'Info': {'Service': 'orders', 'Zone': 'moon', 'Slots': 1}},
        {'Info': 'orders'},
        {'Status': {'State': 'great'}},
        {'Status': {'State': 7}},
    ],
)
def test_a_forged_registration_is_rejected(changes):
    """Guards against sending requests to an entry that no upstream wrote."""
    with pytest.raises(PlatformFormatError):
        parse_upstream('servers/i-1', _entry(**changes), _ZONES)


@given(spec=_JSON)
def test_any_registration_is_read_or_rejected(spec):
    """Guards against an entry that ends the process that reads it."""
    body = json.dumps({'Spec': spec}).encode()
    try:
        parse_upstream('servers/i-1', body, _ZONES)
    except PlatformFormatError as error:
        assert str(error)


def test_a_lookup_is_parsed_and_answered():
    """Guards against an answer in a format that callers reject."""
    question = parse_lookup('/resolve?Name=a.example&Region=west&Zone=west-a')
    assert (question.host, question.region) == ('a.example', 'west')
    answer = json.loads(write_lookup(['10.0.0.1:80'], 2))
    assert answer == {'Addrs': ['10.0.0.1:80'], 'TtlS': 2}
