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
from nutmegshore.listener.eviction import choose_stalled, choose_victim
from nutmegshore.listener.reader import READ_BYTES

__all__ = ('CallerServer',)

#: Bytes that tornado may hold of what a caller sent, per connection.
_MAX_BUFFER_BYTES = 65_536
_STOP_CHECK_S = 0.05


class CallerServer(TCPServer):
    """Accepts callers' connections.

    server = CallerServer(context)
    server.open(8080, '127.0.0.1')
    ...
    await server.finish()

    `finish` cuts no request; `close_all_connections` does. `idle_closed` is the
    number of connections that `finish` closed because they were idle. Beyond
    the context's number of connections, the longest idle one is closed for each
    new one, else the one that has waited for its caller for longest, else the
    new one. The latter of them is also closed for a budget without room.
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
            read_chunk_size=READ_BYTES,
        )
        self._listener_context = listener_context
        listener_context.budget.make_room = self._make_room
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
        if not self._has_place():
            self._count_closed('refused')
            stream.close()
            return
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

    def _has_place(self) -> bool:
        """Whether one more connection may be open; closes one for it."""
        most = self._listener_context.max_connections
        if not most or len(self._tasks) < most or self._count_open() < most:
            return True
        victim = choose_victim(self._tasks.values())
        if victim is None:
            return False
        self._count_closed('idle' if victim.is_idle else 'stalled')
        victim.close()
        return True

    def _count_open(self) -> int:
        return sum(not one.is_closed() for one in self._tasks.values())

    def _make_room(self) -> None:
        """Close a stalled connection, for the memory that it holds."""
        victim = choose_stalled(self._tasks.values())
        if victim is not None:
            self._count_closed('memory')
            victim.close()

    def _count_closed(self, reason: str) -> None:
        counters = self._listener_context.counters
        counters.add('caller_connections_closed', reason=reason)

    def _accept_waiting(self, listener: socket.socket) -> None:
        # A listener that has no connection left raises BlockingIOError.
        with contextlib.suppress(OSError):
            for accepted, address in iter(listener.accept, None):
                self._handle_connection(accepted, address)
