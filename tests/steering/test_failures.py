"""Tests of exclusion by the declared rules."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Upstream
from nutmegshore.steering.failures import FailureWatch, find_rule

_UPSTREAM = Upstream('s', 'west', 'a', '127.0.0.1:1', 3)
_LOST = ErrorKind.UPSTREAM_LOST


@pytest.fixture
def rule(declare):
    """Rule that excludes an upstream after two losses."""
    spec = {'trigger': 'upstream_failed', 'action': 'exclude', 'failures': 2}
    return declare('rule', 'r', spec)


def _run(check):
    async def session():
        clock = VirtualClock()
        await check(clock, FailureWatch(clock))

    run_virtual(session)


def test_exclusion_needs_a_rule_and_consecutive_losses(rule):
    """Guards against an automatic exclusion that nobody declared."""

    async def check(clock, watch):
        watch.record_result('u', _UPSTREAM, _LOST)
        watch.record_result('u', _UPSTREAM, None)
        watch.record_result('u', _UPSTREAM, _LOST)
        assert not watch.excluded(['u'], rule)
        watch.record_result('u', _UPSTREAM, _LOST)
        assert watch.excluded(['u'], rule) == ['u']
        assert not watch.excluded(['u'], None)

    _run(check)


def test_one_probe_at_a_time_until_it_answers(rule):
    """Guards against many requests lost to an upstream that is down."""

    async def check(clock, watch):
        for _ in range(2):
            watch.record_result('u', _UPSTREAM, _LOST)
        await clock.sleep(1)
        assert watch.may_probe('u')
        watch.record_sent('u')
        await clock.sleep(1)
        assert not watch.may_probe('u')
        watch.record_result('u', _UPSTREAM, _LOST)
        assert watch.may_probe('u')
        watch.record_sent('u')
        watch.record_result('u', _UPSTREAM, ErrorKind.DEADLINE_AFTER_SEND)
        assert not watch.may_probe('u')
        assert watch.record_result('u', _UPSTREAM, None)
        assert not watch.excluded(['u'], rule)

    _run(check)


def test_a_region_fails_after_silence_only(declare):
    """Guards against a region that counts as failed although it answers."""
    spec = {
        'trigger': 'region_failed',
        'action': 'spread',
        'after_seconds': 3,
    }
    rule = declare('rule', 'r', spec)

    async def check(clock, watch):
        watch.record_result('u', _UPSTREAM, _LOST)
        await clock.sleep(2)
        assert not watch.has_failed('s', 'west', rule)
        watch.record_result('v', _UPSTREAM, None)
        watch.record_result('u', _UPSTREAM, _LOST)
        await clock.sleep(2)
        assert not watch.has_failed('s', 'west', rule)
        await clock.sleep(1)
        assert watch.has_failed('s', 'west', rule)
        assert watch.try_probe_region('s', 'west')
        assert not watch.try_probe_region('s', 'west')

    _run(check)


def test_a_rule_applies_only_in_its_scope(declare):
    """Guards against a rule that acts on another service."""
    spec = {'trigger': 'region_failed', 'action': 'spread', 'service': 's'}
    rules = {'r': declare('rule', 'r', spec)}
    assert find_rule(rules, 'region_failed', 's', 'west')
    assert not find_rule(rules, 'region_failed', 't', 'west')
    assert not find_rule(rules, 'upstream_failed', 's', 'west')
