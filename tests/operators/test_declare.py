"""Tests of the validation and storage of declared objects."""

import asyncio
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import (
    ErrorKind,
    ObjectError,
    PlatformAnswerLost,
    PlatformError,
    VersionConflict,
)
from nutmegshore.operators import Declaration
from nutmegshore.store import MemoryStore
from nutmegshore.resources import InvalidObject, parse_envelope, write_envelope

_KEY = 'config/drain/d'


def _wish(region, author='ann', generation=None):
    spec = region and {'region': region}
    return Declaration('drain', 'd', spec, author, 'why', generation)


@pytest.mark.parametrize('seed', range(120))
def test_two_racing_operators_give_one_winner(make_side, seed):
    """Guards against two racing writes that both succeed or both fail.

    Delays per call differ by seed, so the reads and writes of the two come
    in every order; some answers are lost as well.
    """

    async def session():
        rng = random.Random(seed)
        store = MemoryStore()
        sides = [
            make_side(store, seed=seed * 2 + index, clock=VirtualClock())
            for index in range(2)
        ]
        for side in sides:
            side.platform.faults.delay_s = rng.choice((0, 1, 2, 3))
            side.platform.faults.lost_answers = rng.choice((0, 0, 1))
        wishes = [_wish('west', 'ann', 0), _wish('north', 'ben', 0)]
        results = await asyncio.gather(
            *(
                _declare_later(side, wish, rng.uniform(0, 3))
                for side, wish in zip(sides, wishes, strict=True)
            ),
            return_exceptions=True,
        )
        return store.by_key[_KEY], results

    stored, results = run_virtual(session)
    envelope = parse_envelope(stored.body)
    lost = [found for found in results if isinstance(found, VersionConflict)]
    won = [found for found in results if not isinstance(found, Exception)]
    assert won == [envelope]
    assert [loser.present for loser in lost] == [envelope]
    assert stored.version == 1


async def _declare_later(side, wish, delay_s):
    await asyncio.sleep(delay_s)
    return await side.declarer.declare(wish)


def test_a_conflict_names_the_other_writer(make_side):
    """Guards against a conflict that does not show the other write."""

    async def session():
        store = MemoryStore()
        await make_side(store).declarer.declare(_wish('west', 'ben', 0))
        await make_side(store, 2).declarer.declare(_wish('north', 'ann', 0))

    with pytest.raises(VersionConflict) as caught:
        run_virtual(session)
    assert caught.value.present.author == 'ben'
    assert caught.value.present.reason == 'why'
    assert 'generation 1 written by ben' in str(caught.value)


@pytest.mark.parametrize(
    ('body', 'generation'),
    [
        (b'', 1),
        (b'{}', 1),
        (b'[1]', 1),
        (b'\xff', 1),
        (b'{"generation": 7}', 8),
        (b'{"generation": "x"}', 1),
        (b'{"generation": 1e30}', 1),
        (b'{"generation": 99999999999999999999}', 1),
    ],
)
def test_a_write_repairs_an_unreadable_object(make_side, body, generation):
    """Guards against a damaged object that no operator can replace."""

    async def session():
        side = make_side()
        await side.platform.write(_KEY, body, None, 'bypass')
        envelope = await side.declarer.declare(_wish('west', generation=0))
        return envelope, side.store.by_key[_KEY]

    envelope, stored = run_virtual(session)
    assert parse_envelope(stored.body) == envelope
    assert envelope.generation == generation


def test_a_write_continues_from_the_generation_in_force(make_side, declare):
    """Guards against a restored older store that blocks new writes."""

    async def session():
        side = make_side()
        side.table.merge([declare('drain', 'd', {'region': 'east'}, 5)])
        old = write_envelope(declare('drain', 'd', {'region': 'west'}, 2))
        await side.platform.write(_KEY, old, None, 'bypass')
        return await side.declarer.declare(_wish('north', generation=5))

    assert run_virtual(session).generation == 6


def test_delete_and_create_continue_the_count(make_side):
    """Guards against a re-created object that loses to a stale copy."""

    async def session():
        declarer = make_side().declarer
        await declarer.declare(_wish('west'))
        await declarer.declare(_wish(None, generation=1))
        with pytest.raises(ObjectError) as caught:
            await declarer.declare(_wish(None))
        assert caught.value.kind == ErrorKind.NOT_FOUND
        return await declarer.declare(_wish('west', generation=0))

    assert run_virtual(session).generation == 3


@pytest.mark.parametrize(
    ('kind', 'name', 'spec'),
    [
        ('drian', 'd', {}),
        ('drain', 'a b', {'region': 'west'}),
        ('drain', 'd', {'region': 'west', 'entry': 'e'}),
        (
            'shift',
            's',
            {
                'service': 'x',
                'from_region': 'w',
                'to_region': 'w',
                'share': 1,
                'cap': 1,
            },
        ),
        ('service', 'x', {'latency_weight': 0.9}),
    ],
)
def test_a_faulty_declaration_stores_nothing(make_side, kind, name, spec):
    """Guards against a fault that is found after the write."""

    async def session():
        side = make_side()
        with pytest.raises(InvalidObject):
            await side.declarer.declare(Declaration(kind, name, spec, 'ann'))
        return side.store.call_counts, list(side.table.iter_all())

    assert run_virtual(session) == ({}, [])


def test_an_outcome_that_stays_unknown_is_reported(make_side):
    """Guards against a lost write that is reported as done or not done."""

    async def session():
        side = make_side()
        side.platform.faults.delay_s = 2
        declaring = asyncio.create_task(side.declarer.declare(_wish('west')))
        await asyncio.sleep(3.5)
        side.store.faults.is_down = True
        with pytest.raises(PlatformError) as caught:
            await declaring
        return caught.value, list(side.table.iter_all())

    error, in_force = run_virtual(session)
    assert isinstance(error, PlatformAnswerLost)
    assert not in_force
