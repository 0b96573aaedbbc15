"""Tests of the envelope and the specs."""

import pytest

from nutmegshore.resources import (
    InvalidObject,
    parse_envelope,
    parse_spec,
    write_envelope,
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
def test_an_envelope_reads_back_as_written(declare, kind, spec):
    """Guards against objects that the store returns changed."""
    envelope = declare(kind, 'name', spec)
    assert parse_envelope(write_envelope(envelope)) == envelope


def test_every_fault_is_reported_at_once():
    """Guards against operators who learn of one fault per attempt."""
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
    """Guards against a drain that takes out more than was meant."""
    with pytest.raises(InvalidObject):
        parse_spec('drain', spec)


@pytest.mark.parametrize('body', [b'', b'[]', b'{}', b'\xff', b'{"kind":1}'])
def test_a_malformed_body_is_invalid(body):
    """Guards against a stored object that stops the reader."""
    with pytest.raises(InvalidObject):
        parse_envelope(body)
