"""Tests of routes and customers that compete for upstreams, under load.

They run the model of `bench/contention_load.py`. Loads: a short urgent route
(work 0.44 s, aim 0.48 s) beside a long one (1.36 s, 2.2 s), or beside two
(1.12 s and 1.48 s); with 12 customers, of which one has 7.5 times its usual
load; with a burst of 1.7; with callers that return at once, three times; with a
wave whose peak moves between the regions; with 3 in 100 requests that take
seven times as long.
"""

import functools

import pytest

from bench.contention_cases import CASES, CUSTOMERS
from bench.contention_load import Totals, play
from nutmegshore.balancing import minimum_share

_SEEDS = (0, 1, 2)
#: The users' limits on how much less often a route is served than a less
#: urgent one of the same service, and how much less of its worth it earns.
_MAX_SERVED_LESS = 0.05
_MAX_EARNED_LESS = 0.15
#: The users' limit on how rarely anybody is served, relative to all.
_MIN_SERVED_PART = 0.25
_COMPETING = (
    'short beside long',
    'short beside two',
    'hot customer',
    'hot less urgent customer',
    'retries at once',
    'burst',
    'burst of three',
    'wave',
    'long tail',
)


@functools.cache
def _totals(name):
    """Ends of a load over all seeds."""
    totals = Totals()
    for seed in _SEEDS:
        totals.add(play(CASES[name], seed))
    return totals


@pytest.mark.parametrize('name', _COMPETING)
def test_urgent_routes_are_served_no_worse_than_others(name):
    """Guards against urgent short work behind long work that can wait: today's
    rule left 0.23 to 0.73 of its worth to the urgent route, and up to 0.99 to
    the other one."""
    totals = _totals(name)
    urgent = totals.route('live-board')
    for route in CASES[name].routes:
        other = totals.route(route.name)
        assert urgent.served_part >= other.served_part - _MAX_SERVED_LESS
        assert urgent.earned_part >= other.earned_part - _MAX_EARNED_LESS


@pytest.mark.parametrize('name', ['hot customer', 'burst', 'retries at once'])
def test_urgent_customers_are_served_no_worse_than_others(name):
    """Guards against customers whose priority has no effect."""
    totals = _totals(name)
    served = {
        rank: [
            totals.customer(customer).earned_part
            for customer, known in CUSTOMERS.items()
            if known == rank
        ]
        for rank in (0, 1)
    }
    least = sum(served[0]) / len(served[0])
    assert least >= sum(served[1]) / len(served[1])


@pytest.mark.parametrize('name', CASES)
def test_nobody_is_starved(name):
    """Guards against routes and customers that are hardly served since others
    are more urgent, or ask more often."""
    totals = _totals(name)
    least = _MIN_SERVED_PART * totals.route().served_part
    for route in CASES[name].routes:
        assert totals.route(route.name).served_part >= least
    for customer in CASES[name].customers:
        assert totals.customer(customer).served_part >= least


def test_the_floor_keeps_a_route_from_starving(monkeypatch):
    """Guards against a floor without effect: an urgent route with twice the
    requests that there is room for would leave less to the other one."""
    name = 'urgent beyond the room'
    served = _totals(name).route('doc-upload').served_part
    monkeypatch.setattr(minimum_share, '_FLOOR', 0)
    without = play(CASES[name], 0)
    assert without.route('doc-upload').served_part < served


def test_every_request_ends_once():
    """Guards against requests that the model loses."""
    total = _totals('burst').route()
    assert total.in_time + total.late + total.refused == total.asked
