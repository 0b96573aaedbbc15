"""Tests of the platform's HTTP client and stand-in over real sockets."""

import asyncio
import contextlib
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.store import (
    Expected,
    HttpPlatform,
    ListedInstance,
    MemoryStore,
    StoredObject,
    write_resolved,
)
from nutmegshore.store.standin import make_standin
from nutmegshore.store.wire import encode_stored


def _serve(application):
    sock, port = bind_unused_port()
    HTTPServer(application).add_socket(sock)
    return f'http://127.0.0.1:{port}'


class _StatusHandler(RequestHandler):
    def put(self, code, header):
        self.set_status(int(code))
        if header:
            self.set_header(header, '1')
        self.finish('not json')


def _run(session, **options):
    """Run a session with a store, an HTTP client and the stand-in's URL."""

    async def main():
        store = MemoryStore()
        url = _serve(make_standin(store))
        platform = HttpPlatform(url, **options)
        with contextlib.closing(platform):
            return await session(store, platform, url)

    return asyncio.run(main())


async def _call_standin(method, url, fields=None):
    response = await AsyncHTTPClient().fetch(
        url,
        method=method,
        body=None if fields is None else json.dumps(fields),
        raise_error=False,
    )
    return response.code, response.body


def test_objects_conflicts_and_instances_round_trip_over_http():
    """Guards against a client and a stand-in that encode differently."""

    async def session(store, platform, url):
        first = await platform.write('config/a b/ü', b'\xff', None, 'op1')
        assert await platform.read('config/a b/ü') == first
        assert await platform.read('none') is None
        for expected in (None, Expected(first.uid, 9), Expected('x', 1)):
            with pytest.raises(VersionConflict) as caught:
                await platform.write('config/a b/ü', b'', expected, 'op2')
            assert caught.value.present == first
        with pytest.raises(VersionConflict) as caught:
            await platform.remove('none', Expected('x', 1))
        assert caught.value.present is None
        await platform.remove(first.key, Expected.of(first))
        listed = ListedInstance('e1', '127.0.0.1', 'west', 'west-a')
        store.instances = [listed]
        return await platform.read_instances(), await platform.read(first.key)

    listed, present = _run(session)
    assert (listed[0].name, present) == ('e1', None)


def test_a_listing_of_many_pages_is_complete():
    """Guards against a client that reads only the first page."""

    async def session(store, platform, url):
        for number in range(1203):
            store.apply('config/{0:04}'.format(number), b'x', None, 'op')
        for number in range(6):
            store.apply(f'config/big{number}', b'x' * 999_000, None, 'op')
        store.apply('other', b'', None, 'op')
        listed = await platform.iter_objects('config/')
        changes = await platform.watch('config/', 0)
        rest = await platform.watch('config/', changes.position)
        seen = len(changes.changes) + len(rest.changes)
        return [stored.key for stored in listed], store, seen

    keys, store, seen = _run(session)
    assert keys == sorted(set(store.by_key) - {'other'})
    assert seen == len(keys)
    # Pages: 500; 500; 203 and 3 large objects; the other 3 large ones.
    assert store.call_counts['read'] == 4


def test_a_lost_answer_is_resolved_over_http():
    """Guards against treating a closed connection as a rejected write."""

    async def session(store, platform, url):
        await _call_standin('PUT', f'{url}/faults', {'lost_answers': 1})
        with pytest.raises(PlatformAnswerLost):
            await platform.write('k', b'', None, 'op1')
        await _call_standin('PUT', f'{url}/faults', {'lost_answers': 1})
        return await write_resolved(platform, 'm', b'', None, 'op2')

    assert _run(session).operation == 'op2'


def test_a_rejected_write_is_distinguished_from_an_unknown_outcome():
    """Guards against treating a 503 without Not-Applied as no effect."""
    codes = {
        (400, ''): PlatformUnavailable,
        (404, ''): PlatformUnavailable,
        (413, ''): PlatformUnavailable,
        (408, ''): PlatformAnswerLost,
        (500, ''): PlatformAnswerLost,
        (503, ''): PlatformAnswerLost,
        (503, 'Not-Applied'): PlatformUnavailable,
        (200, ''): PlatformAnswerLost,
        (412, ''): PlatformAnswerLost,
    }

    async def session(store, platform, url):
        url = _serve(Application([('/([0-9]+)/([^/]*)/.*', _StatusHandler)]))
        found = {}
        for code, header in codes:
            client = HttpPlatform(f'{url}/{code}/{header}')
            with pytest.raises(tuple(set(codes.values()))) as caught:
                await client.write('k', b'', None, 'op')
            found[code, header] = type(caught.value)
            client.close()
        return found

    assert _run(session) == codes


class _ConflictHandler(RequestHandler):
    def put(self, key):
        self.set_status(412)
        stored = StoredObject(key, b'x', 'uid', 1, 'op-mine')
        self.finish(json.dumps(encode_stored(stored)))


def test_a_conflict_with_the_same_operation_is_a_success():
    """Guards against a conflict between a write and its resend by libcurl."""

    async def session(store, platform, url):
        client = HttpPlatform(
            _serve(Application([('/objects/(.*)', _ConflictHandler)]))
        )
        with contextlib.closing(client):
            stored = await client.write('k', b'x', None, 'op-mine')
            with pytest.raises(VersionConflict):
                await client.write('k', b'x', None, 'op-other')
        return stored.operation

    assert _run(session) == 'op-mine'


def test_a_refused_connection_and_an_outage_are_unavailable():
    """Guards against reporting an outage as an unknown outcome."""

    async def session(store, platform, url):
        await _call_standin('PUT', f'{url}/faults', {'is_down': True})
        sock, port = bind_unused_port()
        sock.close()
        closed = HttpPlatform(f'http://127.0.0.1:{port}')
        for client in (platform, closed):
            with pytest.raises(PlatformUnavailable):
                await client.write('k', b'', None, 'op')
            with pytest.raises(PlatformUnavailable):
                await client.read('k')
        closed.close()
        return store.by_key

    assert not _run(session)


def test_a_slow_write_is_unknown_and_a_slow_read_unavailable():
    """Guards against a write that takes effect after a reported failure."""

    async def session(store, platform, url):
        await _call_standin('PUT', f'{url}/faults', {'delay_s': 0.3})
        with pytest.raises(PlatformUnavailable):
            await platform.read('k')
        with pytest.raises(PlatformAnswerLost):
            await platform.write('k', b'', None, 'op')
        await _call_standin('PUT', f'{url}/faults', {'delay_s': 0})
        changes = await platform.watch('k', 0)
        return changes.changes[0].stored.operation

    assert _run(session, call_timeout_s=0.1, watch_wait_s=1) == 'op'


def test_a_watch_times_out_and_counts_once():
    """Guards against watches that never return or count once per poll."""

    async def session(store, platform, url):
        store.apply('other', b'', None, 'op')
        nothing = await platform.watch('config/', 1)
        waiting = asyncio.create_task(platform.watch('config/', 1))
        while store.call_counts['watch'] < 2:
            await asyncio.sleep(0)
        store.apply('config/x', b'', None, 'op')
        found = await waiting
        _, counts = await _call_standin('GET', f'{url}/counts')
        return nothing, found, json.loads(counts)

    nothing, found, counts = _run(session, watch_wait_s=0.05)
    assert (nothing.position, nothing.changes) == (1, ())
    assert [change.key for change in found.changes] == ['config/x']
    assert counts == {'watch': 2}


def test_a_watch_beyond_the_end_of_the_log_returns_everything():
    """Guards against waiting for a position from before a store reset."""

    async def session(store, platform, url):
        store.apply('config/x', b'', None, 'op')
        return await platform.watch('config/', 500)

    found = _run(session)
    assert (found.position, len(found.changes)) == (1, 1)


def test_the_instance_list_lags():
    """Guards against a stand-in that ignores the injected list lag."""

    async def session(store, platform, url):
        listed = {
            'name': 'e1',
            'address': '127.0.0.1',
            'region': 'west',
            'availability_zone': 'west-a',
        }
        await _call_standin('PUT', f'{url}/faults', {'list_lag_s': 60})
        await _call_standin('PUT', f'{url}/instances', [listed])
        lagging = await platform.read_instances()
        await _call_standin('PUT', f'{url}/faults', {'list_lag_s': 0})
        return lagging, len(await platform.read_instances())

    assert _run(session) == ([], 1)


def test_the_standin_rejects_malformed_calls():
    """Guards against unconditional writes and unknown fault names."""

    async def session(store, platform, url):
        answers = [
            await _call_standin('PUT', f'{url}/objects/k', {}),
            await _call_standin('DELETE', f'{url}/objects/k'),
            await _call_standin('PUT', f'{url}/faults', {'is_slow': True}),
            await _call_standin('PUT', f'{url}/instances', [1]),
            await _call_standin('GET', f'{url}/watch?after=x'),
        ]
        with pytest.raises(PlatformUnavailable):
            await platform.write('k', b'x' * 1_000_001, None, 'op')
        return [code for code, _ in answers], store.by_key

    assert _run(session) == ([400, 400, 400, 400, 400], {})


def test_a_platform_behind_tls_is_called_over_tls():
    """Guards against calls in the clear to a URL that begins with https."""
    first_bytes = []

    async def serve(reader, writer):
        first_bytes.append(await reader.read(1))
        writer.close()

    async def session():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        platform = HttpPlatform(f'https://127.0.0.1:{port}/api/')
        with contextlib.closing(platform), pytest.raises(PlatformUnavailable):
            await platform.read('servers/i-1')

    asyncio.run(session())
    # The type of a TLS record with a handshake message.
    assert set(first_bytes) == {b'\x16'}


def test_a_platform_may_have_a_name():
    """Guards against a kept connection that is taken for another one, where a
    name has several addresses."""

    async def session(store, platform, url):
        port = url.rpartition(':')[-1]
        named = HttpPlatform(f'http://localhost:{port}')
        with contextlib.closing(named):
            return [await named.read('none') for _ in range(3)]

    assert _run(session) == [None, None, None]
