"""Tests of the store client against the stand-in."""

import asyncio
import contextlib

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from nutmegshore.errors import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.platform.standin import (
    StandinStore,
    StoreFaults,
    make_store_application,
)
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import Expected


def test_a_listing_spans_pages(serve_store):
    """Guards against losing objects between two pages of a listing."""

    async def session():
        async with serve_store() as (store, client):
            for number in range(1203):
                store.put('servers', str(1000 + number), {'n': number})
            listing = await client.read_listing('servers/')
            assert len({entry.key for entry in listing.listed}) == 1203
            assert listing.position == store.revision
            assert store.calls == 3

    asyncio.run(session())


def test_a_watch_delivers_changes_and_removals(serve_store):
    """Guards against reading a removal as a change."""

    async def session():
        async with serve_store() as (store, client):
            store.put('servers', 'i-1', {})
            before = store.revision
            store.put('servers', 'i-2', {})
            store.put('config', 'main', {})
            store.delete('servers', 'i-1')
            found = await client.watch('servers/', before)
            changed = [
                (entry.key, entry.stored is None) for entry in found.changes
            ]
            assert changed == [('servers/i-2', False), ('servers/i-1', True)]
            assert found.position == store.revision

    asyncio.run(session())


def test_a_watch_without_changes_returns(serve_store):
    """Guards against a watch that waits past its timeout for a change."""

    async def session():
        async with serve_store() as (store, client):
            found = await client.watch('servers/', store.revision, 0.2)
            assert found.changes == ()

    asyncio.run(session())


def test_lost_history_raises(serve_store):
    """Guards against continuing a watch from a compacted position."""

    async def session():
        async with serve_store() as (store, client):
            before = store.revision
            store.put('servers', 'i-1', {})
            store.compact()
            with pytest.raises(HistoryLost):
                await client.watch('servers/', before)

    asyncio.run(session())


@pytest.mark.parametrize('status', [429, 500, 503])
def test_a_refused_read_raises(serve_store, status):
    """Guards against parsing an error page as an empty listing."""

    async def session():
        async with serve_store() as (store, client):
            store.faults.status = status
            with pytest.raises(PlatformUnavailable):
                await client.read_listing('servers/')

    asyncio.run(session())


def test_a_repeated_operation_recovers_a_lost_answer(serve_store):
    """Guards against reporting a conflict with the client's own earlier
    write, whose answer was lost."""

    async def session():
        async with serve_store() as (store, client):
            store.faults.lost_answers = 1
            with pytest.raises(PlatformAnswerLost):
                await client.write('gateways/g1', b'{"a":1}', None, 'op-1')
            again = await client.write('gateways/g1', b'{"a":1}', None, 'op-1')
            assert again.operation == 'op-1'
            with pytest.raises(VersionConflict) as conflict:
                await client.write('gateways/g1', b'{"a":2}', None, 'op-2')
            assert conflict.value.present.body == b'{"a": 1}'

    asyncio.run(session())


def test_a_write_at_an_old_revision_conflicts(serve_store):
    """Guards against removing an object that another instance changed."""

    async def session():
        async with serve_store() as (store, client):
            first = await client.write('gateways/g1', b'1', None, 'op-1')
            await client.write('gateways/g1', b'2', Expected.of(first), 'op-2')
            with pytest.raises(VersionConflict):
                await client.remove('gateways/g1', Expected.of(first))
            assert (await client.read('gateways/g1')).body == b'2'

    asyncio.run(session())


def test_a_removal_spares_an_object_of_another_era(serve_store):
    """Guards against a removal that takes an object which got the revision of
    a lost one."""

    async def session():
        async with serve_store() as (store, client):
            kept = store.copy()
            lost = await client.write('gateways/g1', b'1', None, 'op-1')
            store.restore(kept)
            store.put('gateways', 'g1', {'operation': 'op-2', 'body': 2})
            with pytest.raises(VersionConflict) as conflict:
                await client.remove('gateways/g1', Expected.of(lost))
            present = conflict.value.present
            assert (present.version, present.body) == (lost.version, b'2')
            assert store.get('gateways', 'g1')

    asyncio.run(session())


def test_a_removal_takes_an_object_that_is_as_expected(serve_store):
    """Guards against an era that differs between a write and a listing."""

    async def session():
        async with serve_store() as (store, client):
            store.restore(store.copy())
            await client.write('gateways/g1', b'1', None, 'op-1')
            written = await client.write('gateways/g2', b'1', None, 'op-2')
            listed = await client.iter_objects('gateways/')
            await client.remove('gateways/g1', Expected.of(listed[0]))
            await client.remove('gateways/g2', Expected.of(written))
            assert await client.iter_objects('gateways/') == []

    asyncio.run(session())


def test_an_unanswered_write_can_apply_later(serve_store):
    """Guards against treating an unanswered write as not applied."""

    async def session():
        async with serve_store() as (store, client):
            first = await client.write('gateways/g1', b'1', None, 'op-1')
            store.faults.late_s = 0.2
            with pytest.raises(PlatformAnswerLost):
                await client.write(
                    'gateways/g1',
                    b'2',
                    Expected.of(first),
                    'op-2',
                )
            assert (await client.read('gateways/g1')).body == b'1'
            await asyncio.sleep(0.3)
            assert (await client.read('gateways/g1')).operation == 'op-2'

    asyncio.run(session())


def test_faults_apply_to_one_application_only():
    """Guards against a stand-in that refuses all clients or none."""

    async def session():
        store = StandinStore()
        refused = StoreFaults(status=503)
        async with contextlib.AsyncExitStack() as stack:
            clients = []
            for faults in (None, refused):
                listening, port = bind_unused_port()
                server = HTTPServer(make_store_application(store, faults))
                server.add_socket(listening)
                stack.push_async_callback(server.close_all_connections)
                stack.callback(server.stop)
                clients.append(PlatformStore(f'127.0.0.1:{port}'))
            served_client, refused_client = clients
            assert (await served_client.read_listing('servers/')).listed == ()
            with pytest.raises(PlatformUnavailable):
                await refused_client.read_listing('servers/')

    asyncio.run(session())


def test_an_object_with_finalizers_is_only_marked():
    """Guards against a stand-in that ignores finalizers."""

    async def session():
        store = StandinStore()
        stored = store.put('servers', 'i-1', {})
        stored['Metadata']['Finalizers'] = ['drain']
        store.mark_deleting('servers', 'i-1')
        assert store.get('servers', 'i-1')['Metadata']['Deleting']

    asyncio.run(session())


def test_stale_reads_return_the_snapshot():
    """Guards against a stand-in whose stale reads see new objects."""

    async def session():
        store = StandinStore()
        store.put('servers', 'i-1', {})
        store.snapshot_stale()
        store.put('servers', 'i-2', {})
        stale, _ = store.page('servers', '', is_stale=True)
        fresh, _ = store.page('servers', '', is_stale=False)
        assert (len(stale), len(fresh)) == (1, 2)

    asyncio.run(session())


def test_an_unreachable_store_is_unavailable():
    """Guards against an unknown outcome for a write that was not sent."""

    async def session():
        client = PlatformStore('127.0.0.1:1')
        with pytest.raises(PlatformUnavailable):
            await client.write('gateways/g1', b'1', None, 'op-1')
        client.close()

    asyncio.run(session())
