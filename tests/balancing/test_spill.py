"""Tests of the part of a region's requests that goes elsewhere.

Load pattern: the traffic of a region jumps beyond what its upstreams take,
stays there, and falls back.
"""

from nutmegshore.balancing.spill import SpillTable

_PER_S = 100


def _play(clock, table, seconds, pressure, *, has_room=True):
    """Requests at an even rate; returns which of them went elsewhere."""
    moved = []
    for _ in range(int(seconds * _PER_S)):
        table.record('orders', pressure, has_room=has_room)
        moved.append(table.takes('orders', ''))
        clock.advance(1 / _PER_S)
    return moved


def test_nothing_moves_where_there_is_no_room(clock):
    """Guards against two full regions that pass requests to each other."""
    table = SpillTable(clock)
    assert not any(_play(clock, table, 5, pressure=5, has_room=False))


def test_nothing_moves_without_pressure(clock):
    """Guards against requests that travel although there is room at home."""
    table = SpillTable(clock)
    assert not any(_play(clock, table, 5, pressure=0.1))


def test_objects_go_elsewhere_as_a_whole(clock):
    """Guards against objects that are cold on both sides: on leafscale-gj each
    region has objects of its own, and one of them has 2 of 12 upstreams for a
    third of the load."""
    table = SpillTable(clock)
    _play(clock, table, 0.5, pressure=5)
    keys = [str(number) for number in range(400)]
    first = [table.takes('orders', key) for key in keys]
    assert first == [table.takes('orders', key) for key in keys]
    assert 1 / 10 < sum(first) / len(first) < 3 / 10


def test_every_gateway_moves_the_same_objects(clock):
    """Guards against gateways that warm an object on both sides."""
    one, other = (SpillTable(clock) for _ in range(2))
    _play(clock, one, 0.5, pressure=5)
    _play(clock, other, 1, pressure=5)
    for key in map(str, range(400)):
        if one.takes('orders', key):
            assert other.takes('orders', key)


def test_a_lull_brings_no_objects_home(clock):
    """Guards against objects that move twice for a wave of requests, and are
    cold both times."""
    table = SpillTable(clock)
    _play(clock, table, 1, pressure=5)
    before = table.part('orders')
    _play(clock, table, 3, pressure=0.1)
    assert abs(table.part('orders') - before) < 1 / 10


def test_objects_come_home_after_a_while(clock):
    """Guards against callers that are served from afar for ever."""
    table = SpillTable(clock)
    _play(clock, table, 1, pressure=5)
    _play(clock, table, 60, pressure=0.1)
    assert not table.part('orders')


def test_objects_leave_regions_that_fill_up(clock):
    """Guards against a region that is pressed by the objects of another."""
    table = SpillTable(clock)
    _play(clock, table, 3, pressure=5)
    _play(clock, table, 3, pressure=5, has_room=False)
    assert not table.part('orders')
