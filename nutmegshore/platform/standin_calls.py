"""Calls to a stand-in store without sockets.

A stand-in and its clients can run on virtual time with it.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

from nutmegshore.store.calls import CallFailed, StoreCall, StoreReply
from nutmegshore.upstreams import AnswerHead

__all__ = ('StandinCalls',)

#: Seconds that a call takes in the network.
_ROUND_TRIP_S = 0.01
#: Seconds until a call without an answer fails.
_CALL_S = 2


class StandinCalls:
    """Calls an application as `StoreCalls` calls a store.

    calls = StandinCalls(make_store_application(store))
    reply = await calls.send(StoreCall('GET', '/objects/x'))
    """

    def __init__(self, application: Application) -> None:
        """Call this application."""
        self._application = application

    def close(self) -> None:
        """Do nothing: no connection is kept."""

    async def send(self, call: StoreCall) -> StoreReply:
        """Return the answer; raise `CallFailed` without one."""
        await asyncio.sleep(_ROUND_TRIP_S)
        connection = _Connection()
        self._execute(call, connection)
        try:
            async with asyncio.timeout(_CALL_S + call.wait_s):
                response = await connection.answered
        except TimeoutError as failure:
            raise CallFailed(call.target, is_sent=True) from failure
        head = AnswerHead(response.status, tuple(response.headers.get_all()))
        return StoreReply(head, bytes(response.body))

    def _execute(self, call: StoreCall, connection: '_Connection') -> None:
        headers = HTTPHeaders(dict(call.headers))
        headers['Host'] = 'store'
        received = HTTPServerRequest(
            headers=headers,
            body=call.body or b'',
            connection=connection,
            start_line=RequestStartLine(call.method, call.target, 'HTTP/1.1'),
        )
        self._application.find_handler(received).execute()


@attrs.define
class _Response:
    """Response of an application while it is written."""

    status: int = HTTPStatus.OK
    headers: HTTPHeaders = attrs.field(factory=HTTPHeaders)
    body: bytearray = attrs.field(factory=bytearray)


class _Connection:
    """Server side of one call; also stands for the stream below it."""

    def __init__(self) -> None:
        self.answered: asyncio.Future[_Response] = (
            asyncio.get_running_loop().create_future()
        )
        self.stream = self
        self._response = _Response()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Ignore the callback: clients do not close connections."""

    def write_headers(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future[Any]:
        """Keep the head and the first part of the body."""
        self._response.status = start_line.code
        self._response.headers = headers
        return self.write(chunk or b'')

    def write(self, chunk: bytes) -> asyncio.Future[Any]:
        """Keep a part of the body."""
        self._response.body.extend(chunk)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def finish(self) -> None:
        """Deliver the response unless the connection is closed."""
        if not self.answered.done():
            self.answered.set_result(self._response)

    def close(self) -> None:
        """Close the connection without a response."""
        if not self.answered.done():
            failure = CallFailed('closed', is_sent=True)
            self.answered.set_exception(failure)
