"""Tests of quotas under load and with faults.

They run the model of `bench/quota_fleet.py`: gateways in three regions that
report to aggregators, and the callers of one customer. Each test states its
load; in all of them, the bound is checked in every sliding window over all
gateways.
"""

import random
from types import MappingProxyType

import attrs
import pytest

from bench.event_clock import EventClock
from bench.quota_faults import Cut, Kill, Pause
from bench.quota_fleet import Load, Move, play
from bench.quota_reports import gateway_names, region_of
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.balancing.quota_counts import Count
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.gateway.customer import Customer

_SECONDS = 16
#: Three quarters of a zone's callers move to another zone at once.
_MOVE = Move(8, 0, 1)
_NAMES = tuple(gateway_names(88))
_WEST = frozenset(name for name in _NAMES if region_of(name) == 'west')
_OTHERS = frozenset(_NAMES) - _WEST
#: The aggregators of all regions are among the first.
_FIRST = frozenset(_NAMES[:9])
_REST = frozenset(_NAMES[9:])
_FAULTS = MappingProxyType(
    {
        'half killed': (Kill(frozenset(_NAMES[::2]), 7),),
        'half back after 2 s': (Kill(frozenset(_NAMES[::2]), 7, 9),),
        'paused': (Pause(_FIRST, 7, 10),),
        'one way out': (Cut(_FIRST, _REST, 7, 14),),
        'one way in': (Cut(_REST, _FIRST, 7, 14),),
        'region split off': (
            Cut(_WEST, _OTHERS, 7, 14, is_noticed=True),
            Cut(_OTHERS, _WEST, 7, 14, is_noticed=True),
        ),
    }
)


def _play(gateways, max_rate, times, **changes):
    """Play a demand that is so many times the quota."""
    demand = ((0, times * max_rate),)
    load = Load(gateways, max_rate, demand=demand, seconds=_SECONDS)
    for name, changed in changes.items():
        load = attrs.evolve(load, **{name: changed})
    return play(load, seed=7)


@pytest.mark.parametrize('gateways', [22, 88])
@pytest.mark.parametrize('max_rate', [0.5, 5, 50])
def test_nothing_is_refused_below_the_quota(gateways, max_rate):
    """Guards against requests lost to a quota that is not used up.

    Load: 0.6 times the quota; three quarters of a zone's callers move.
    """
    result = _play(gateways, max_rate, 0.6, moves=(_MOVE,))
    assert len(result.refused) <= 0.01 * len(result.sent)


@pytest.mark.parametrize('gateways', [22, 88])
@pytest.mark.parametrize('max_rate', [5, 50])
@pytest.mark.parametrize('times', [1, 7.5])
def test_the_quota_is_used_while_there_is_demand(gateways, max_rate, times):
    """Guards against shares that lie idle where there are no callers.

    Load: 1 and 7.5 times the quota; three quarters of a zone's callers move.
    """
    result = _play(gateways, max_rate, times, moves=(_MOVE,))
    assert result.used() >= 0.9 * min(result.asked(), 1)
    assert result.most() <= result.allowed()


@pytest.mark.parametrize('fault', sorted(_FAULTS))
@pytest.mark.parametrize('max_rate', [0.5, 5, 50])
def test_the_bound_holds_over_all_gateways_with_faults(fault, max_rate):
    """Guards against gateways that use the part of those they cannot see.

    Load: 7.5 times the quota at 88 gateways, then one fault.
    """
    result = _play(88, max_rate, 7.5, faults=_FAULTS[fault])
    assert result.most() <= result.allowed()


def test_a_lowered_quota_takes_effect_a_window_later():
    """Guards against counts that permit the former quota.

    Load: 7.5 times a quota of 50 that becomes 5; the gateways learn it within
    2 s, each at another time.
    """
    result = _play(88, 50, 7.5, lowered=((6, 5),))
    assert result.most(start_s=6 + 2 + 5) <= result.allowed(5)


@pytest.fixture
def make_quotas():
    """Function that builds the quotas of a gateway that sees some others."""

    def build(seen=('g1',), at_s=10):
        clock = EventClock()
        quotas = CustomerQuotas(
            clock,
            random.Random(7),
            RecentMembers(clock, lambda region: list(seen)),
        )
        clock.after(at_s, lambda: None)
        clock.run()
        return quotas

    return build


def _customer(**changes):
    return Customer('c1', frozenset(('k1',)), **changes)


def _count_admitted(quotas, customer, asked=1000):
    return sum(not quotas.acquire(customer) for _ in range(asked))


def test_a_customer_without_a_rate_is_not_limited(make_quotas):
    """Guards against an absent rate that is read as a quota of 0."""
    assert _count_admitted(make_quotas(), _customer()) == 1000


def test_a_gateway_alone_keeps_to_the_bound(make_quotas):
    """Guards against a burst of callers at one moment."""
    admitted = _count_admitted(make_quotas(), _customer(max_rate=50))
    assert 0.9 * 250 <= admitted <= 295


def test_a_gateway_that_has_just_started_keeps_to_a_small_part(make_quotas):
    """Guards against a fleet that starts as a whole, whose gateways each take
    themselves for the only one: 300 of them use the bound together."""
    quotas = make_quotas(at_s=0)
    assert _count_admitted(quotas, _customer(max_rate=50)) <= 2


def test_a_gateway_cut_off_from_all_keeps_to_its_part(make_quotas):
    """Guards against gateways that use the part of others that are alive on
    the other side of a partition."""
    quotas = make_quotas([f'g{number}' for number in range(10)])
    admitted = _count_admitted(quotas, _customer(max_rate=50))
    assert 20 <= admitted <= 30


def test_what_was_given_back_may_be_used_again(make_quotas, clock):
    """Guards against a quota that requests refused elsewhere use up."""
    quotas = make_quotas()
    customer = _customer(max_rate=50)
    before = _count_admitted(quotas, customer)
    for _ in range(before):
        quotas.release(customer, clock.now())
    assert quotas.own()['c1'].sent == 0


def test_what_dead_gateways_sent_stays_in_the_window(make_quotas):
    """Guards against a report of a restarted gateway, which counts from 0,
    that makes room for what it sent before."""
    quotas = make_quotas(['g1', 'g2'])
    customer = _customer(max_rate=50)
    quotas.adopt('g2', {'c1': Count(0, 270, 0, 0)}, 1, 2, 0)
    quotas.own()
    quotas.adopt('g2', {}, 1, 2, 0)
    quotas.own()
    assert _count_admitted(quotas, customer) <= 25


def test_a_limit_is_told_once(make_quotas):
    """Guards against a log line for each refusal."""
    quotas = make_quotas()
    changes = []
    quotas.on_change = changes.append
    _count_admitted(quotas, _customer(max_rate=5))
    assert [change.is_limited for change in changes] == [True]
