"""HTTP listener for callers."""

import asyncio
import contextlib
import socket
import ssl

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from nutmegshore.listener.connection import CallerConnection
from nutmegshore.listener.context import ListenerContext

__all__ = ('CallerServer',)

#: Bytes that tornado may hold of what a caller sent, per connection.
_MAX_BUFFER_BYTES = 262_144
_READ_BYTES = 65_536
_STOP_CHECK_S = 0.05


class CallerServer(TCPServer):
    """Accepts callers' connections.

    server = CallerServer(context)
    server.open(8080, '127.0.0.1')
    ...
    await server.finish()

    `finish` cuts no request; `close_all_connections` does. `idle_closed` is the
    number of connections that `finish` closed because they were idle.
    """

    def __init__(
        self,
        listener_context: ListenerContext,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Wait for `open`; with a context, connections use TLS."""
        super().__init__(
            ssl_options=context,
            max_buffer_size=_MAX_BUFFER_BYTES,
            read_chunk_size=_READ_BYTES,
        )
        self._listener_context = listener_context
        self.idle_closed = 0
        self._is_leaving = False
        self._listening: list[socket.socket] = []
        self._tasks: dict[asyncio.Task, CallerConnection] = {}

    @property
    def connection_count(self) -> int:
        """Connections that are open now."""
        return len(self._tasks)

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports that the listener accepts connections on."""
        return tuple(one.getsockname()[1] for one in self._listening)

    def open(self, port: int, address: str) -> int:
        """Listen; port 0 takes a free one. Returns the port."""
        self._listening = bind_sockets(port, address)
        self.add_sockets(self._listening)
        return self.ports[0]

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve one connection in the task that runs this method."""
        connection = CallerConnection(stream, self._listener_context)
        connection.is_leaving = self._is_leaving
        task = asyncio.current_task()
        self._tasks[task] = connection
        with contextlib.ExitStack() as stack:
            stack.callback(self._tasks.pop, task)
            stack.callback(stream.close)
            stream.set_nodelay(True)
            await connection.run()

    def leave(self) -> None:
        """Answer every request from now on with `Connection: close`."""
        self._is_leaving = True
        for connection in self._tasks.values():
            connection.leave()

    def stop(self) -> None:
        """Accept what the kernel holds, then close the listening sockets.

        The kernel resets connections that nobody accepted, and a caller may
        have sent its request on one already.
        """
        for listener in self._listening:
            self._accept_waiting(listener)
        self._listening = []
        super().stop()

    async def finish(self) -> None:
        """Stop accepting, and wait until every request has its answer."""
        self.stop()
        # Connections accepted a moment ago get a turn to show a request.
        await asyncio.sleep(0)
        while self._tasks:
            for connection in tuple(self._tasks.values()):
                self.idle_closed += connection.close_when_idle()
            await asyncio.wait(tuple(self._tasks), timeout=_STOP_CHECK_S)

    async def close_all_connections(self) -> None:
        """Cancel all requests and close their connections."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept_waiting(self, listener: socket.socket) -> None:
        # A listener that has no connection left raises BlockingIOError.
        with contextlib.suppress(OSError):
            for accepted, address in iter(listener.accept, None):
                self._handle_connection(accepted, address)
