"""Tests of restores of the stand-in store, on virtual time."""

import asyncio
import json

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.platform.standin import StandinStore, make_store_application
from nutmegshore.platform.standin_calls import StandinCalls
from nutmegshore.store.calls import CallFailed, StoreCall


class Caller:
    """Calls a stand-in with plain requests."""

    def __init__(self, store):
        self._calls = StandinCalls(make_store_application(store))

    async def get(self, path):
        """Answer to a read, whatever its status."""
        return await self._calls.send(StoreCall('GET', f'/objects/{path}'))

    async def names(self, kind):
        """Names in a listing."""
        listed = json.loads((await self.get(kind)).body)['items']
        return [one['Metadata']['Name'] for one in listed]


def _era(answer):
    return answer.head.fields.get('store-era')


@pytest.fixture
def restored():
    """Store that lost `i-2` and the removal of `i-0`, and its caller."""
    store = StandinStore()
    store.put('servers', 'i-0', {})
    store.put('servers', 'i-1', {})
    kept = store.copy()
    store.delete('servers', 'i-0')
    store.put('servers', 'i-2', {})
    store.restore(kept)
    return store, Caller(store)


def test_a_restore_returns_to_the_copy(restored):
    """Guards against a stand-in that keeps what a restored store loses."""
    store, caller = restored
    assert run_virtual(lambda: caller.names('servers')) == ['i-0', 'i-1']
    assert store.era == 2
    assert store.put('servers', 'i-3', {})['Metadata']['Revision'] == 7


def test_every_answer_names_the_era(restored):
    """Guards against a stand-in that names its era in some answers only."""
    store, caller = restored
    store.put('servers', 'i-4', {})

    async def session():
        store.compact()
        answers = [
            await caller.get(path)
            for path in (
                'servers',
                'servers/i-1',
                'servers/none',
                'servers?Watch=5&WaitMs=10',
            )
        ]
        store.faults.status = 503
        answers.append(await caller.get('servers'))
        assert [one.head.status for one in answers] == [200, 200, 404, 410, 503]
        assert {_era(one) for one in answers} == {'2'}

    run_virtual(session)


@pytest.mark.parametrize(('text', 'sent'), [('', None), ('x', 'x')])
def test_an_era_can_be_left_out_or_malformed(restored, text, sent):
    """Guards against tests of odd eras that send good ones."""
    store, caller = restored
    store.faults.era_text = text
    assert _era(run_virtual(lambda: caller.get('servers'))) == sent


def test_a_watch_from_a_lost_revision_finds_no_history(restored):
    """Guards against a stand-in that waits for a revision that it lost."""
    _, caller = restored
    answer = run_virtual(lambda: caller.get('servers?Watch=8&WaitMs=100'))
    assert answer.head.status == 410


@pytest.mark.parametrize('hangs_watches', [False, True])
def test_a_waiting_watch_gets_no_answer(hangs_watches):
    """Guards against a watch that sees a restore as a usual change."""

    async def session():
        store = StandinStore()
        caller = Caller(store)
        position = store.revision
        watch = asyncio.ensure_future(
            caller.get(f'servers?Watch={position}&WaitMs=1000'),
        )
        await asyncio.sleep(0.1)
        store.restore(store.copy(), hangs_watches=hangs_watches)
        await asyncio.sleep(0.1)
        assert watch.done() is not hangs_watches
        with pytest.raises(CallFailed):
            await watch

    run_virtual(session)


def test_an_outdated_listing_shows_the_lost_objects(restored):
    """Guards against tests of late answers that get present ones."""
    store, caller = restored
    store.faults.outdated_listings = 1

    async def session():
        outdated = await caller.get('servers')
        assert _era(outdated) == '1'
        assert json.loads(outdated.body)['StoreRevision'] == 8
        assert _era(await caller.get('servers')) == '2'

    run_virtual(session)
