"""HTTP server for operators that bounds what its clients hold."""

from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from nutmegshore.byte_budget import ByteBudget, HeldBytes
from nutmegshore.counters import Counters
from nutmegshore.errors import RefusedError
from nutmegshore.operators.wire import describe_error, write_json

__all__ = ('OperatorServer',)

#: Bytes of bodies that the server holds for all clients.
_BUFFER_BYTES = 16_777_216
_LENGTH = 'Content-Length'
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE


class OperatorServer(HTTPServer):
    """Serves an application to a bounded number of connections.

    Beyond `max_connections`, the connection that has waited for its client for
    longest is closed for each new one, else the new one. Bodies that find no
    room are answered with 503.

        server = OperatorServer(application, counters=counters,
                                max_connections=128, max_body_size=2_000_000)
        server.listen(8443, '127.0.0.1')
    """

    def initialize(
        self,
        request_callback: object,
        *,
        counters: Counters,
        max_connections: int,
        **options: object,
    ) -> None:
        """Take tornado's options besides."""
        super().initialize(request_callback, **options)
        self.budget = ByteBudget(_BUFFER_BYTES)
        self._counters = counters
        self._max_connections = max_connections
        self._requests: dict[object, _BoundedRequest] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection, or close it."""
        if self._count_open() >= self._max_connections:
            victim = self._find_waiting()
            reason = 'refused' if victim is None else 'waiting'
            self._counters.add('operator_connections_closed', reason=reason)
            if victim is None:
                stream.close()
                return
            self._forget(victim)
            victim.stream.close()
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Receive the next request of a connection."""
        delegate = super().start_request(server_conn, request_conn)
        self._forget(server_conn)
        request = _BoundedRequest(self, delegate, request_conn)
        self._requests[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Give back what a connection held."""
        self._forget(server_conn)
        super().on_close(server_conn)

    def count_refusal(self) -> None:
        """Count a request whose body found no room."""
        self._counters.add('operator_requests_refused', reason='memory')

    def _count_open(self) -> int:
        # A connection that was closed is removed in a later pass of the loop.
        return sum(not one.stream.closed() for one in self._connections)

    def _find_waiting(self) -> object | None:
        """Return the connection that has waited for its client for longest."""
        waiting = (
            connection
            for connection, request in self._requests.items()
            if not request.is_received
        )
        return next(waiting, None)

    def _forget(self, server_conn: object) -> None:
        request = self._requests.pop(server_conn, None)
        if request is not None:
            request.held.close()


class _BoundedRequest(HTTPMessageDelegate):
    """Passes a request on, and counts its body as held.

    The body is held until the next request of the connection, since its handler
    may wait for the store.
    """

    def __init__(
        self,
        server: OperatorServer,
        delegate: HTTPMessageDelegate,
        connection: HTTPConnection,
    ) -> None:
        self.held: HeldBytes = server.budget.hold()
        self.is_received = False
        self._server = server
        self._delegate: HTTPMessageDelegate | None = delegate
        self._connection = connection

    async def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        length = headers.get(_LENGTH, '')
        if length.isdecimal():
            self._check_room(int(length))
        if self._delegate is not None:
            await _settle(self._delegate.headers_received(start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        self.held.add(len(chunk))
        self._check_room(len(chunk))
        if self._delegate is not None:
            await _settle(self._delegate.data_received(chunk))

    def finish(self) -> None:
        self.is_received = True
        if self._delegate is not None:
            self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def _check_room(self, size: int) -> None:
        """Refuse the request if the budget has no room for its body."""
        try:
            self.held.budget.check_room(size)
        except RefusedError as refusal:
            self._refuse(refusal)

    def _refuse(self, refusal: RefusedError) -> None:
        """Answer with 503; tornado drops the rest of the body and closes."""
        if self._delegate is None:
            return
        self._delegate = None
        self.held.close()
        self._server.count_refusal()
        body = write_json(describe_error(refusal)).encode()
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Nutmegshore-Error': refusal.kind.value,
                'Nutmegshore-Outcome': refusal.answer.outcome.value,
                'Retry-After': str(refusal.retry_after_s),
                'Connection': 'close',
                _LENGTH: str(len(body)),
            }
        )
        line = ResponseStartLine(
            'HTTP/1.1', _UNAVAILABLE.value, _UNAVAILABLE.phrase
        )
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


async def _settle(result: object) -> None:
    if result is not None:
        await result
