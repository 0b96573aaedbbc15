"""Links over TCP, with TLS where a context is given."""

import asyncio
import socket
import ssl
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.codec import MAX_FRAME_BYTES
from nutmegshore.peers.link import (
    HELLO_BYTES,
    Accept,
    Link,
    Transport,
)
from nutmegshore.peers.stream import READ_BYTES, MessageReader

__all__ = ('TcpLink', 'TcpTransport')


#: Bytes that are written to a stream at once.
_WRITE_BYTES = 65_536
#: Unsent bytes that the kernel takes; what else waits can still be replaced.
_UNSENT_BYTES = 65_536


class TcpLink(Link):
    """A link on one TCP connection."""

    def __init__(self, stream: IOStream) -> None:
        """Wrap a connected stream."""
        super().__init__()
        stream.set_nodelay(True)
        _limit_unsent(stream.socket)
        self._stream = stream
        self._reader = MessageReader()

    def write_queue(self) -> None:
        """Write queued messages while the stream holds no earlier ones."""
        while self.queue and not self._stream.writing():
            try:
                written = self._stream.write(self._next_bytes())
            except StreamClosedError:
                self.close()
                return
            if self._stream.writing():
                written.add_done_callback(self._go_on)

    def abort(self) -> None:
        """Close the stream at once; what is queued is lost."""
        self.is_closed = True
        self.close_reason = ErrorKind.LINK_CLOSED
        self._stream.close()

    async def read(self) -> Any:
        """Next message; None for an unknown type, `LinkError` at the end."""
        while not self._reader.has_message:
            self._reader.feed(await self._receive(), self._limit)
        return self._reader.pop(self._limit)

    def close(self, reason: ErrorKind | None = None) -> None:
        """Close the stream after the queued frames; idempotent."""
        if self.is_closed:
            return
        self.is_closed = True
        self.close_reason = reason
        if self._stream.writing():
            asyncio.ensure_future(self._write_rest()).add_done_callback(
                self._close_stream,
            )
        else:
            self._stream.close()

    @property
    def _limit(self) -> int:
        return MAX_FRAME_BYTES if self.is_proven else HELLO_BYTES

    async def _receive(self) -> bytes:
        try:
            return await self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as failure:
            raise LinkError(ErrorKind.LINK_CLOSED) from failure

    def _next_bytes(self) -> bytes:
        """Remove queued messages that are written together."""
        frames = []
        size = 0
        while self.queue and size < _WRITE_BYTES:
            frames.append(self.pop_frame())
            size += len(frames[-1])
        return b''.join(frames)

    def _go_on(self, written: asyncio.Future) -> None:
        if not self.is_closed:
            self.write_queue()

    async def _write_rest(self) -> None:
        while self.queue:
            self._stream.write(self._next_bytes())
        await self._stream.write(b'')

    def _close_stream(self, written: asyncio.Future) -> None:
        written.exception()
        self._stream.close()


def _limit_unsent(connection: socket.socket) -> None:
    """Limit what the kernel queues, on systems that can."""
    option = getattr(socket, 'TCP_NOTSENT_LOWAT', None)
    if option is not None:
        connection.setsockopt(socket.IPPROTO_TCP, option, _UNSENT_BYTES)


class _LinkServer(TCPServer):
    def __init__(self, accept: Accept, context: ssl.SSLContext | None) -> None:
        super().__init__(ssl_options=context)
        self._accept = accept

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Wrap an accepted connection in a link."""
        self._accept(TcpLink(stream))


class TcpTransport(Transport):
    """Listens on one address and opens TCP connections to others.

    `tls_server` and `tls_client` are contexts or None; `reload_tls`
    replaces them for new connections, without a restart.
    """

    def __init__(
        self,
        host: str,
        port: int,
        tls_server: ssl.SSLContext | None = None,
        tls_client: ssl.SSLContext | None = None,
    ) -> None:
        """Bind the listening socket; port 0 selects a free one."""
        self._sockets = bind_sockets(port, host)
        bound = self._sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        self._tls_server = tls_server
        self._tls_client = tls_client
        self._server: _LinkServer | None = None
        self._client = TCPClient()

    def listen(self, accept: Accept) -> None:
        """Call `accept` with each link that another member opens."""
        self._server = _LinkServer(accept, self._tls_server)
        self._server.add_sockets(self._sockets)

    def reload_tls(
        self,
        tls_server: ssl.SSLContext | None,
        tls_client: ssl.SSLContext | None,
    ) -> None:
        """Replace the contexts for new connections."""
        self._tls_server = tls_server
        self._tls_client = tls_client
        if self._server is not None:
            self._server.ssl_options = tls_server

    async def dial(self, address: str) -> Link:
        """Open a connection, or raise `LinkError`."""
        host, _, port = address.rpartition(':')
        try:
            stream = await self._client.connect(
                host,
                int(port),
                ssl_options=self._tls_client,
            )
        except (OSError, ValueError, StreamClosedError) as failure:
            raise LinkError(ErrorKind.LINK_CLOSED, address) from failure
        return TcpLink(stream)

    async def stop(self) -> None:
        """Accept no more links."""
        if self._server is not None:
            self._server.stop()
        self._client.close()
