"""Tests of the analysis of gateway logs."""

import json

import pytest

from nutmegshore.tracing import (
    estimate_offsets,
    find_story,
    read_records,
    summarise,
)


def _line(instance, time_s, event, **fields):
    event_fields = {
        'instance': instance,
        'time': time_s,
        **fields,
        'event': event,
    }
    return json.dumps(event_fields)


@pytest.fixture
def records():
    """Records of two instances whose clocks are 2 s apart."""
    lines = [
        'collector: nonsense',
        _line('g1', 10.0, 'configuration_adopted', revision=5, version=3),
        _line('g1', 10.5, 'upstream_changed', revision=6, upstream='u1'),
        _line('g1', 10.6, 'upstream_judged', upstream='u2'),
        _line('g1', 10.7, 'store_lost', kind='servers/'),
        '  0.3 g1 '
        + _line(
            'g1',
            10.9,
            'request_retried',
            request='r1',
            upstream='u1',
            reason='upstream_lost',
        ),
        _line(
            'g1',
            11.0,
            'request_failed',
            request='r1',
            route='x',
            reason='upstream_lost',
            attempts=[['u1', 'home', 'upstream_lost']],
        ),
        _line('g1', 11.1, 'configuration_adopted', revision=9, version=4),
        _line('g2', 12.0, 'configuration_adopted', revision=5, version=3),
        _line('g2', 12.5, 'upstream_changed', revision=6, upstream='u1'),
    ]
    return list(read_records(lines))


def test_a_trace_has_its_lines_and_the_state_before_them(records):
    """Guards against a trace with state that changed after the request, or
    with upstreams that the request did not use."""
    trace = find_story(records, 'r1')[0]
    assert trace.instance == 'g1'
    assert [line.event for line in trace.lines] == [
        'request_retried',
        'request_failed',
    ]
    assert [line.event for line in trace.beliefs] == [
        'configuration_adopted',
        'upstream_changed',
        'store_lost',
    ]
    assert trace.beliefs[0].get('version') == 3


def test_clock_offsets_are_estimated_from_shared_changes(records):
    """Guards against comparing instances by clocks that differ."""
    offsets = estimate_offsets(records)
    assert offsets['g2'] - offsets['g1'] == pytest.approx(2)


def test_a_regained_store_replaces_the_loss(records):
    """Guards against an outage that is shown as current after its end."""
    more = [
        _line('g1', 10.7, 'store_lost', kind='servers/'),
        _line('g1', 10.8, 'store_regained', kind='servers/'),
        _line('g1', 10.9, 'request_served', request='r2', attempts=[]),
    ]
    trace = find_story(list(read_records(more)), 'r2')[0]
    assert [line.event for line in trace.beliefs] == ['store_regained']


def test_a_new_process_discards_the_state_before_it():
    """Guards against state of a killed process shown for its successor."""
    lines = [
        _line('g1', 1.0, 'configuration_adopted', revision=5, version=3),
        _line('g1', 2.0, 'starting', version='0.1.0'),
        _line('g1', 2.1, 'request_refused', request='r3', reason='not_ready'),
    ]
    trace = find_story(list(read_records(lines)), 'r3')[0]
    assert [line.event for line in trace.beliefs] == ['starting']


def test_an_unknown_request_has_no_trace(records):
    """Guards against a trace with lines of other requests."""
    assert not find_story(records, 'r9')


def test_a_summary_counts_reasons_and_attempts(records):
    """Guards against reasons that are missing from the counts."""
    summary = summarise(records)
    assert summary.events['configuration_adopted'] == 3
    key = ('request_failed', 'upstream_lost', 'x')
    assert summary.reasons[key] == 1
    assert summary.attempts['upstream_lost'] == 1


def test_only_dropped_lines_count_as_dropped():
    """Guards against counting failures of an upstream as dropped lines."""
    lines = [
        _line('g1', 1.0, 'upstream_judged', upstream='u1', failures=3),
        _line('g1', 2.0, 'lines_dropped', routine=4, notices=1, failures=0),
    ]
    assert summarise(read_records(lines)).dropped == 5
