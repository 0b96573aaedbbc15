"""Tests of the estimate of busy slots and the choice by it."""

import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.resources import Service
from nutmegshore.steering.choice import Chooser, UpstreamOption
from nutmegshore.steering.estimate import BusyEstimate


def _on_virtual_time(check):
    async def session():
        clock = VirtualClock()
        estimate = BusyEstimate(clock)
        await check(clock, estimate, Chooser(estimate, random.Random(7)))

    run_virtual(session)


@pytest.mark.parametrize('owned', [0, 3])
def test_a_full_upstream_is_never_chosen_beside_a_free_one(owned):
    """Guards against work queued at one upstream while another is idle."""

    async def check(clock, estimate, chooser):
        estimate.own['full'] = 3
        names = [UpstreamOption('full', 3, owned), UpstreamOption('free', 3)]
        drawn = {chooser.choose(names, Service()) for _ in range(50)}
        assert drawn == {'free'}

    _on_virtual_time(check)


def test_nothing_is_chosen_when_all_are_full():
    """Guards against a queue at the upstreams instead of at the entry."""

    async def check(clock, estimate, chooser):
        estimate.own.update({'a': 3, 'b': 3})
        names = [UpstreamOption('a', 3, owned=1), UpstreamOption('b', 3)]
        assert not chooser.choose(names, Service())

    _on_virtual_time(check)


def test_an_owner_regains_its_slots():
    """Guards against an entry that is starved by overflow from its peers."""

    async def check(clock, estimate, chooser):
        estimate.record_peer('other', {'a': 3})
        owned = [UpstreamOption('a', 3, owned=1)]
        assert chooser.choose(owned, Service()) == 'a'
        estimate.own['a'] += 1
        assert not chooser.choose(owned, Service())
        assert not chooser.choose([UpstreamOption('a', 3)], Service())

    _on_virtual_time(check)


def test_a_silent_peer_is_forgotten():
    """Guards against slots that stay busy after a peer died."""

    async def check(clock, estimate, chooser):
        estimate.record_peer('other', {'a': 2})
        await clock.sleep(0.5)
        estimate.drop_old()
        assert estimate.busy('a') == 2
        await clock.sleep(0.6)
        estimate.drop_old()
        assert estimate.busy('a') == 0

    _on_virtual_time(check)


def test_only_a_lasting_excess_counts_and_fades():
    """Guards against herding of requests by reports that lag behind."""

    async def check(clock, estimate, chooser):
        for busy in (3, 0, 3, 3, 3):
            estimate.record_report('a', busy)
        assert estimate.busy('a') == 0
        estimate.record_report('a', 3)
        assert estimate.busy('a') == 3
        await clock.sleep(5)
        assert round(estimate.busy('a')) == 0

    _on_virtual_time(check)


def test_the_weights_decide_between_zone_and_headroom():
    """Guards against a service whose declared weights have no effect."""

    async def check(clock, estimate, chooser):
        estimate.own['near'] = 1
        names = [
            UpstreamOption('near', 10, owned=10),
            UpstreamOption('far', 10, owned=10, is_near=False),
        ]
        by_latency = Service(latency_weight=1, headroom_weight=0)
        by_headroom = Service(latency_weight=0, headroom_weight=1)
        assert chooser.choose(names, by_latency) == 'near'
        assert chooser.choose(names, by_headroom) == 'far'

    _on_virtual_time(check)
