"""Tests of a caller's connection on real sockets."""

import asyncio
import pathlib
import ssl
import time

from nutmegshore.counters import Counters
from nutmegshore.listener import (
    CallerServer,
    ListenerContext,
    ListenerLimits,
    Responder,
)

#: More than the buffers of a connection on loopback take.
_LONG_BYTES = 16_000_000
_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_IDLE_S = 1
_PATIENCE_S = 5
_TLS = pathlib.Path(__file__).parent.parent / 'operators' / 'tls'


class Greeter(Responder):
    """Answers each request at once."""

    async def run(self):
        await self.writer.write_own(200, (), b'hello')

    async def refuse(self, error):
        """Nothing is refused here."""


class Narrator(Greeter):
    """Answers with more than the connection takes at once."""

    async def run(self):
        await self.writer.write_own(200, (), bytes(_LONG_BYTES))


def test_a_request_that_arrives_as_the_idle_time_ends_is_answered():
    """Guards against LOST: the connection was closed without an answer if a
    request and the end of the idle time fell into one turn of the loop, for
    example because the process had been busy; the request had been read."""

    async def session():
        limits = ListenerLimits(idle_s=_IDLE_S)
        server = CallerServer(ListenerContext(Greeter, Counters(), limits))
        port = server.open(0, '127.0.0.1')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST)
        await reader.readuntil(b'hello')
        await asyncio.sleep(_IDLE_S / 10)
        writer.write(_REQUEST)
        # The process is busy past the end of the idle time.
        time.sleep(_IDLE_S)
        received = await asyncio.wait_for(reader.read(1000), _PATIENCE_S)
        writer.close()
        await server.close_all_connections()
        return received

    assert asyncio.run(session()).endswith(b'hello')


def test_a_stop_within_an_answer_leaves_the_next_request_its_answer():
    """Guards against LOST: an answer without `Connection: close` was being
    written as a stop began; the caller's next request on the connection was
    read and dropped."""

    async def session():
        server = CallerServer(ListenerContext(Narrator, Counters()))
        port = server.open(0, '127.0.0.1')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST)
        head = await reader.readuntil(b'\r\n\r\n')
        server.leave()
        await reader.readexactly(_LONG_BYTES)
        writer.write(_REQUEST)
        received = await asyncio.wait_for(reader.read(1000), _PATIENCE_S)
        writer.close()
        await server.close_all_connections()
        return head, received

    head, received = asyncio.run(session())
    assert b'Connection: close' in head or received.startswith(b'HTTP/1.1 200')


def test_a_stop_ends_beside_an_idle_connection_with_tls():
    """Guards against LOST: the look for bytes that wait raised on a TLS
    connection, so that the stop ended there and cut all requests."""

    async def session():
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(_TLS / 'server.pem', _TLS / 'server.key')
        listener = ListenerContext(Greeter, Counters())
        server = CallerServer(listener, context)
        port = server.open(0, '127.0.0.1')
        trusting = ssl.create_default_context(cafile=_TLS / 'ca.pem')
        trusting.check_hostname = False
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, ssl=trusting
        )
        writer.write(_REQUEST)
        await reader.readuntil(b'hello')
        async with asyncio.timeout(_PATIENCE_S):
            await server.finish()
        writer.close()

    asyncio.run(session())
