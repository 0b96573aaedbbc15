"""Tests of the round trips to other regions and of the work beyond them."""

import pytest

from nutmegshore.balancing import AttemptOutcome, AttemptResult
from nutmegshore.balancing.region_delays import RegionDelays
from nutmegshore.errors import ErrorKind, RefusedError

#: Seconds that an upstream of another region takes to answer at once.
_QUICK_S = 0.0284


@pytest.fixture
def delays(clock):
    """Round trips that a gateway of the west has measured."""
    return RegionDelays(clock, 'west')


@pytest.fixture
def abroad(make_state, make_balancer, upstream):
    """Balancer in the west of a service that runs in the east."""
    return make_balancer(make_state(upstream('e1', 'east')))


def _answer(balancer, request, took_s):
    sent = balancer.begin(request, balancer.choose(request))
    result = AttemptResult(AttemptOutcome.ANSWERED, took_s)
    balancer.end(sent, result)


def test_a_refusal_after_quick_answers_from_afar_says_when_to_return(
    abroad, make_request
):
    """Guards against work that counts as 0 s because the round trip is assumed,
    and a refusal that divides by it (issue 44)."""
    for took_s in (_QUICK_S, 2 * _QUICK_S):
        _answer(abroad, make_request(key=''), took_s)
    late = make_request(key='', remaining_s=0.001)
    with pytest.raises(RefusedError) as refused:
        abroad.choose(late)
    assert refused.value.kind is ErrorKind.OVERLOADED
    assert refused.value.retry_after_s > 0


def test_work_beyond_a_measured_round_trip_is_learned(abroad, make_request):
    """Guards against answers from other regions that count as no work."""
    delays = abroad.candidate_builder.delays
    delays.record_connection('east', 0.024)
    request = make_request(key='')
    _answer(abroad, request, _QUICK_S)
    times = abroad.candidate_builder.route_latency(request)
    assert times.is_known
    assert times.cold_s == pytest.approx(_QUICK_S - 0.024)


def test_an_answer_within_the_round_trip_is_no_sample(abroad, make_request):
    """Guards against a mean that goes to 0 and stays there."""
    request = make_request(key='')
    _answer(abroad, request, _QUICK_S)
    assert not abroad.candidate_builder.route_latency(request).is_known
    _answer(abroad, request, 0.2)
    times = abroad.candidate_builder.route_latency(request)
    assert times.cold_s == pytest.approx(0.2 - _QUICK_S)


def test_the_least_recent_round_trip_counts(delays, clock):
    """Guards against queues that count as distance, and against a path that
    was shorter long ago."""
    for seconds in (0.3, 0.24, 0.024, 0.09):
        delays.record_connection('east', seconds)
    assert delays.round_trip_s('east') == pytest.approx(0.024)
    for _ in range(3):
        clock.advance(61)
        delays.record_connection('east', 0.11)
    assert delays.round_trip_s('east') == pytest.approx(0.11)


def test_one_slow_connection_is_no_long_way(delays):
    """Guards against a busy moment that counts as distance, and answers of
    which nothing is left as work."""
    delays.record_connection('east', 0.25)
    assert delays.record_answer('east', 0.324) == pytest.approx(0.264)
    delays.record_connection('east', 0.024)
    assert delays.round_trip_s('east') == pytest.approx(0.024)


def test_regions_are_told_apart(delays):
    """Guards against one distance for all regions."""
    for _ in range(3):
        delays.record_connection('east', 0.024)
        delays.record_connection('south', 0.11)
    assert delays.round_trip_s('east') == pytest.approx(0.024)
    assert delays.round_trip_s('south') == pytest.approx(0.11)
    assert not delays.round_trip_s('west')


def test_an_answer_shows_that_a_round_trip_is_shorter(delays):
    """Guards against an assumption that a measurement contradicts."""
    assumed_s = delays.round_trip_s('east')
    assert not delays.record_answer('east', assumed_s / 2)
    assert delays.round_trip_s('east') == pytest.approx(assumed_s / 2)
    assert delays.record_answer('east', assumed_s) == pytest.approx(
        assumed_s / 2
    )
