"""Tests of the part of a region's requests that goes elsewhere.

Load pattern: the traffic of a region jumps beyond what its upstreams take,
stays there, and falls back.
"""

from nutmegshore.balancing.spill import SpillTable

_MAX_SHIFT = 0.15
_PER_S = 100
_WINDOW_S = 2


def _play(clock, table, seconds, pressure, *, has_room=True):
    """Requests at an even rate; returns which of them went elsewhere."""
    moved = []
    for _ in range(int(seconds * _PER_S)):
        table.note('orders', pressure, has_room=has_room)
        moved.append(table.takes_next('orders'))
        clock.advance(1 / _PER_S)
    return moved


def test_no_window_moves_more_than_the_bound(clock):
    """Guards against a region that moves its load within one window."""
    table = SpillTable(clock, _MAX_SHIFT)
    moved = [
        *_play(clock, table, 10, pressure=5),
        *_play(clock, table, 10, pressure=0),
    ]
    size = _WINDOW_S * _PER_S
    parts = [
        sum(moved[start : start + size]) / size
        for start in range(len(moved) - size)
    ]
    steps = [abs(one - other) for one, other in zip(parts, parts[size:])]
    assert max(steps) <= _MAX_SHIFT
    assert max(parts) > 0.2
    assert parts[-1] < 0.1


def test_nothing_moves_where_there_is_no_room(clock):
    """Guards against two full regions that pass requests to each other."""
    table = SpillTable(clock, _MAX_SHIFT)
    assert not any(_play(clock, table, 5, pressure=5, has_room=False))


def test_nothing_moves_without_pressure(clock):
    """Guards against requests that travel although there is room at home."""
    table = SpillTable(clock, _MAX_SHIFT)
    assert not any(_play(clock, table, 5, pressure=0.1))
