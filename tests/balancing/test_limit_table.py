"""Tests of the limits that upstreams name."""

import pytest

from nutmegshore.balancing.limit_table import LimitTable
from nutmegshore.upstreams import UpstreamReport


@pytest.fixture
def changes():
    """Changes that a table reports."""
    return []


@pytest.fixture
def limits(clock, changes):
    """Table of limits that records its changes."""
    table = LimitTable(clock)
    table.on_change = changes.append
    return table


def test_a_limit_holds_until_an_answer_names_none(limits, changes):
    """Guards against a limit that outlives the need, or ends before it."""
    for max_rate in (1.3, 1.3, 2, None, None):
        limits.handle_report('u1', UpstreamReport(max_rate=max_rate))
    rates = [(one.before, one.after) for one in changes]
    assert rates == [(None, 1.3), (1.3, 2), (2, None)]
    assert limits.max_rate('u1') is None


@pytest.mark.parametrize(
    'report',
    [UpstreamReport(malformed_limit='nan'), UpstreamReport(is_refusal=True)],
)
def test_other_answers_change_nothing(limits, report):
    """Guards against ending a limit by an answer that does not tell."""
    limits.handle_report('u1', report)
    assert limits.max_rate('u1') is None
    limits.handle_report('u1', UpstreamReport(max_rate=3))
    limits.handle_report('u1', report)
    assert limits.max_rate('u1') == 3


def test_a_refusal_names_a_limit(limits):
    """Guards against an upstream whose refusals are not heard."""
    limits.handle_report('u1', UpstreamReport(max_rate=0, is_refusal=True))
    assert limits.max_rate('u1') == 0


def test_the_latest_statement_counts(limits, clock):
    """Guards against old word of a peer that revives a limit or ends it."""
    limits.handle_report('u1', UpstreamReport(max_rate=2))
    limits.handle_peer('u1', None, age_s=1)
    assert limits.max_rate('u1') == 2
    clock.advance(3)
    limits.handle_peer('u1', 4, age_s=1)
    assert limits.max_rate('u1') == 4
    limits.handle_report('u1', UpstreamReport())
    limits.handle_peer('u1', 4, age_s=0.5)
    assert limits.max_rate('u1') is None


def test_a_restarted_upstream_has_no_limit(limits, clock):
    """Guards against the limit of an earlier incarnation that peers revive."""
    limits.handle_report('u1', UpstreamReport(max_rate=2))
    clock.advance(1)
    limits.forget('u1')
    limits.handle_peer('u1', 2, age_s=0.5)
    assert limits.max_rate('u1') is None


def test_the_end_of_a_limit_is_passed_on_for_a_while(limits, clock):
    """Guards against records of ended limits that pile up."""
    limits.handle_report('u1', UpstreamReport(max_rate=2))
    limits.handle_report('u1', UpstreamReport())
    assert [statement.max_rate for _, statement in limits.statements()] == [
        None
    ]
    clock.advance(20)
    assert not list(limits.statements())
