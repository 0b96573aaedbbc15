"""Tests of the plan, its origins and its conflicts."""

import pytest

from nutmegshore.steering.conflicts import find_conflicts
from nutmegshore.steering.plan import Origin, build_plan, explain_plan


@pytest.fixture
def filled(declare, table):
    """Two regions and a service with one upstream in each."""
    place = {'service': 's', 'address': '127.0.0.1:1', 'slots': 3}
    near = {'availability_zones': ['a'], 'delay_ms': {'south': 12}}
    table.merge(
        [
            declare('region', 'west', near),
            declare('region', 'south', {'availability_zones': ['b']}),
            declare('service', 's', {}),
            declare(
                'upstream',
                'u-west',
                {**place, 'region': 'west', 'availability_zone': 'a'},
            ),
            declare(
                'upstream',
                'u-south',
                {**place, 'region': 'south', 'availability_zone': 'b'},
            ),
        ]
    )
    return table


def _shift(**changes):
    spec = {'service': 's', 'from_region': 'west', 'to_region': 'south'}
    return {**spec, 'share': 0.5, 'cap': 10, **changes}


def test_a_drained_region_is_skipped_with_its_origin(declare, filled):
    """Guards against a drained region that is still tried."""
    filled.merge([declare('drain', 'd', {'region': 'west'}, 4)])
    plan = build_plan(filled, 'west')
    explained = explain_plan(plan, 's')
    assert [found.region for found in explained.chosen] == ['south']
    assert explained.skipped[0].origins == (Origin('drain', 'd', 4, 'ann'),)


def test_a_failed_region_needs_a_rule(declare, filled):
    """Guards against an automatic reaction that nobody declared."""
    rule = Origin('rule', 'r', 1, 'ann')
    plan = build_plan(filled, 'west', {('s', 'west'): rule})
    assert [found.region for found in plan.choices['s']] == ['south']
    assert plan.skipped['s'][0].origins == (rule,)
    assert build_plan(filled, 'west').skipped['s'] == ()


def test_the_lower_name_wins_between_drains(declare, filled):
    """Guards against an origin that depends on the order of arrival."""
    filled.merge([declare('drain', 'b', {'upstream': 'u-west'})])
    filled.merge([declare('drain', 'a', {'region': 'west'})])
    assert build_plan(filled, 'west').drained['u-west'].name == 'a'


@pytest.mark.parametrize(
    ('kind', 'spec', 'winner'),
    [
        ('drain', {'region': 'south'}, 'drain/x'),
        ('limit', {'region': 'south', 'concurrency': 2}, 'limit/x'),
        ('shift', _shift(share=1), 'shift/m'),
        (
            'rule',
            {'trigger': 'region_failed', 'action': 'spread'},
            'shift/m',
        ),
    ],
)
def test_a_dry_run_lists_the_conflict(kind, spec, winner, declare, filled):
    """Guards against a precedence other than the documented one."""
    filled.merge([declare('shift', 'm', _shift())])
    found = find_conflicts(filled, declare(kind, 'x', spec))
    assert [one.winner for one in found] == [f'config/{winner}']


def test_other_scopes_do_not_conflict(declare, filled):
    """Guards against conflicts between intents that do not overlap."""
    filled.merge([declare('shift', 'm', _shift())])
    other = declare('shift', 'x', _shift(service='t'))
    assert find_conflicts(filled, other) == ()
