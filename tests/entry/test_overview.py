"""Tests of the status that the operator listener shows."""

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
def test_an_entry_drain_ends_when_look_up_answers_expire(
    target, waited_s, progress, declare
):
    """Guards against completing a drain while callers still use the entry."""

    async def session():
        clock = VirtualClock()
        components = _make_components(clock)
        board = make_status_board(components, clock.wall)
        await components.start()
        await asyncio.sleep(10)
        components.table.merge([declare('drain', 'd', target)])
        await asyncio.sleep(waited_s)
        progress_by_name = {
            status.name: status.progress for status in board.iter_statuses()
        }
        await components.stop()
        return progress_by_name['d']

    assert run_virtual(session) == progress


def test_a_drain_waits_for_requests_of_peers(declare):
    """Guards against completing a drain while a peer's requests run."""

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
                status.progress
                for status in board.iter_statuses()
                if status.name == 'd'
            )
        return progress

    assert run_virtual(session) == [0, 1]
