"""Tests of learnt times."""

import pytest

from nutmegshore.balancing.pace import PaceTable


def test_a_slow_upstream_is_seen_and_tried_again(clock):
    """Guards against an upstream that stays avoided after it recovered."""
    table = PaceTable(clock)
    for _ in range(6):
        table.learn('u1', work_s=1.0, expected_s=0.1)
    assert table.upstream('u1').factor(clock.now()) > 5
    clock.advance(20)
    assert table.upstream('u1').factor(clock.now()) == 1


def test_a_silent_upstream_is_seen_before_a_timeout(clock):
    """Guards against a queue at an upstream that has stopped answering."""
    table = PaceTable(clock)
    token = table.begin('u1', 0.1)
    clock.advance(0.5)
    assert table.upstream('u1').factor(clock.now()) == pytest.approx(5)
    table.end('u1', token)
    assert table.upstream('u1').factor(clock.now()) == 1


def test_a_new_route_takes_the_times_of_its_service(clock):
    """Guards against refusing every request of an added route, as on
    vks-boots quiet-1, because its target is its time-out."""
    table = PaceTable(clock)
    known = table.route('r1', 'orders', 0.4)
    for _ in range(100):
        known.learn(0.1, is_warm=False)
    fresh = table.route('r2', 'orders', 1.0)
    assert fresh.cold_s == pytest.approx(0.1, rel=0.1)
    assert not fresh.is_known
