"""Tests of the estimated demand for single objects."""

import pytest

from nutmegshore.balancing.object_demand import ObjectDemand


@pytest.fixture
def demand(clock):
    """Demand that starts without requests."""
    return ObjectDemand(clock)


def _busy_slots(demand, gateways=1):
    return demand.busy_slots('orders', '7', work_s=0.5, gateways=gateways)


def test_steady_requests_use_their_work_in_slots(demand, clock):
    """Guards against a popular object that waits at two upstreams while its
    requests need more of them."""
    for _ in range(200):
        clock.advance(0.1)
        demand.record('orders', '7')
    assert _busy_slots(demand) == pytest.approx(5, rel=0.1)
    assert _busy_slots(demand, gateways=3) == pytest.approx(15, rel=0.1)


def test_demand_that_ends_is_forgotten(demand, clock):
    """Guards against an object that keeps many upstreams after its peak."""
    for _ in range(50):
        demand.record('orders', '7')
    clock.advance(60)
    assert _busy_slots(demand) == pytest.approx(0, abs=1e-3)


def test_requests_that_take_long_count_while_they_run(demand):
    """Guards against a sudden crowd for one object that is refused while other
    upstreams are idle."""
    for _ in range(8):
        demand.begin('orders', '7')
    assert _busy_slots(demand) == 8
    for _ in range(8):
        demand.end('orders', '7')
    assert not _busy_slots(demand)
