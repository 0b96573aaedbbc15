"""Tests of the bounds of the operators' listener."""

import asyncio
import contextlib

import pytest
from tornado.web import Application, RequestHandler

from nutmegshore.counters import Counters
from nutmegshore.operators.listener import OperatorServer

_BODY_BYTES = 900_000
_MOST_CONNECTIONS = 4


class _Echo(RequestHandler):
    ran = 0

    def put(self):
        _Echo.ran += 1
        self.finish(str(len(self.request.body)))


@contextlib.asynccontextmanager
async def _serve():
    _Echo.ran = 0
    server = OperatorServer(
        Application([('/', _Echo)], log_function=lambda _: None),
        counters=Counters(),
        max_connections=_MOST_CONNECTIONS,
        max_body_size=2_000_000,
    )
    server.listen(0, '127.0.0.1')
    listening = next(iter(server._sockets.values()))
    try:
        yield server, listening.getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()


async def _open(port, length, body=b''):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = f'PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n'
    writer.write(head.encode() + body)
    await writer.drain()
    return reader, writer


async def _read_answer(reader):
    async with asyncio.timeout(10):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = int(head.lower().partition('content-length: ')[2].split()[0])
        return head, await reader.readexactly(length)


def test_a_body_without_room_is_refused_before_it_runs():
    """Guards against bodies that add up beyond the memory, and against a
    refusal of a request that runs all the same."""

    async def session():
        async with _serve() as (server, port):
            server.budget.hold().add(int(server.budget.limit))
            reader, writer = await _open(port, _BODY_BYTES, bytes(_BODY_BYTES))
            head, body = await _read_answer(reader)
            assert head.startswith('HTTP/1.1 503 ')
            assert 'Retry-After: 1\r\n' in head
            assert 'Nutmegshore-Outcome: not-run\r\n' in head
            assert b'caller_limit' in body
            assert 'Connection: close\r\n' in head
            assert _Echo.ran == 0
            writer.close()

    asyncio.run(session())


def test_what_a_body_held_is_given_back():
    """Guards against a budget that shrinks with each request, or with each
    client that leaves within one."""

    async def session():
        async with _serve() as (server, port):
            for sent in (_BODY_BYTES, _BODY_BYTES - 1):
                reader, writer = await _open(port, _BODY_BYTES, bytes(sent))
                if sent == _BODY_BYTES:
                    assert (await _read_answer(reader))[1] == b'900000'
                writer.close()
                await writer.wait_closed()
            async with asyncio.timeout(10):
                while server.budget.used:
                    await asyncio.sleep(0.01)

    asyncio.run(session())


@pytest.mark.parametrize('length', [2, _BODY_BYTES])
def test_the_longest_waiting_connection_makes_way(length):
    """Guards against clients that take all places and send nothing more."""

    async def session():
        async with _serve() as (_, port):
            waiting = []
            for _ in range(_MOST_CONNECTIONS * 3):
                waiting.append(await _open(port, length))
                await asyncio.sleep(0.01)
            reader, writer = await _open(port, 2, b'ok')
            assert (await _read_answer(reader))[1] == b'2'
            first_reader, _ = waiting[0]
            async with asyncio.timeout(10):
                assert not await first_reader.read()
            for _, kept in (*waiting, (reader, writer)):
                kept.close()

    asyncio.run(session())
