"""Links over TCP, with TLS where a context is given."""

import asyncio
import ssl
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.codec import MAX_FRAME_BYTES
from nutmegshore.peers.link import (
    HELLO_BYTES,
    SEND_QUEUE_BYTES,
    Accept,
    Link,
    Transport,
)
from nutmegshore.peers.stream import READ_BYTES, MessageReader

__all__ = ('TcpLink', 'TcpTransport')


class TcpLink(Link):
    """A link on one TCP connection."""

    def __init__(self, stream: IOStream) -> None:
        """Wrap a connected stream."""
        super().__init__()
        stream.max_write_buffer_size = SEND_QUEUE_BYTES
        stream.set_nodelay(True)
        self._stream = stream
        self._reader = MessageReader()

    def send_frame(self, frame: bytes) -> bool:
        """Queue an encoded message; a full queue closes the link."""
        if self.is_closed:
            return False
        try:
            self._stream.write(frame)
        except StreamBufferFullError:
            self._abort()
            return False
        except StreamClosedError:
            self.close()
            return False
        return True

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
            asyncio.ensure_future(self._stream.write(b'')).add_done_callback(
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

    def _abort(self) -> None:
        self.is_closed = True
        self.close_reason = ErrorKind.LINK_CLOSED
        self._stream.close()

    def _close_stream(self, written: asyncio.Future) -> None:
        written.exception()
        self._stream.close()


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
