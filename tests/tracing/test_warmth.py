"""Tests of the figures on warm and cold attempts."""

import itertools
import json

import pytest

from nutmegshore.tracing import read_records, summarise_warmth

_WARM_S = 0.1
_COLD_S = 0.4
#: Attempts that tell the warm time of a route.
_ENOUGH = 100


def _line(ended_s, key, *attempts, instance='g1', event='request_served'):
    return json.dumps(
        {
            'instance': instance,
            'time': ended_s,
            'request': 'r',
            'route': 'reads',
            'key': key,
            'took_s': sum(attempt[5] for attempt in attempts),
            'attempts': attempts,
            'event': event,
        }
    )


def _attempt(upstream, took_s, *, is_warm=True, result='200', reason='home'):
    return [upstream, reason, 0, is_warm, _WARM_S, took_s, result]


def _count(lines, offsets=None):
    """Figures of the only route, with enough warm attempts before."""
    warm = _attempt('u0', _WARM_S)
    known = [_line(number, 'k0', warm) for number in range(_ENOUGH)]
    records = list(read_records((*known, *lines)))
    found = summarise_warmth(records, offsets or {})
    assert [warmth.route for warmth in found] == ['reads']
    return found[0]


def test_an_object_at_a_new_upstream_is_a_first_visit():
    """Guards against visits that are cold without doubt and not counted."""
    before = _count(())
    warmth = _count(
        [
            _line(200, 'k1', _attempt('u1', _COLD_S)),
            _line(201, 'k1', _attempt('u1', _WARM_S), instance='g2'),
            _line(202, 'k1', _attempt('u1', _WARM_S), instance='g2'),
            _line(203, 'k1', _attempt('u2', _COLD_S, is_warm=False)),
        ]
    )
    assert warmth.first_visits.total == before.first_visits.total + 2
    assert warmth.first_visits.slow == before.first_visits.slow + 2
    assert warmth.repeated_by_others.total == 1
    assert warmth.repeated.total == before.repeated.total + 1
    assert warmth.upstreams_per_object == pytest.approx(3 / 2)
    assert warmth.first_visit_ratio == pytest.approx(3 / 2)


def test_slow_attempts_that_were_expected_warm_are_told_apart():
    """Guards against expectations that are off and look good."""
    warmth = _count(
        [
            _line(200, 'k1', _attempt('u1', _COLD_S)),
            _line(201, 'k2', _attempt('u1', _COLD_S, is_warm=False)),
        ]
    )
    assert (warmth.expected_warm.total, warmth.expected_warm.slow) == (101, 1)
    assert (warmth.expected_cold.total, warmth.expected_cold.slow) == (1, 1)
    spent_s = _ENOUGH * _WARM_S + 2 * _COLD_S
    assert warmth.work_ratio == pytest.approx(spent_s / (102 * _WARM_S))


def test_all_attempts_of_a_request_count():
    """Guards against a figure that leaves out what failed or was hedged."""
    lost = _attempt('u1', _COLD_S, result='deadline_after_send', reason='away')
    line = _line(200, 'k1', lost, lost, event='request_failed')
    warmth = _count([line])
    assert warmth.attempts == _ENOUGH + 2
    assert warmth.out_of_time == 2
    assert warmth.away == 2


def test_clocks_that_differ_do_not_change_which_visit_was_first():
    """Guards against a first visit of a gateway whose clock is behind."""
    lines = [
        _line(200, 'k1', _attempt('u1', _COLD_S), instance='ahead'),
        _line(190, 'k1', _attempt('u1', _WARM_S), instance='g2'),
    ]
    assert _count(lines).first_visits.slow == 0
    assert _count(lines, {'ahead': 60}).first_visits.slow == 1


def test_routes_that_tell_no_warm_time_are_left_out():
    """Guards against a division by nothing, and figures that mean nothing."""
    lines = [
        _line(1, 'k1', _attempt('u1', _WARM_S)),
        _line(2, '', _attempt('u1', _WARM_S)),
        json.dumps({'instance': 'g1', 'event': 'request_refused', 'key': 'k'}),
    ]
    assert not summarise_warmth(read_records(lines))
    still = itertools.repeat(_line(1, 'k1', _attempt('u1', 0)), _ENOUGH)
    assert not summarise_warmth(read_records(still))
