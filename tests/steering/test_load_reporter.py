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
    """A member with steering that counts the load messages it receives."""

    def __init__(self, network, index):
        clock = VirtualClock()
        name = 'e{0:02}'.format(index)
        peers = network.join(Member(name, 'west', 'a'), clock)
        peers.neighbours = list
        peers.subscribe(Load, self._count)
        self.received = 0
        self.steering = Steering(
            ConfigurationTable(),
            'west',
            random.Random(index),
            SteeringDependencies(clock, peers=peers),
        )

    def _count(self, sender, load):
        self.received += 1


async def _count_received(count):
    """Load messages that each member receives in 10 s."""
    network = MemoryNetwork()
    members = [_Member(network, index) for index in range(count)]
    await asyncio.gather(*[one.steering.start() for one in members])
    await asyncio.sleep(10)
    await asyncio.gather(*[one.steering.stop() for one in members])
    return [one.received for one in members]


def test_every_member_receives_all_load_in_a_small_cluster():
    """Guards against outdated estimates where messages are cheap."""
    received = run_virtual(lambda: _count_received(9))
    assert min(received) == max(received)
    assert min(received) >= 8 * 39


def test_only_the_summarising_member_gets_load_in_a_large_cluster():
    """Guards against traffic that grows with the square of the members."""
    received = run_virtual(lambda: _count_received(40))
    assert not any(received[1:])
    assert 0 < received[0] <= 39 * 21


@pytest.mark.parametrize(
    ('members', 'rounds'),
    [(9, 1), (90, 3), (550, 18)],
)
def test_the_interval_grows_with_the_members(members, rounds):
    """Guards against a summarising member that gets all load each 250 ms."""
    assert count_rounds(members) == rounds
