"""Tests of the envelope and the specs."""

import json

import pytest
from hypothesis import given, strategies

from nutmegshore.resources import (
    SPEC_TYPES,
    InvalidObject,
    parse_envelope,
    parse_spec,
    write_envelope,
    write_spec,
)


@pytest.mark.parametrize(
    ('kind', 'spec'),
    [
        ('drain', {'region': 'west'}),
        ('limit', {'service': 'orders', 'concurrency': 4}),
        ('rule', {'trigger': 'region_failed', 'action': 'spread'}),
        ('region', {'availability_zones': ['a'], 'delay_ms': {'b': 55}}),
        ('drain', None),
    ],
)
def test_an_envelope_survives_a_round_trip(declare, kind, spec):
    """Guards against objects that differ after being stored and read."""
    envelope = declare(kind, 'name', spec)
    assert parse_envelope(write_envelope(envelope)) == envelope


def test_every_fault_is_reported_at_once():
    """Guards against a parser that reports only the first fault."""
    spec = {'service': 'a b', 'from_region': 'x', 'share': 2, 'kap': 1}
    with pytest.raises(InvalidObject) as caught:
        parse_spec('shift', spec)
    fields = {fault.field for fault in caught.value.faults}
    assert fields == {'kap', 'service', 'to_region', 'share', 'cap'}


@pytest.mark.parametrize(
    'spec',
    [{}, {'region': 'west', 'upstream': 'u'}, 'west', {'region': ''}],
)
def test_a_drain_has_exactly_one_target(spec):
    """Guards against a drain that affects more than the operator intended."""
    with pytest.raises(InvalidObject):
        parse_spec('drain', spec)


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{}', b'\xff', b'{"kind":1}', b'[' * 100_000],
)
def test_a_malformed_body_is_invalid(body):
    """Guards against a stored object that crashes its reader."""
    with pytest.raises(InvalidObject):
        parse_envelope(body)


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('generation', 0),
        ('generation', True),
        ('generation', 10**30),
        ('generation', 1.5),
        ('name', 'a/b'),
        ('name', ''),
        ('kind', 'drian'),
        ('is_deleted', 0),
        ('spec', {'region': 'a/b'}),
    ],
)
def test_a_damaged_envelope_is_invalid(declare, field, value):
    """Guards against objects that break peer messages or store keys."""
    fields = json.loads(write_envelope(declare('drain', 'd', {'region': 'w'})))
    body = json.dumps({**fields, field: value}).encode()
    with pytest.raises(InvalidObject):
        parse_envelope(body)


_JSON = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(('service', 'region', 'share', 'x')),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=8,
)


@given(strategies.sampled_from(tuple(SPEC_TYPES)), _JSON)
def test_any_json_gives_a_spec_or_its_faults(kind, raw):
    """Guards against input that causes an internal error."""
    try:
        spec = parse_spec(kind, raw)
    except InvalidObject as error:
        assert error.faults
    else:
        assert parse_spec(kind, write_spec(spec)) == spec
