"""Tests of the checks of declared objects."""

import pytest

from nutmegshore.resources import (
    InvalidObject,
    check_references,
    check_spec,
    parse_spec,
)


@pytest.fixture
def by_key(declare):
    """A small deployment; upstream `gone` is deleted."""
    place = {'region': 'west', 'availability_zone': 'west-a'}
    upstream = {**place, 'service': 's', 'address': '127.0.0.1:1', 'slots': 1}
    entry = {**place, 'caller_address': '127.0.0.1:2'}
    envelopes = [
        declare('region', 'west', {'availability_zones': ['west-a']}),
        declare('region', 'north', {'availability_zones': ['north-a']}),
        declare('service', 's', {}),
        declare('upstream', 'u', upstream),
        declare('upstream', 'gone', None),
        declare('entry', 'e', entry),
    ]
    return {envelope.key: envelope for envelope in envelopes}


def _shift(**fields):
    spec = {'service': 's', 'from_region': 'west', 'to_region': 'north'}
    return 'shift', {**spec, 'share': 0.5, 'cap': 10, **fields}


@pytest.mark.parametrize(
    ('kind', 'spec', 'warned_fields'),
    [
        (*_shift(), []),
        (*_shift(service='x'), ['service']),
        (*_shift(from_region='x', to_region='y'), ['from_region', 'to_region']),
        ('drain', {'upstream': 'u'}, []),
        ('drain', {'upstream': 'gone'}, ['upstream']),
        ('drain', {'entry': 'e'}, []),
        ('drain', {'entry': 'x'}, ['entry']),
        ('drain', {'region': 'x'}, ['region']),
        ('drain', {'availability_zone': 'north-a'}, []),
        ('drain', {'availability_zone': 'x'}, ['availability_zone']),
        ('limit', {'service': 'x', 'concurrency': 1}, ['service']),
        ('limit', {'region': 'west', 'concurrency': 1}, []),
    ],
)
def test_an_unresolved_reference_gives_a_warning(
    by_key, kind, spec, warned_fields
):
    """Guards against a misspelled name that silently has no effect."""
    warnings = check_references(parse_spec(kind, spec), by_key)
    assert [warning.field for warning in warnings] == warned_fields


def test_a_shift_within_one_region_is_invalid():
    """Guards against a shift that can never have an effect."""
    kind, spec = _shift(to_region='west')
    assert check_spec(parse_spec(kind, spec))


@pytest.mark.parametrize(
    'address',
    ['host:1', '127.0.0.1', '127.0.0.1:0', '1.2.3:4', '127.0.0.1:²', ':1'],
)
def test_an_upstream_address_is_an_ip_address_and_port(address):
    """Guards against host names, which need a lookup for each connection."""
    spec = {'service': 's', 'region': 'west', 'availability_zone': 'a'}
    with pytest.raises(InvalidObject, match='address'):
        parse_spec('upstream', {**spec, 'slots': 1, 'address': address})
    parse_spec('upstream', {**spec, 'slots': 1, 'address': '[::1]:80'})
