"""Tests of statuses and their storage on the platform."""

import json

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.operators import (
    StatusBoard,
    StatusPart,
    StatusWriter,
    read_statuses,
)
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.steering import Origin

_KEY = 'status/drain/d/west'


class _Member:
    """One instance of region west that may be the writer of statuses."""

    def __init__(self, store, wall_s=100.0):
        self.store = store
        self.is_writer = True
        self.parts = []
        self.counters = Counters()
        self.table = ConfigurationTable()
        self.board = StatusBoard(
            self.table, 'west', lambda: wall_s, lambda envelope: ['e2', 'e1']
        )
        self.board.add_provider(lambda: self.parts)
        self.platform = MemoryPlatform(store, VirtualClock())
        self.writer = StatusWriter(
            self.platform,
            self.board,
            VirtualClock(),
            lambda: self.is_writer,
            self.counters,
        )

    def stored(self):
        """Fields of the status in the store."""
        return json.loads(self.store.by_key[_KEY].body)


def _part(moved, progress, **options):
    return StatusPart('drain', 'd', {'moved': moved}, progress, **options)


def test_a_status_merges_the_reports_of_components(declare):
    """Guards against a component left out of a status or counted twice."""
    member = _Member(MemoryStore())
    member.table.merge([declare('drain', 'd', {'region': 'west'})])
    origin = Origin('drain', 'd', 1, 'ann')
    member.parts = [
        _part(2, 0.5, held_back_by=('no headroom',), origins=(origin,)),
        _part(3, 1, origins=(origin,), problems=('x',)),
        StatusPart('shift', 'bad', problems=('share: expected a number',)),
        StatusPart('shift', 'gone'),
    ]
    drain, bad = member.board.iter_statuses()
    assert (drain.generation, drain.in_force_since) == (1, 100)
    assert drain.in_force_at == ('e1', 'e2')
    assert (drain.done, drain.progress) == ({'moved': 5}, 0.5)
    assert (drain.held_back_by, drain.origins) == (('no headroom',), (origin,))
    assert (bad.name, bad.generation, bad.in_force_since) == ('bad', 0, 0)


def test_counts_that_change_constantly_cause_few_writes(declare):
    """Guards against a status write per request."""

    async def session():
        member = _Member(MemoryStore())
        member.table.merge([declare('drain', 'd', {'region': 'west'})])
        member.writer.start()
        for second in range(600):
            member.parts = [_part(second, second / 1000)]
            await VirtualClock().sleep(1)
        member.parts = [_part(600, 1)]
        await VirtualClock().sleep(6)
        await member.writer.stop()
        return member.store.call_counts, member.stored()

    calls, stored = run_virtual(session)
    assert calls['write'] <= 12
    assert calls['read'] == 1
    # Completion is written without waiting for the next write of counts.
    assert (stored['progress'], stored['done']) == (1, {'moved': 600})


def test_many_changes_are_written_in_bounded_rounds(declare):
    """Guards against a burst of writes after a restart of every entry."""

    async def session():
        member = _Member(MemoryStore())
        spec = {'region': 'west'}
        names = [f'd{number}' for number in range(50)]
        member.table.merge([declare('drain', name, spec) for name in names])
        rounds = [await member.writer.write_round() for _ in range(4)]
        member.table.merge([declare('drain', 'd1', None, 2)])
        rounds.append(await member.writer.write_round())
        return rounds, len(await read_statuses(member.platform, 'drain'))

    assert run_virtual(session) == ([20, 20, 10, 0, 1], 49)


def test_a_takeover_keeps_the_time_and_writes_nothing_new(declare):
    """Guards against rewriting every status when the writer changes."""

    async def session():
        store = MemoryStore()
        first, second = _Member(store, 100), _Member(store, 200)
        for member in (first, second):
            member.table.merge([declare('drain', 'd', {'region': 'west'})])
        rounds = [
            await first.writer.write_round(),
            await second.writer.write_round(),
        ]
        second.parts = [_part(1, 1)]
        rounds.append(await second.writer.write_round())
        return rounds, second.stored()['in_force_since']

    assert run_virtual(session) == ([1, 0, 1], 100)


@pytest.mark.parametrize('lost', [0, 1])
def test_two_writers_do_not_overwrite_unread_statuses(declare, lost):
    """Guards against a resumed writer that overwrites a newer status."""

    async def session():
        store = MemoryStore()
        old, new = _Member(store), _Member(store)
        spec = {'region': 'west'}
        for member in (old, new):
            member.table.merge([declare('drain', 'd', spec)])
            await member.writer.write_round()
        new.table.merge([declare('drain', 'd', spec, 2)])
        store.faults.lost_answers = lost
        await new.writer.write_round()
        old.parts = [_part(0, None, problems=('late',))]
        lost_round = await old.writer.write_round()
        failures = old.counters.total('status_write_failures')
        return lost_round, failures, new.stored()['generation']

    assert run_virtual(session) == (0, 1, 2)


def test_the_writer_continues_after_a_platform_outage(declare):
    """Guards against statuses that are not updated after an outage."""

    async def session():
        member = _Member(MemoryStore())
        member.table.merge([declare('drain', 'd', {'region': 'west'})])
        member.store.faults.is_down = True
        member.writer.start()
        await VirtualClock().sleep(60)
        member.store.faults.is_down = False
        await VirtualClock().sleep(6)
        await member.writer.stop()
        return member.stored()['generation']

    assert run_virtual(session) == 1
