"""Tests of the shared retry budget.

Load pattern: every upstream refuses every request, and each gateway retries
whenever the budget allows it.
"""

import pytest

from nutmegshore.balancing.budget import FleetRetryBudget
from nutmegshore.balancing.recent_members import RecentMembers


def _make(clock):
    return FleetRetryBudget(clock, ratio=0.2, window_s=10, extra=60)


@pytest.mark.parametrize('members', [1, 9, 60])
def test_all_gateways_stay_within_the_budget(clock, members):
    """Guards against per-process budgets that add up over the fleet."""
    budgets = [_make(clock) for _ in range(members)]
    retries = 0
    for _ in range(100):
        for budget in budgets:
            budget.record_request('orders')
            if budget.may_retry('orders', members):
                budget.record_retry('orders')
                retries += 1
        clock.advance(0.1)
    assert retries <= 0.2 * 100 * members + 60


def test_sides_of_a_partition_stay_within_the_budget(clock):
    """Guards against the fault of LIMIT in the retry budget: each side of a
    partition divided the fleet's extra retries among its own gateways only."""
    names = [f'g{number}' for number in range(8)]
    seen = list(names)
    members = RecentMembers(clock, lambda region: list(seen))
    members.observe('')
    seen.clear()
    seen.extend(names[:4])
    clock.advance(1)
    budgets = [_make(clock) for _ in names]
    retries = 0
    for budget in budgets:
        while budget.may_retry('orders', members.count('')):
            budget.record_retry('orders')
            retries += 1
    assert retries <= 60


def test_gateways_that_restart_together_stay_within_the_budget(clock):
    """Guards against the class of FAILBACK in the retry budget: gateways that
    had just started saw only themselves, and each took all extra retries."""
    fleet = []
    for number in range(8):
        budget = _make(clock)
        names = (f'g{number}',)
        fleet.append((budget, RecentMembers(clock, lambda _, own=names: own)))
    retries = 0
    for budget, members in fleet:
        while budget.may_retry('orders', members.count_sharers()):
            budget.record_retry('orders')
            retries += 1
    assert retries <= 60
    for _ in range(10):
        budget.record_request('orders')
    assert budget.may_retry('orders', members.count_sharers())


def test_a_retry_counts_for_the_window(clock):
    """Guards against a budget that does not recover after the window."""
    budget = FleetRetryBudget(clock, ratio=0, window_s=10, extra=2.5)
    budget.record_retry('orders')
    budget.record_retry('orders')
    assert not budget.may_retry('orders', 1)
    clock.advance(10.1)
    assert budget.may_retry('orders', 1)
