"""Tests of the decision which requests wait or are refused."""

import attrs
import pytest

from nutmegshore.balancing.choice import Candidate
from nutmegshore.balancing.contention import Contention, RefusalCause
from nutmegshore.balancing.minimum_share import MinimumShare
from nutmegshore.errors import RefusedError
from nutmegshore.gateway.customer import Customer


@pytest.fixture
def contention(make_state, clock):
    """Decision of one gateway."""
    return Contention(make_state(), clock)


@pytest.fixture
def make_candidate(upstream):
    """Function that builds a candidate with two slots."""

    def build(**changes):
        free = Candidate(
            upstream=upstream('w1', slots=2),
            delay_s=0,
            wait_s=0,
            work_s=0.1,
            risk_s=0,
            is_warm=True,
            has_handled=True,
            busy=0,
        )
        return attrs.evolve(free, **changes)

    return build


@pytest.fixture
def urgent(make_request, route):
    """Request of a short urgent route."""
    return make_request(route=route(name='urgent', target_latency_s=0.2))


@pytest.fixture
def plain(make_request, route):
    """Request of a long route that is less urgent."""
    return make_request(
        route=route(name='plain', rank=2, target_latency_s=2), remaining_s=6
    )


def _use(contention, request, candidate):
    """Have a class of requests be known."""
    contention.record_asked(request)
    contention.record_sent(request, candidate)


def test_a_less_urgent_request_leaves_the_last_slot(
    contention, make_candidate, urgent, plain
):
    """Guards against long work in the last slot, behind which an urgent request
    would be late."""
    _use(contention, urgent, make_candidate())
    _use(contention, plain, make_candidate(work_s=1))
    verdict = contention.judge(plain, make_candidate(work_s=1, busy=1))
    assert verdict.cause is RefusalCause.URGENT
    assert verdict.kept_for == 'urgent'
    assert verdict.room_in_s > 0
    assert contention.judge(urgent, make_candidate(busy=1)).is_admitted
    assert contention.judge(plain, make_candidate(work_s=1)).is_admitted


def test_a_route_alone_is_served_as_before(contention, make_candidate, plain):
    """Guards against room that is kept for nobody: the urgent route has not
    been used, or not for some seconds."""
    _use(contention, plain, make_candidate(work_s=1))
    candidate = make_candidate(work_s=1, busy=2, wait_s=0.5)
    assert contention.judge(plain, candidate).is_admitted


def test_a_class_that_is_gone_keeps_no_room(
    contention, make_candidate, urgent, plain, clock
):
    """Guards against slots that stay empty for a route used at times."""
    _use(contention, urgent, make_candidate())
    clock.advance(5)
    _use(contention, plain, make_candidate(work_s=1))
    candidate = make_candidate(work_s=1, busy=1)
    assert contention.judge(plain, candidate).is_admitted


def test_the_customer_goes_before_the_route(
    contention, make_candidate, urgent, plain
):
    """Guards against an urgent route of a customer that is not urgent."""
    first = attrs.evolve(plain, customer=Customer('c1', frozenset()))
    last = attrs.evolve(urgent, customer=Customer('c2', frozenset(), rank=1))
    _use(contention, first, make_candidate(work_s=1.9))
    _use(contention, last, make_candidate())
    candidate = make_candidate(busy=1, work_s=0.1)
    assert contention.judge(first, candidate).is_admitted
    assert contention.judge(last, candidate).cause is RefusalCause.URGENT


@pytest.mark.parametrize('changes', [{'age_s': 0.15}, {}])
def test_a_request_that_is_late_anyway_does_not_wait(
    contention, make_candidate, urgent, plain, changes
):
    """Guards against late requests that make others late as well."""
    request = attrs.evolve(urgent, **changes)
    _use(contention, urgent, make_candidate())
    _use(contention, plain, make_candidate(work_s=1.9))
    full = make_candidate(busy=2, wait_s=0.05)
    verdict = contention.judge(request, full)
    assert verdict.is_admitted is not bool(changes)
    assert (verdict.cause is RefusalCause.LATE) is bool(changes)
    late = attrs.evolve(urgent, age_s=1)
    assert contention.judge(late, make_candidate(busy=1)).is_admitted


def test_nothing_is_refused_for_unknown_work(
    contention, make_candidate, urgent, plain
):
    """Guards against refusals at a gateway that has just started."""
    contention.record_asked(urgent)
    contention.record_asked(plain)
    candidate = make_candidate(work_s=1, busy=1)
    assert contention.judge(plain, candidate).is_admitted


def test_a_route_that_is_refused_too_often_is_due(clock, urgent, plain):
    """Guards against starvation by urgency alone."""
    floor = MinimumShare(clock)
    for _ in range(3):
        floor.record_asked(urgent)
        floor.record_sent(urgent)
        floor.record_asked(plain)
    assert not floor.is_due(plain)
    for _ in range(9):
        floor.record_asked(urgent)
        floor.record_sent(urgent)
        floor.record_asked(plain)
    assert floor.is_due(plain)
    floor.record_sent(plain)
    assert not floor.is_due(urgent)


def test_a_refusal_tells_for_whom_room_is_kept(
    make_state, make_balancer, upstream, urgent, plain
):
    """Guards against refusals whose reason an operator cannot see."""
    balancer = make_balancer(make_state(upstream('w1', slots=2)))
    balancer.begin(urgent, balancer.choose(urgent))
    with pytest.raises(RefusedError) as refused:
        balancer.choose(plain)
    assert refused.value.contended.cause == RefusalCause.URGENT.value
    assert refused.value.contended.kept_for == 'urgent'
    assert refused.value.retry_after_s > 0
