"""Tests of the configuration table."""

import random

from nutmegshore.configuration import ConfigurationTable


def test_an_older_generation_changes_nothing(table, declare):
    """Guards against a stale peer that brings back an old configuration."""
    table.merge([declare('drain', 'd', {'region': 'west'}, generation=2)])
    assert not table.merge([declare('drain', 'd', {'region': 'east'})])
    assert table.get('config/drain/d').spec.region == 'west'


def test_a_tombstone_outlives_a_late_copy(table, declare):
    """Guards against a deleted drain that comes back from a slow peer."""
    table.merge([declare('drain', 'd', None, generation=2)])
    table.merge([declare('drain', 'd', {'region': 'west'})])
    assert table.get('config/drain/d').is_deleted


def test_the_order_of_arrival_does_not_matter(declare):
    """Guards against instances that disagree after the same messages."""
    envelopes = [
        declare('drain', name, {'region': f'r{generation}'}, generation)
        for name in ('a', 'b', 'c')
        for generation in (1, 2, 3)
    ]
    digests = set()
    for seed in range(20):
        shuffled = list(envelopes)
        random.Random(seed).shuffle(shuffled)
        table = ConfigurationTable()
        for envelope in shuffled:
            table.merge([envelope])
        digests.add(table.digest())
    assert len(digests) == 1


def test_two_creations_of_one_generation_settle_the_same_way(declare):
    """Guards against a split after a write that bypassed the operator API."""
    one = declare('drain', 'd', {'region': 'west'}, uid='u1')
    two = declare('drain', 'd', {'region': 'east'}, uid='u2')
    first = ConfigurationTable()
    second = ConfigurationTable()
    first.merge([one, two])
    second.merge([two, one])
    assert first.get(one.key) == second.get(one.key)
