"""Tests of the sliding window."""

import random

from nutmegshore.caps.clock_drift import (
    MAX_CLOCK_ERROR,
    MAX_SEND_DELAY_S,
    WINDOW_S,
    add_drift_margin,
)
from nutmegshore.caps.window import Usage, Window


def test_no_window_holds_more_than_the_limit():
    """Guards against a window that resets instead of sliding."""
    rng = random.Random(1)
    window = Window(1)
    taken = []
    now = 0
    for _ in range(2000):
        now += rng.random() / 20
        if window.count(now) < 5:
            window.record(now, 1)
            taken.append(now)
    gaps = [late - early for early, late in zip(taken, taken[5:])]
    assert min(gaps) >= 1
    assert len(taken) > 4 * now


def test_the_window_covers_a_true_second_on_the_fastest_clock():
    """Guards against a fast clock that admits twice in a true second."""
    late_send = MAX_SEND_DELAY_S / (1 - MAX_CLOCK_ERROR)
    assert WINDOW_S / (1 + MAX_CLOCK_ERROR) >= 1 + late_send


def test_drift_margin_covers_a_slow_clock_against_a_fast_one():
    """Guards against a margin of 1% where two errors of 0.5% add up."""
    assert add_drift_margin(600) / 1.005 > 600 / 0.995


def test_concurrency_is_in_use_until_released():
    """Guards against a long request that frees its unit after a second."""
    usage = Usage(is_rate=False)
    usage.record(0, 2)
    assert usage.count(100) == 2
    usage.release(1)
    assert usage.count(100) == 1
