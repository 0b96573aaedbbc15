"""Tests of the configuration table."""

import random

from nutmegshore.configuration import ConfigurationTable


def test_an_older_generation_changes_nothing(table, declare):
    """Guards against a stale peer that restores an old configuration."""
    table.merge([declare('drain', 'd', {'region': 'west'}, generation=2)])
    assert not table.merge([declare('drain', 'd', {'region': 'east'})])
    assert table.get('config/drain/d').spec.region == 'west'


def test_a_tombstone_outlives_a_late_copy(table, declare):
    """Guards against a slow peer that restores a deleted drain."""
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


def test_conflicting_creations_converge_in_any_order(declare):
    """Guards against divergence after a write that bypassed the API."""
    one = declare('drain', 'd', {'region': 'west'}, uid='u1')
    two = declare('drain', 'd', {'region': 'east'}, uid='u2')
    first = ConfigurationTable()
    second = ConfigurationTable()
    first.merge([one, two])
    second.merge([two, one])
    assert first.get(one.key) == second.get(one.key)
