"""HTTP client that calls a stand-in store without sockets.

A stand-in and its clients can run on virtual time with it.
"""

import asyncio
import io
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

import attrs
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

__all__ = ('StandinClient',)

#: Seconds that a call takes in the network.
_ROUND_TRIP_S = 0.01
_NO_ANSWER = 599


class StandinClient:
    """Calls applications by address, as Tornado's HTTP clients do.

    The address `g1:80` stands for one client machine, so that a store can
    treat machines differently.

        client = StandinClient({'g1:80': make_store_application(store)})
        response = await client.fetch(HTTPRequest('http://g1:80/objects/x'))
    """

    def __init__(self, by_address: Mapping[str, Application]) -> None:
        """Serve each address with its application."""
        self._by_address = by_address

    def close(self) -> None:
        """Do nothing: no connection is kept."""

    async def fetch(
        self,
        request: HTTPRequest,
        *,
        raise_error: bool = True,
    ) -> HTTPResponse:
        """Call an application; 599 is raised if it does not answer."""
        await asyncio.sleep(_ROUND_TRIP_S)
        connection = _Connection()
        self._execute(request, connection)
        try:
            async with asyncio.timeout(request.request_timeout):
                response = await connection.answered
        except TimeoutError as failure:
            raise HTTPClientError(_NO_ANSWER, 'timeout') from failure
        answer = HTTPResponse(
            request,
            response.status,
            headers=response.headers,
            buffer=io.BytesIO(bytes(response.body)),
        )
        if raise_error:
            answer.rethrow()
        return answer

    def _execute(self, request: HTTPRequest, connection: '_Connection') -> None:
        url = urlsplit(request.url)
        target = f'{url.path}?{url.query}' if url.query else url.path
        headers = HTTPHeaders(request.headers)
        headers['Host'] = url.netloc
        received = HTTPServerRequest(
            headers=headers,
            body=request.body or b'',
            connection=connection,
            start_line=RequestStartLine(request.method, target, 'HTTP/1.1'),
        )
        application = self._by_address[url.netloc]
        application.find_handler(received).execute()


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
            failure = HTTPClientError(_NO_ANSWER, 'closed')
            self.answered.set_exception(failure)
