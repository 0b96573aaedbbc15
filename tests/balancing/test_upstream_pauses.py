"""Tests of the pauses of upstreams under load.

They run the simulation of `bench/pause_load.py`: gateways, callers and
upstreams that ask for a pause, on a simulated clock. Load pattern: one or all
upstreams of a service want no requests for 4 s while its load goes on.
"""

import pytest

from bench.pause_load import PauseFleet, PauseSpan, play

_START_S = 6
_END_S = 10
_ONE = (PauseSpan('u0', _START_S, _END_S),)
_ALL = tuple(PauseSpan(f'u{number}', _START_S, _END_S) for number in range(4))
#: Requests a second that an upstream serves.
_CAPACITY_PER_S = 53
#: Gateways of the region, and requests a second in it.
_LARGE = ((28, 140), (65, 140), (183, 140))


def _play(spans, gateways, per_s):
    return play(PauseFleet(spans, gateways, per_s=per_s), seed=7)


@pytest.mark.parametrize('spans', [_ONE, _ALL], ids=['one', 'all'])
@pytest.mark.parametrize(('gateways', 'per_s'), [(3, 30), *_LARGE])
def test_gateways_that_were_told_send_nothing(spans, gateways, per_s):
    """Guards against BUDGET: an upstream went on getting requests from the
    gateways that it had asked for a pause."""
    result = _play(spans, gateways, per_s)
    assert len(result.told_at) > gateways * len(spans) / 4
    assert not sum(result.broken(span) for span in spans)


@pytest.mark.parametrize(('gateways', 'per_s'), _LARGE)
def test_an_upstream_is_not_flooded_at_the_end_of_its_pause(gateways, per_s):
    """Guards against gateways that all return to an upstream at the moment
    that it told them, and against an upstream that stays unused."""
    result = _play(_ONE, gateways, per_s)
    before = result.count('u0', 2, 4)
    assert 4 * result.count('u0', _END_S, 1) < 0.65 * before
    assert result.count('u0', _END_S + 4, 4) > before / 2


@pytest.mark.parametrize(('gateways', 'per_s'), _LARGE[1:])
def test_callers_that_were_refused_do_not_flood_the_upstreams(gateways, per_s):
    """Guards against refused callers that all return when the pauses end: the
    queues of the first second are as long as half a second's work."""
    result = _play(_ALL, gateways, per_s)
    reached = [result.count(span.upstream, _END_S, 1) for span in _ALL]
    assert min(reached) > 10
    assert 2 * max(reached) <= 3 * _CAPACITY_PER_S


def test_the_others_serve_what_a_paused_upstream_does_not():
    """Guards against refusals while other upstreams have room."""
    result = _play(_ONE, 28, 140)
    assert result.served(_START_S, _END_S, rank=0) == 1
    assert result.served(_START_S, _END_S, rank=1) == 1


def test_no_caller_is_told_to_return_before_the_end():
    """Guards against a Retry-After that leads to the next refusal."""
    result = _play(_ALL, 28, 140)
    refused = [one for one in result.outcomes if not one.is_served]
    assert refused
    assert min(one.ended_at + one.wait_s for one in refused) > _END_S
