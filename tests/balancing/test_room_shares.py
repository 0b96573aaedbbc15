"""Tests of how gateways share the room that load reports show.

Load pattern: callers press, and one upstream has room again, which all gateways
of a region read in the same report.
"""

import random

import pytest

from nutmegshore.balancing.choice import Candidate
from nutmegshore.balancing.room_shares import RoomShares
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

_SLOTS = 4
_QUEUE_S = 0.25
_GATEWAYS = 28
#: Requests that one gateway sends in half a second, the age of a report.
_WAITING = 2
#: Four free slots, and one request that may queue there.
_ROOM = 5
#: Requests that an upstream with four slots ends in half a second.
_ENDED = 2


def _candidate(name='u1', busy=0, work_s=1):
    upstream = RegisteredUpstream(
        instance=name,
        service='orders',
        address='10.0.0.1:80',
        availability_zone='west-a',
        region='west',
        slots=_SLOTS,
        born_ms=1,
    )
    return Candidate(
        upstream=upstream,
        delay_s=0,
        wait_s=max(busy + 1 - _SLOTS, 0) * _QUEUE_S,
        work_s=work_s,
        risk_s=0,
        is_warm=False,
        has_handled=False,
        busy=busy,
        queue_s=_QUEUE_S,
    )


def _max_wait_s(candidate):
    return _QUEUE_S


def _count_sent(shares, candidates, demand_per_s, gateways=_GATEWAYS):
    """Count by upstream what all gateways send before the next report."""
    sent = dict.fromkeys((one.upstream.instance for one in candidates), 0)
    for _ in range(gateways * _WAITING):
        found = shares.limit(candidates, _max_wait_s, demand_per_s, gateways)
        best = min(found, key=lambda one: one.cost_s)
        if best.wait_s <= _max_wait_s(best):
            sent[best.upstream.instance] += 1
    return sent


@pytest.fixture
def shares(clock):
    """Shares of one gateway."""
    return RoomShares(clock, random.Random(7))


def test_gateways_send_what_there_is_room_for(shares):
    """Guards against FAILBACK: an upstream looked empty to 28 gateways, and
    each of them sent it all requests that it would have refused."""
    plays = 200
    counts = [
        _count_sent(shares, [_candidate()], demand_per_s=2 * _WAITING)['u1']
        for _ in range(plays)
    ]
    mean = sum(counts) / plays
    assert mean == pytest.approx(_ROOM + _ENDED, rel=1 / 10)


def test_room_at_several_upstreams_is_used(shares):
    """Guards against callers that are refused beside upstreams with room."""
    candidates = [
        _candidate(f'u{number}', work_s=1 + number / 10) for number in range(3)
    ]
    counts = _count_sent(shares, candidates, demand_per_s=2 * _WAITING)
    assert min(counts.values()) > 0
    assert sum(counts.values()) > 2 * _ROOM


def test_no_room_is_left_to_others_without_demand(shares):
    """Guards against requests that go to a cold upstream, or are refused,
    although hardly any others wait for the room."""
    limited = shares.limit([_candidate()], _max_wait_s, 1 / 10, _GATEWAYS)
    assert limited == [_candidate()]


def test_a_few_gateways_use_what_they_see(shares):
    """Guards against room that stays unused in small fleets, whose gateways
    are too few to flood an upstream."""
    counts = _count_sent(shares, [_candidate()], 100, gateways=_SLOTS)
    assert counts['u1'] == _SLOTS * _WAITING


def test_a_full_upstream_stays_as_it_looks(shares):
    """Guards against a retry time that is worked out from another queue."""
    full = _candidate(busy=9)
    assert shares.limit([full], _max_wait_s, 100, _GATEWAYS) == [full]


def test_refusals_count_for_four_seconds(shares, clock):
    """Guards against gateways that go on sharing room after a rush."""
    for _ in range(8):
        shares.record_refusal('orders')
    assert shares.refused_per_s('orders') == 2
    assert not shares.refused_per_s('payments')
    clock.advance(4)
    assert not shares.refused_per_s('orders')
