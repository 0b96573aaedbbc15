"""Tests of counts over sliding windows."""

import collections

from nutmegshore.balancing.sliding_counts import SlidingCounts


def _total(counts, windows_ago=0):
    return sum(one['home'] for one in counts.window(windows_ago))


def test_counts_move_from_window_to_window(clock):
    """Guards against requests that count in two windows, or in none."""
    counts = SlidingCounts(clock, collections.Counter, windows=2)
    counts.current()['home'] += 1
    clock.advance(1.75)
    counts.current()['home'] += 1
    assert _total(counts) == 2
    clock.advance(0.25)
    assert (_total(counts), _total(counts, 1)) == (1, 1)
    clock.advance(2)
    assert (_total(counts), _total(counts, 1)) == (0, 1)
    clock.advance(2)
    assert (_total(counts), _total(counts, 1)) == (0, 0)
