"""HTTP client of upstreams."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Upstream
from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ('CurlUpstreams',)

_MAX_CLIENTS = 1000
_NO_ANSWER_STATUS = 599
_NOT_RUN_HEADER = 'Nutmegshore-Not-Run'


class CurlUpstreams(UpstreamClient):
    """Sends requests over HTTP/1.1; bodies are held in memory for now."""

    def __init__(self, clock: Clock) -> None:
        """Read deadlines on the process's clock."""
        self._clock = clock
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    async def send(
        self,
        name: str,
        upstream: Upstream,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Send the request to the named upstream."""
        left_s = request.deadline - self._clock.now()
        if left_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_SEND, name)
        response = await self._client.fetch(
            await _http_request(upstream, request, left_s),
            raise_error=False,
        )
        _check(name, response)
        headers = tuple(response.headers.get_all())
        head = AnswerHead(response.code, headers)
        await receiver.begin(head)
        await receiver.receive(response.body)
        return head


async def _http_request(
    upstream: Upstream,
    request: UpstreamRequest,
    left_s: float,
) -> HTTPRequest:
    body = None
    if request.body is not None:
        chunks = [chunk async for chunk in request.body.chunks()]
        body = b''.join(chunks)
    return HTTPRequest(
        f'http://{upstream.address}{request.target}',
        method=request.method,
        headers=dict(request.headers),
        body=body,
        request_timeout=left_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=None if request.may_run_twice else _send_once,
    )


def _send_once(curl: pycurl.Curl) -> None:
    # libcurl repeats a request by itself when a kept-alive connection closes
    # before the answer; on a fresh connection it does not.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _check(name: str, response: HTTPResponse) -> None:
    if response.code == _NO_ANSWER_STATUS:
        raise RequestError(_no_answer_kind(response), name)
    if response.headers.get(_NOT_RUN_HEADER) == '1':
        raise RequestError(ErrorKind.UPSTREAM_REFUSED, name)


def _no_answer_kind(response: HTTPResponse) -> ErrorKind:
    curl_code = getattr(response.error, 'errno', None)
    if curl_code == pycurl.E_COULDNT_CONNECT:
        return ErrorKind.UPSTREAM_UNREACHABLE
    if curl_code == pycurl.E_OPERATION_TIMEDOUT:
        return ErrorKind.DEADLINE_AFTER_SEND
    return ErrorKind.UPSTREAM_LOST
