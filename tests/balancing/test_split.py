"""Tests of the split of a route by weight."""

import collections

from nutmegshore.balancing.split import SplitTable
from nutmegshore.gateway.route import ServiceShare


def test_each_part_gets_its_weight(route):
    """Guards against parts that differ from their weights by chance."""
    split = route(shares=(ServiceShare('old', 90), ServiceShare('new', 10)))
    table = SplitTable()
    counts = collections.Counter(table.pick(split) for _ in range(50))
    assert counts == {'old': 45, 'new': 5}


def test_new_weights_count_at_once(route):
    """Guards against a debt of the old weights under the new ones."""
    table = SplitTable()
    old = route(shares=(ServiceShare('a', 1), ServiceShare('b', 1)))
    for _ in range(7):
        table.pick(old)
    new = route(shares=(ServiceShare('a', 0), ServiceShare('b', 1)))
    assert {table.pick(new) for _ in range(20)} == {'b'}
