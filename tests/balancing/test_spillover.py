"""Tests of the fraction of a region's requests that runs elsewhere.

Load pattern: the traffic of a region jumps beyond its upstreams' capacity,
stays there, and falls back.
"""

from nutmegshore.balancing.spillover import SpilloverTable

_PER_S = 100


def _play(clock, table, seconds, wait_ratio, *, has_capacity=True):
    """Send requests at an even rate; returns which of them ran elsewhere."""
    moved = []
    for _ in range(int(seconds * _PER_S)):
        table.record('orders', wait_ratio, has_capacity=has_capacity)
        moved.append(table.should_move('orders', ''))
        clock.advance(1 / _PER_S)
    return moved


def test_nothing_moves_without_capacity_elsewhere(clock):
    """Guards against two full regions that pass requests to each other."""
    table = SpilloverTable(clock)
    assert not any(_play(clock, table, 5, wait_ratio=5, has_capacity=False))


def test_nothing_moves_while_queues_are_short(clock):
    """Guards against requests that move although home has capacity."""
    table = SpilloverTable(clock)
    assert not any(_play(clock, table, 5, wait_ratio=0.1))


def test_objects_go_elsewhere_as_a_whole(clock):
    """Guards against objects that are cold in both regions: on leafscale-gj
    each region has its own objects, and one region has 2 of 12 upstreams for
    a third of the load.
    """
    table = SpilloverTable(clock)
    _play(clock, table, 0.5, wait_ratio=5)
    keys = [str(number) for number in range(400)]
    first = [table.should_move('orders', key) for key in keys]
    assert first == [table.should_move('orders', key) for key in keys]
    assert 1 / 10 < sum(first) / len(first) < 3 / 10


def test_every_gateway_moves_the_same_objects(clock):
    """Guards against gateways that warm an object in both regions."""
    one, other = (SpilloverTable(clock) for _ in range(2))
    _play(clock, one, 0.5, wait_ratio=5)
    _play(clock, other, 1, wait_ratio=5)
    for key in map(str, range(400)):
        if one.should_move('orders', key):
            assert other.should_move('orders', key)


def test_a_lull_brings_no_objects_home(clock):
    """Guards against objects that move twice for one wave of requests and are
    cold both times.
    """
    table = SpilloverTable(clock)
    _play(clock, table, 1, wait_ratio=5)
    before = table.fraction('orders')
    _play(clock, table, 3, wait_ratio=0.1)
    assert abs(table.fraction('orders') - before) < 1 / 10


def test_objects_come_home_after_a_while(clock):
    """Guards against callers that are served from another region forever."""
    table = SpilloverTable(clock)
    _play(clock, table, 1, wait_ratio=5)
    _play(clock, table, 60, wait_ratio=0.1)
    assert not table.fraction('orders')


def test_objects_leave_regions_that_fill_up(clock):
    """Guards against a region overloaded by the objects of another."""
    table = SpilloverTable(clock)
    _play(clock, table, 3, wait_ratio=5)
    _play(clock, table, 3, wait_ratio=5, has_capacity=False)
    assert not table.fraction('orders')
