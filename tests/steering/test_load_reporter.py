"""Tests of the number of load messages."""

import asyncio
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.steering import Steering, SteeringDependencies
from nutmegshore.steering.load_reporter import count_rounds
from nutmegshore.steering.messages import Load


class _Member:
    """A steered member that counts the load messages that it hears."""

    def __init__(self, network, index):
        clock = VirtualClock()
        name = 'e{0:02}'.format(index)
        peers = network.join(Member(name, 'west', 'a'), clock)
        peers.neighbours = list
        peers.subscribe(Load, self._count)
        self.heard = 0
        self.steering = Steering(
            ConfigurationTable(),
            'west',
            random.Random(index),
            SteeringDependencies(clock, peers=peers),
        )

    def _count(self, sender, load):
        self.heard += 1


async def _heard(count):
    """Load messages that each of the members hears in 10 s."""
    network = MemoryNetwork()
    members = [_Member(network, index) for index in range(count)]
    await asyncio.gather(*[one.steering.start() for one in members])
    await asyncio.sleep(10)
    await asyncio.gather(*[one.steering.stop() for one in members])
    return [one.heard for one in members]


def test_all_hear_all_in_a_small_cluster():
    """Guards against estimates that age where messages are cheap."""
    heard = run_virtual(lambda: _heard(9))
    assert min(heard) == max(heard)
    assert min(heard) >= 8 * 39


def test_only_who_sums_up_hears_all_in_a_large_cluster():
    """Guards against messages that grow with the square of the members."""
    heard = run_virtual(lambda: _heard(40))
    assert not any(heard[1:])
    assert 0 < heard[0] <= 39 * 21


@pytest.mark.parametrize(
    ('members', 'rounds'),
    [(9, 1), (90, 3), (550, 18)],
)
def test_the_interval_grows_with_the_members(members, rounds):
    """Guards against a summing member that hears all each 250 ms."""
    assert count_rounds(members) == rounds
