"""Tests of the sliding counts of requests to each service."""

from nutmegshore.balancing.service_traffic import (
    ServiceTraffic,
    TrafficWindow,
    sum_traffic,
)


def test_requests_leave_the_window_after_two_seconds(clock):
    """Guards against decisions from traffic that has ended."""
    window = TrafficWindow(clock)
    window.get('orders').home += 1
    clock.advance(1.5)
    window.get('orders').away += 1
    assert window.by_service()['orders'] == ServiceTraffic(home=1, away=1)
    clock.advance(1)
    assert window.by_service()['orders'] == ServiceTraffic(away=1)
    clock.advance(2)
    assert not window.by_service()


def test_sums_leave_the_windows_unchanged():
    """Guards against counts that grow each time they are summed."""
    one = {'orders': ServiceTraffic(home=1, refused=1)}
    other = {'orders': ServiceTraffic(home=2), 'payments': ServiceTraffic()}
    total = sum_traffic((one, other, {}))
    assert total['orders'] == ServiceTraffic(home=3, refused=1)
    assert one == {'orders': ServiceTraffic(home=1, refused=1)}


def test_fractions_without_requests_are_zero():
    """Guards against a division by zero in a region without requests."""
    traffic = ServiceTraffic()
    assert not traffic.mean_wait_ratio
    assert not traffic.refused_fraction
    assert not traffic.capacity_fraction
    assert not traffic.spill_fraction
