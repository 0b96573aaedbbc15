"""Tests of the budget for retries and hedges."""

import math

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.resources import Service
from nutmegshore.steering.hedge import HedgePolicy
from nutmegshore.steering.retry import RetryBudget


def _run(check):
    async def session():
        counters = Counters()
        check(RetryBudget(VirtualClock(), counters), counters)

    run_virtual(session)


def _request(budget, count):
    for _ in range(count):
        budget.record_request()


def test_retries_are_a_tenth_of_the_requests():
    """Guards against a storm of retries when every upstream fails."""

    def check(budget, counters):
        sent = 0
        for _ in range(1000):
            budget.record_request()
            sent += budget.try_acquire('x', 1, 10)
        assert 90 <= sent <= 100

    _run(check)


@pytest.mark.parametrize(
    ('tried', 'deadline', 'reason'),
    [(3, 10, 'attempts'), (1, 0, 'deadline')],
)
def test_a_retry_is_bounded_by_attempts_and_deadline(tried, deadline, reason):
    """Guards against a retry past the deadline, and against a third one."""

    def check(budget, counters):
        _request(budget, 100)
        assert budget.try_acquire('x', 2, 10)
        assert not budget.try_acquire('x', tried, deadline)
        assert counters.total('retries_refused', reason=reason) == 1

    _run(check)


def test_retries_of_peers_use_up_the_budget_of_the_region():
    """Guards against entries that each use the whole budget of a region."""

    def check(budget, counters):
        _request(budget, 100)
        budget.record_peer('other', 0, 0)
        budget.record_peer('other', 100, 90)
        assert not budget.try_acquire('x', 1, 10)
        assert counters.total('retries_refused', reason='region_budget') == 1

    _run(check)


@pytest.mark.parametrize(
    ('is_idempotent', 'is_hedged'),
    [(True, False), (False, True), (True, True)],
)
def test_hedges_need_an_idempotent_service(is_idempotent, is_hedged):
    """Guards against a hedge that runs a request twice."""

    def check(budget, counters):
        policy = HedgePolicy(counters, budget)
        services = {'s': Service(idempotent=is_idempotent, hedge=is_hedged)}
        assert math.isinf(policy.delay_s('s', services))
        for index in range(100):
            policy.record_answer('s', 0.01 if index < 95 else 1)
        is_finite = math.isfinite(policy.delay_s('s', services))
        assert is_finite == (is_idempotent and is_hedged)

    _run(check)


def test_a_hedge_uses_the_retry_budget():
    """Guards against hedges that double the load of a slow region."""

    def check(budget, counters):
        policy = HedgePolicy(counters, budget)
        assert not policy.may_hedge(10)
        _request(budget, 11)
        assert policy.may_hedge(10)
        assert not budget.try_acquire('x', 1, 10)

    _run(check)
