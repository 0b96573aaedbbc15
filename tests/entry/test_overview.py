"""Tests of what the operator listener shows of the parts."""

import asyncio
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.entry import EntryComponents, EntryDependencies, EntryOptions
from nutmegshore.entry.overview import make_status_board
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.upstreams import MemoryUpstreams

_LIFETIME_S = 5


def _make_components(clock):
    peers = MemoryNetwork().join(Member('e1', 'west', 'west-a'), clock)
    rng = random.Random(7)
    dependencies = EntryDependencies(
        MemoryPlatform(MemoryStore(), clock),
        peers,
        MemoryUpstreams(clock, rng, lambda name: 0),
        clock,
        rng,
    )
    return EntryComponents(dependencies, EntryOptions(_LIFETIME_S))


@pytest.mark.parametrize(
    ('target', 'waited_s', 'progress'),
    [
        ({'entry': 'e2'}, 3, 0),
        ({'entry': 'e2'}, 6, 1),
        ({'upstream': 'u1'}, 1, 1),
    ],
)
def test_a_drain_of_an_entry_ends_with_the_last_answer(
    target, waited_s, progress, declare
):
    """Guards against a drain that is done while callers still come."""

    async def session():
        clock = VirtualClock()
        components = _make_components(clock)
        board = make_status_board(components, clock.wall)
        await components.start()
        await asyncio.sleep(10)
        components.table.merge([declare('drain', 'd', target)])
        await asyncio.sleep(waited_s)
        found = {one.name: one.progress for one in board.iter_statuses()}
        await components.stop()
        return found['d']

    assert run_virtual(session) == progress


def test_a_drain_waits_for_requests_of_peers(declare):
    """Guards against a drain that is done while a peer's requests run."""

    async def session():
        clock = VirtualClock()
        components = _make_components(clock)
        board = make_status_board(components, clock.wall)
        place = {'region': 'west', 'availability_zone': 'west-a'}
        spec = {'service': 's', 'address': '127.0.0.1:1', 'slots': 3}
        components.table.merge(
            [
                declare('upstream', 'u1', {**place, **spec}),
                declare('drain', 'd', {'upstream': 'u1'}),
            ]
        )
        progress = []
        for running in ({'u1': 2}, {}):
            components.steering.components.estimate.record_peer('e2', running)
            progress.extend(
                one.progress for one in board.iter_statuses() if one.name == 'd'
            )
        return progress

    assert run_virtual(session) == [0, 1]
