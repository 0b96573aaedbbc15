"""Tests of the selection of a service by weight."""

import collections

from nutmegshore.balancing.weighted_round_robin import WeightedRoundRobin
from nutmegshore.gateway.route import ServiceShare


def test_each_service_gets_its_weight(route):
    """Guards against counts that differ from the weights by chance."""
    split = route(shares=(ServiceShare('old', 90), ServiceShare('new', 10)))
    table = WeightedRoundRobin()
    counts = collections.Counter(table.pick(split) for _ in range(50))
    assert counts == {'old': 45, 'new': 5}


def test_new_weights_count_at_once(route):
    """Guards against credit from old weights that carries over to new ones."""
    table = WeightedRoundRobin()
    old = route(shares=(ServiceShare('a', 1), ServiceShare('b', 1)))
    for _ in range(7):
        table.pick(old)
    new = route(shares=(ServiceShare('a', 0), ServiceShare('b', 1)))
    assert {table.pick(new) for _ in range(20)} == {'b'}
