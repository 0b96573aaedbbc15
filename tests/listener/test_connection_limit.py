"""Tests of the limit on callers' connections, on real sockets."""

import asyncio
import contextlib

import pytest

from nutmegshore.counters import Counters
from nutmegshore.listener import (
    CallerServer,
    ListenerContext,
    ListenerLimits,
    Responder,
)

_PATIENCE_S = 20
_GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class _Drop(Responder):
    """Reads each body and answers."""

    async def run(self):
        async for _ in self.body.chunks():
            await asyncio.sleep(0)
        await self.writer.write_own(200, (), b'hello')

    async def refuse(self, error):
        await self.writer.write_error(error)


@pytest.fixture
def run_with_server():
    """Function that runs a session beside a server of two connections."""

    def run(session, limits=None):
        counters = Counters()

        async def whole():
            context = ListenerContext(
                _Drop,
                counters,
                limits=limits or ListenerLimits(),
                max_connections=2,
            )
            server = CallerServer(context)
            port = server.open(0, '127.0.0.1')
            async with asyncio.timeout(_PATIENCE_S):
                await session(port, server)
            server.stop()
            await server.close_all_connections()

        asyncio.run(whole())
        return counters

    return run


async def _connect(port, sent=b''):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    return reader, writer


async def _get(port):
    reader, writer = await _connect(port, _GET)
    answer = await reader.readuntil(b'hello')
    writer.close()
    return answer


async def _until_open(server, count):
    while server.connection_count != count:
        await asyncio.sleep(0.01)


def test_the_longest_idle_connection_makes_way(run_with_server):
    """Guards against connections without a request that keep others out."""

    async def session(port, server):
        first, _ = await _connect(port)
        await _until_open(server, 1)
        kept, writer = await _connect(port)
        await _until_open(server, 2)
        assert b'200 OK' in await _get(port)
        assert not await first.read()
        writer.write(_GET)
        await kept.readuntil(b'hello')

    counters = run_with_server(session)
    assert counters.total('caller_connections_closed', reason='idle') == 1


def test_a_stalled_request_makes_way_where_none_is_idle(run_with_server):
    """Guards against half requests that keep others out."""

    async def session(port, server):
        crowd = [await _connect(port, _GET[:9]) for _ in range(2)]
        await _until_open(server, 2)
        answer = b''
        while not answer:
            with contextlib.suppress(OSError, EOFError):
                answer = await _get(port)
        assert b'200 OK' in answer
        for _, writer in crowd:
            writer.close()

    counters = run_with_server(session)
    assert counters.total('caller_connections_closed', reason='stalled') >= 1
    assert counters.total('caller_connections_closed', reason='refused') >= 1


def test_what_is_read_after_a_refusal_is_bounded(run_with_server):
    """Guards against reading what a caller sends on after a refusal."""
    limits = ListenerLimits(body_bytes=10, linger_bytes=100_000, linger_s=15)

    async def session(port, server):
        head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n'
        _, writer = await _connect(port, head)
        with pytest.raises(OSError, match='reset|closed|pipe'):
            while True:
                writer.write(bytes(65_536))
                await writer.drain()

    run_with_server(session, limits)
