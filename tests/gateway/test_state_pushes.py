"""Tests of the changes that aggregators send, on virtual time."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.gateway.messages import StateChanges
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.gateway.replica_view import ReplicaView
from nutmegshore.gateway.state_pushes import StatePushes
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import Listing, StoredObject

_PREFIX = 'servers/'


@attrs.define
class PlainFollower:
    """What the pushes see of a follower."""

    view: ReplicaView
    prefix: str = _PREFIX
    known: KnownObjects = attrs.field(factory=KnownObjects)

    def list(self, position, *versions):
        stored = [
            StoredObject(f'{_PREFIX}u{version}', b'', 'uid', version, '')
            for version in versions
        ]
        self.known.replace(Listing(position, tuple(stored), 1))


@pytest.fixture
def run_pushes():
    """Run a session with an aggregator's pushes, its follower, and what the
    gateways of its region get."""

    def run(session):
        async def running():
            network = MemoryNetwork(full_mesh=2)
            clock = VirtualClock()
            joined = [
                network.join(Member(f'g{index}', 'west', 'a'), clock)
                for index in range(6)
            ]
            came = []

            def record(_, body):
                came.append(body)

            for peers in joined:
                peers.subscribe(StateChanges, record)
            follower = PlainFollower(ReplicaView(clock))
            aggregator = network.by_name[joined[0].aggregators()[0]]
            await session(
                StatePushes(aggregator, clock, [follower]), follower, came
            )

        run_virtual(running)

    return run


def test_a_listing_without_changes_is_no_base(run_pushes):
    """Guards against a round trip more: the position of a listing that changed
    nothing was the base of the next push, which nobody had reached."""

    async def session(pushes, follower, came):
        follower.list(10, 1)
        pushes.send(is_watched=False)
        follower.list(15, 1)
        pushes.send(is_watched=False)
        follower.list(20, 1, 18)
        pushes.send(is_watched=False)
        await asyncio.sleep(1)
        assert {(body.base, body.position) for body in came} == {(10, 20)}
        assert len(came) == 4

    run_pushes(session)


def test_each_change_is_sent_once(run_pushes):
    """Guards against DRAIN: the same changes were sent again and again."""

    async def session(pushes, follower, came):
        follower.list(10, 1)
        pushes.send(is_watched=False)
        for position in (20, 30):
            follower.list(position, 1, *range(12, position, 10))
            pushes.send(is_watched=False)
        await asyncio.sleep(1)
        told = [[one[0] for one in body.listed] for body in came]
        assert sorted(told) == 4 * [['servers/u12']] + 4 * [['servers/u22']]
        assert {body.base for body in came} == {10, 20}

    run_pushes(session)
