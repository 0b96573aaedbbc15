"""Tests of the reports of upstreams and the log of their limits."""

import attrs
import pytest

from nutmegshore.gateway.upstream_reports import UpstreamReports
from nutmegshore.upstreams import UpstreamReport


@pytest.fixture
def context(make_context, scripted):
    """Context of a gateway with three upstreams."""
    return make_context(scripted())


@pytest.fixture
def reports(context):
    """Receiver of the reports of upstreams."""
    return UpstreamReports(
        context.balancer, context.state, context.log, context.counters
    )


def test_each_change_of_a_limit_is_logged_once(reports, lines):
    """Guards against an upstream in need that the logs do not show."""
    for max_rate in (1.5, 1.5, None):
        reports.record('u1', UpstreamReport(max_rate=max_rate))
    found = lines.named('upstream_limit_changed')
    shown = [(one['max_rate'], one['previous']) for one in found]
    assert shown == [(1.5, -1), (-1, 1.5)]
    assert found[0]['upstream'] == 'u1'
    assert found[0]['service'] == 'orders'


def test_a_malformed_limit_is_logged_once(reports, lines, context):
    """Guards against a limit that is silently ignored, and against a line for
    each answer of an upstream that goes on sending it."""
    for text in ('nan', 'nan', 'x' * 500):
        reports.record('u1', UpstreamReport(malformed_limit=text))
    found = lines.named('upstream_limit_rejected')
    assert [one['text'] for one in found] == ['nan', 'x' * 60]
    metric = 'upstream_limits_rejected'
    assert context.counters.total(metric, service='orders') == 3
    assert context.balancer.candidate_builder.limits.max_rate('u1') is None


def test_a_pause_is_logged_from_its_begin_to_its_end(reports, lines, context):
    """Guards against an upstream without requests that the logs do not
    explain, and against a line for each refusal in flight."""
    upstream = context.state.by_id['u1']
    for _ in range(3):
        reports.record_destination(upstream, UpstreamReport(pause_s=1e9))
    context.balancer.candidate_builder.forget('u1')
    found = lines.named('upstream_pause_changed')
    assert [one['change'] for one in found] == ['begun', 'gone']
    assert int(found[0]['left_s']) == 1_000_000_000
    assert found[0]['upstream'] == 'u1'
    assert found[0]['service'] == 'orders'
    assert context.counters.total('upstream_pauses', service='orders') == 3


def test_a_malformed_pause_is_logged_once(reports, lines, context):
    """Guards against a time that is silently ignored, and against a line for
    each refusal of an upstream that goes on sending it between other answers.
    """
    upstream = context.state.by_id['u1']
    for text in ('nan', 'nan', 'x' * 500):
        report = UpstreamReport(malformed_pause=text)
        reports.record_destination(upstream, report)
        reports.record_destination(upstream, UpstreamReport(busy=1))
    found = lines.named('upstream_pause_rejected')
    assert [one['text'] for one in found] == ['nan', 'x' * 60]
    metric = 'upstream_pauses_rejected'
    assert context.counters.total(metric, service='orders') == 3
    pauses = context.balancer.candidate_builder.pauses
    assert not pauses.is_paused(upstream)


def test_an_upstream_that_is_gone_begins_no_pause(reports, lines, upstream):
    """Guards against records of upstreams that are not registered."""
    reports.record_destination(upstream('u9'), UpstreamReport(pause_s=60))
    assert not lines.lines


def test_an_earlier_incarnation_begins_no_pause(reports, lines, context):
    """Guards against a pause of an upstream that has just started, by an answer
    that its predecessor under the same id gave."""
    earlier = attrs.evolve(context.state.by_id['u1'], born_ms=5)
    reports.record_destination(earlier, UpstreamReport(pause_s=60))
    assert not lines.lines
