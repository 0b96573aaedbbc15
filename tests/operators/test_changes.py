"""Tests of the change log."""

import asyncio

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.operators import ChangeLog


def _log(table, epoch='a'):
    return ChangeLog(table, epoch, max_watches=1, max_kept=2)


def test_a_watch_misses_nothing_between_two_calls(declare):
    """Guards against losing a change between two watches."""

    async def session():
        table = ConfigurationTable()
        log = _log(table)
        start = await log.wait('')
        waiting = asyncio.create_task(log.wait(start.position))
        await asyncio.sleep(1)
        table.merge([declare('drain', 'd', {'region': 'west'}, 1)])
        table.merge([declare('drain', 'd', {'region': 'west'}, 2)])
        first = await waiting
        table.merge([declare('drain', 'd', None, 3)])
        rest = await log.wait(first.position)
        return first, rest, await log.wait(rest.position, 5)

    first, rest, nothing = run_virtual(session)
    seen = [found.generation for found in first.envelopes + rest.envelopes]
    assert seen == [1, 2, 3]
    assert not (nothing.envelopes or nothing.is_complete)


@pytest.mark.parametrize('after', ['', 'a:0', 'a:99', 'b:1', 'a:x', 'a:²'])
def test_an_unusable_position_gets_every_object(declare, after):
    """Guards against changes that are skipped after a restart."""

    async def session():
        table = ConfigurationTable()
        log = _log(table)
        for generation in (1, 2, 3):
            table.merge([declare('drain', 'd', {'region': 'w'}, generation)])
        return await log.wait(after)

    found = run_virtual(session)
    assert found.is_complete
    assert len(found.envelopes) == 1


def test_watches_are_bounded(table):
    """Guards against waiting calls that exhaust the listener."""

    async def session():
        log = _log(table)
        waiting = asyncio.create_task(log.wait('a:0'))
        await asyncio.sleep(1)
        with pytest.raises(ObjectError) as caught:
            await log.wait('a:0')
        await waiting
        await log.wait('a:0')
        return caught.value.kind

    assert run_virtual(session) == ErrorKind.OVERLOADED
