"""An upstream that answers before it has read the body of a request."""

import asyncio
import contextlib
import socket
import struct

#: Size of the pieces of a body.
PIECE = b'b' * 65_536
FIELDS = b'Request-Id: r1\r\nServer-Stamp: s\r\n'
#: Part of an answer that the close of the connection ends.
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\npart' % FIELDS
_NARROW_BYTES = 8192


async def reset(loop, connection):
    """Reset the connection."""
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def close(loop, connection):
    """Close before the body was read, which resets the connection as well."""


async def half_close(loop, connection):
    """End the answer, and reset the connection a moment later."""
    connection.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    await reset(loop, connection)


async def half_close_and_read(loop, connection):
    """End the answer, and read what comes."""
    connection.shutdown(socket.SHUT_WR)
    while await loop.sock_recv(connection, len(PIECE)):
        """Drop the body."""


async def sleep_and_reset(loop, connection):
    """Let libcurl read the part of the answer, then reset."""
    await asyncio.sleep(0.05)
    await reset(loop, connection)


async def read_on(loop, connection):
    """Read later what the head was followed by, up to the close."""
    await asyncio.sleep(0.05)
    received = bytearray()
    piece = b'-'
    while piece:
        piece = await loop.sock_recv(connection, len(PIECE))
        received += piece
    return bytes(received)


class EarlyUpstream:
    """Answers as soon as it has read a head, then goes on as `end` says.

    `received` is what `end` read behind the head.
    """

    def __init__(self, answer, end):
        self.received = None
        self._answer = answer
        self._end = end
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _NARROW_BYTES
        )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]

    async def run(self):
        loop = asyncio.get_running_loop()
        with contextlib.closing(self._listener):
            connection, _ = await loop.sock_accept(self._listener)
        with contextlib.closing(connection):
            connection.setblocking(False)
            await self._serve(loop, connection)

    async def _serve(self, loop, connection):
        head = bytearray()
        while b'\r\n\r\n' not in head:
            head += await loop.sock_recv(connection, 1)
        await loop.sock_sendall(connection, self._answer)
        self.received = await self._end(loop, connection)
