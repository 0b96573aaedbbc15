"""Tests of the estimate of requests in flight."""

from nutmegshore.balancing.load import LoadTable


def test_own_requests_count_at_once(clock):
    """Guards against herds: a choice counts before any report includes it."""
    table = LoadTable(clock)
    table.get('u1').in_flight += 2
    assert table.estimate('u1') == 2


def test_peers_counts_add_up_and_age(clock):
    """Guards against counts of a dead gateway that are never dropped."""
    table = LoadTable(clock)
    table.get('u1').in_flight = 1
    table.handle_peer_counts('g2', {'u1': 2})
    table.handle_peer_counts('g3', {'u1': 1})
    assert table.estimate('u1') == 4
    clock.advance(3)
    table.forget_peers()
    assert table.estimate('u1') == 1


def test_a_fresh_report_overrides_peers(clock):
    """Guards against trusting an old report: it is valid for 0.2 s only."""
    table = LoadTable(clock)
    table.get('u1').in_flight = 2
    table.handle_peer_counts('g2', {'u1': 5})
    table.handle_report('u1', busy=2)
    assert table.estimate('u1') == 3
    clock.advance(0.3)
    assert table.estimate('u1') == 7


def test_counts_are_sent_without_zeros(clock):
    """Guards against reports that grow with every upstream ever used."""
    table = LoadTable(clock)
    table.get('u1').in_flight = 1
    table.get('u2').in_flight = 0
    assert table.own_counts() == {'u1': 1}
