"""Tests of calls to a store that nobody waits for any more (issue 61)."""

import asyncio
import contextlib

import attrs
import pytest

from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformAnswerLost, PlatformUnavailable
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import HttpPlatform
from nutmegshore.store.calls import CallTimes

_CALL_S = 0.5
#: More watches than either client has places.
_WATCHES = 80
_NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


@attrs.define
class SilentStore:
    """Reads calls, and answers 404 unless it is silent.

    A connection on which a call met a silence returns nothing further. Watches
    are never answered. `open_count` is the number of open connections.
    """

    is_silent: bool = False
    open_count: int = 0
    called_at: list = attrs.field(factory=list)
    port: int = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.open_count += 1
        is_lost = False
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.called_at.append(asyncio.get_running_loop().time())
                is_lost = is_lost or self.is_silent
                if not (is_lost or b'atch' in head.split(b'\r\n')[0]):
                    writer.write(_NOT_FOUND)
        self.open_count -= 1
        writer.close()


def _make_store(port, counters):
    times = CallTimes(_CALL_S, _CALL_S)
    return PlatformStore(f'127.0.0.1:{port}', times, counters)


def _make_platform(port, counters):
    url = f'http://127.0.0.1:{port}'
    return HttpPlatform(url, _CALL_S, counters=counters)


@pytest.fixture(params=[_make_store, _make_platform])
def session(request):
    """Function that runs a session with a silent store and a client of it."""

    def run(work):
        async def main():
            store = SilentStore()
            await store.start()
            counters = Counters()
            client = request.param(store.port, counters)
            with contextlib.closing(client):
                return await work(store, client, counters)

        return asyncio.run(asyncio.wait_for(main(), 30))

    return run


def _start_watches(client, count=_WATCHES):
    return [
        asyncio.ensure_future(client.watch('servers/', number))
        for number in range(count)
    ]


async def _cancel(tasks):
    for task in tasks:
        task.cancel()
    return await asyncio.gather(*tasks, return_exceptions=True)


def test_cancelled_watches_free_their_places(session):
    """Guards against DRAIN: each change that a peer told of began a watch anew,
    and those that were cancelled in a silence of the store kept all places for
    half a minute, so that the store was not called at all."""

    async def work(store, client, counters):
        store.is_silent = True
        for _ in range(_WATCHES):
            watch = _start_watches(client, 1)
            await asyncio.sleep(0.005)
            await _cancel(watch)
        store.is_silent = False
        called = len(store.called_at)
        async with asyncio.timeout(_CALL_S):
            assert await client.read('servers/i-1') is None
        return len(store.called_at) - called

    assert session(work) == 1


def test_a_cancelled_call_closes_its_connection(session):
    """Guards against calls that go on without anybody who waits for them."""

    async def work(store, client, counters):
        store.is_silent = True
        tasks = _start_watches(client, 4)
        tasks.append(asyncio.ensure_future(client.read('servers/i-1')))
        await asyncio.sleep(0.1)
        opened = store.open_count
        await _cancel(tasks)
        await asyncio.sleep(0.1)
        assert not counters.total('upstream_connections')
        assert counters.total('store_connections', event='opened') == 5
        cancelled = counters.total('store_calls', end='cancelled')
        return opened, store.open_count, cancelled

    assert session(work) == (5, 0, 5)


def test_watches_keep_no_other_call_out(session):
    """Guards against listings and renewals that wait behind watches."""

    async def work(store, client, counters):
        tasks = _start_watches(client)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(_CALL_S):
            assert await client.read('servers/i-1') is None
        await _cancel(tasks)

    session(work)


def test_no_call_waits_for_a_place_without_a_bound(session):
    """Guards against calls that wait in a queue for as long as others take."""

    async def work(store, client, counters):
        store.is_silent = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reads = [client.read('servers/i-1') for _ in range(_WATCHES)]
        watches = _start_watches(client)
        found = await asyncio.gather(*reads, return_exceptions=True)
        took_s = loop.time() - started_at
        running = sum(not task.done() for task in watches)
        await _cancel(watches)
        return found, took_s, running

    found, took_s, running = session(work)
    assert {type(one) for one in found} == {PlatformUnavailable}
    assert took_s < 2 * _CALL_S
    assert 0 < running < _WATCHES


def test_a_write_without_a_place_was_not_applied(session):
    """Guards against an outcome that is said to be unknown though nothing was
    sent, and against the opposite."""

    async def work(store, client, counters):
        store.is_silent = True
        writes = [
            client.write(f'gateways/{number}', b'1', None, 'op')
            for number in range(_WATCHES)
        ]
        return await asyncio.gather(*writes, return_exceptions=True)

    found = session(work)
    kinds = [type(one) for one in found]
    assert set(kinds) == {PlatformAnswerLost, PlatformUnavailable}


def test_waiting_calls_are_shown(session):
    """Guards against a queue that no metric shows."""

    async def work(store, client, counters):
        tasks = _start_watches(client)
        await asyncio.sleep(0.1)
        shown = _gauges(counters)
        await _cancel(tasks)
        return shown, _gauges(counters)

    (running, waiting), ended = session(work)
    assert running + waiting == _WATCHES
    assert min(running, waiting) > 0
    assert ended == (0, 0)


def _gauges(counters):
    labels = (('kind', 'watch'),)
    return tuple(
        counters.gauges[f'store_calls_{state}', labels]
        for state in ('running', 'waiting')
    )
