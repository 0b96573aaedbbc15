"""HTTP client for upstreams, based on libcurl."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import attrs
import pycurl

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ConnectionClosed, ErrorKind, RequestError
from nutmegshore.faults import Faults
from nutmegshore.byte_budget import ByteBudget
from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    Destination,
    Dialect,
    UpstreamClient,
    UpstreamRequest,
)
from nutmegshore.upstreams.connections import SendGuard
from nutmegshore.upstreams.dialect import OwnDialect
from nutmegshore.upstreams.handles import (
    MS_PER_S,
    add_body,
    make_handle,
    write_headers,
)
from nutmegshore.upstreams.multi import IDLE_CONNECTIONS, CurlLoop
from nutmegshore.upstreams.transfer import Transfer
from nutmegshore.upstreams.upload_room import UploadRoom

__all__ = ('CurlUpstreams',)

_BODILESS_STATUSES = frozenset((204, 304))
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class CurlUpstreams(UpstreamClient):
    """Streams requests and answers over HTTP/1.1 connections.

    Each direction of a transfer buffers at most 256 KiB, and a single piece
    while the budget is short. Call `close` at the
    end to drop all connections.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect | None = None,
        faults: Faults | None = None,
        budget: ByteBudget | None = None,
        idle_connections: int = IDLE_CONNECTIONS,
        counters: Counters | None = None,
    ) -> None:
        """Create a client; deadlines are readings of `clock`."""
        self._counters = counters or Counters()
        self._budget = budget or ByteBudget()
        self._uploads = UploadRoom(self._budget.check_wait)
        self._clock = clock
        self.dialect = dialect or OwnDialect()
        self._loop = CurlLoop(
            faults or Faults(self._counters), idle_connections
        )

    def close(self) -> None:
        """Cancel the requests in flight and close the connections."""
        self._loop.close()

    async def send(
        self,
        name: str,
        upstream: Destination,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Send the request to the named upstream."""
        length = request.body.length if request.body else 0
        remaining_s = request.deadline - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                room = await self._uploads.take(upstream.address, length)
        except TimeoutError as failure:
            kind = ErrorKind.DEADLINE_BEFORE_SEND
            raise RequestError(kind, name) from failure
        with room:
            try:
                return await self._send(name, upstream, request, receiver)
            except _FoundClosed:
                # Nothing was sent, so that the choice of the upstream holds.
                again = attrs.evolve(request, needs_new_connection=True)
                return await self._send(name, upstream, again, receiver)

    async def _send(
        self,
        name: str,
        upstream: Destination,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        remaining_s = request.deadline - self._clock.now()
        if remaining_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_SEND, name)
        curl = self._make_curl(upstream.address, request, remaining_s)
        opened = Transfer(
            self._loop,
            curl,
            SendGuard(self._loop.sockets, self._clock, self._counters),
            self._budget,
            is_chunked=request.body is not None and request.body.length is None,
        )
        with contextlib.closing(opened) as transfer:
            attempt = _Attempt(transfer, request, name, upstream, self.dialect)
            transfer.start()
            try:
                async with asyncio.timeout(remaining_s):
                    head = await self._run(attempt, receiver)
                    self._report_connection(upstream, transfer)
                    return head
            except TimeoutError as failure:
                raise attempt.timeout_error() from failure
            finally:
                self._report_malformed(name, request, transfer)

    def _report_malformed(
        self, name: str, request: UpstreamRequest, transfer: Transfer
    ) -> None:
        malformed = transfer.answer.malformed
        if self.on_malformed is not None and malformed is not None:
            self.on_malformed(name, request, malformed)

    def _report_connection(
        self, upstream: Destination, transfer: Transfer
    ) -> None:
        connect_s = transfer.connect_s
        if self.on_connected is not None and connect_s is not None:
            self.on_connected(upstream, connect_s)

    def _make_curl(
        self,
        address: str,
        request: UpstreamRequest,
        remaining_s: float,
    ) -> pycurl.Curl:
        curl = _make_curl(address, request)
        remaining_ms = max(int(remaining_s * MS_PER_S), 1)
        own = self.dialect.request_headers(request, remaining_ms)
        write_headers(
            curl,
            request.method,
            (*request.headers, *own),
            has_body=request.body is not None,
        )
        return curl

    async def _run(
        self,
        attempt: '_Attempt',
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        if attempt.has_no_body:
            return await attempt.relay_answer(receiver, self.report)
        answer = asyncio.ensure_future(
            attempt.relay_answer(receiver, self.report),
        )
        body = asyncio.ensure_future(attempt.relay_body())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(_cancel_all, answer, body)
            await asyncio.wait(
                (answer, body),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer.done():
                # Raises the error if reading the caller's body failed.
                await body
            return await answer


class _Attempt:
    """One request to one upstream, with the error kind of each failure."""

    def __init__(
        self,
        transfer: Transfer,
        request: UpstreamRequest,
        name: str,
        upstream: Destination,
        dialect: Dialect,
    ) -> None:
        self._transfer = transfer
        self._request = request
        self._name = name
        self._upstream = upstream
        self._dialect = dialect

    @property
    def has_no_body(self) -> bool:
        """Whether the request has no body."""
        return self._request.body is None

    async def relay_body(self) -> None:
        """Copy the request's body from its source to libcurl.

        A body that cannot be read again is left alone until it is certain that
        the connection is open.
        """
        body = self._request.body
        if not (body.can_replay or await self._transfer.wait_sent()):
            return
        async for chunk in _iter_started(body):
            await self._transfer.write_chunk(chunk)
            if self._transfer.error is not None:
                return
        self._transfer.write_end()

    async def relay_answer(
        self,
        receiver: AnswerReceiver,
        report: Callable[[str, Destination, AnswerHead], None],
    ) -> AnswerHead:
        """Copy the answer from libcurl to its receiver."""
        head = await self._transfer.wait_head()
        if head is None:
            raise self._lost_error()
        self._check_origin(head)
        report(self._name, self._upstream, head)
        self._check_head(head)
        await receiver.begin(head)
        chunk = await self._transfer.read_chunk()
        while chunk:
            await receiver.receive(chunk)
            chunk = await self._transfer.read_chunk()
        if self._transfer.error or self._is_cut_short(head):
            raise self._lost_error()
        return head

    def timeout_error(self) -> RequestError:
        """The error for a deadline that passed during the request."""
        kind = ErrorKind.DEADLINE_BEFORE_SEND
        if self._transfer.guard.is_sent:
            kind = ErrorKind.DEADLINE_AFTER_SEND
        return RequestError(kind, self._name)

    def _check_origin(self, head: AnswerHead) -> None:
        """Raise `RequestError` for an answer to an earlier request.

        On a kept connection an upstream may write an answer twice. What the
        second copy says of the request that waits there is not true.
        """
        answered_id = self._dialect.read_request_id(head)
        if answered_id == self._request.request_id:
            return
        is_expected = self._dialect.always_echoes_id
        is_doubtful = is_expected and self._transfer.connect_s is None
        if answered_id is not None or is_doubtful:
            raise RequestError(ErrorKind.UPSTREAM_SPOILED, self._name)

    def _check_head(self, head: AnswerHead) -> None:
        refusal = self._dialect.read_refusal(head)
        if refusal is not None:
            raise RequestError(refusal, self._name)
        # If only the close of the connection ends a body, a complete body
        # cannot be distinguished from one that an upstream's crash cut off.
        if self._is_unframed(head) and not self._dialect.accepts_unframed:
            raise RequestError(ErrorKind.UPSTREAM_LOST, self._name)

    def _is_cut_short(self, head: AnswerHead) -> bool:
        """Whether the close that ended an answer came within the request.

        libcurl takes such an answer as complete. The upstream has not read the
        request, and may have closed because it failed.
        """
        if self.has_no_body or not self._is_unframed(head):
            return False
        return not self._transfer.has_sent(self._request.body.length)

    def _is_unframed(self, head: AnswerHead) -> bool:
        if head.status in _BODILESS_STATUSES or self._request.method == 'HEAD':
            return False
        return _FRAMING_HEADERS.isdisjoint(head.fields)

    def _lost_error(self) -> RequestError:
        guard = self._transfer.guard
        if guard.found_closed:
            return _FoundClosed(ErrorKind.UPSTREAM_UNREACHABLE, self._name)
        if not guard.is_sent:
            return RequestError(ErrorKind.UPSTREAM_UNREACHABLE, self._name)
        answer = self._transfer.answer
        # Who sent a malformed answer had the request before it.
        has_begun = answer.malformed or answer.heads.size
        if guard.may_be_unread and not has_begun:
            return ConnectionClosed(self._name)
        return RequestError(ErrorKind.UPSTREAM_LOST, self._name)


class _FoundClosed(RequestError):
    """A kept connection was found closed, and nothing was sent on it."""


async def _iter_started(source: BodySource) -> AsyncIterator[bytes]:
    async for chunk in source.chunks():
        source.is_started = True
        if chunk:
            yield chunk


async def _cancel_all(*tasks: asyncio.Future) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _make_curl(address: str, request: UpstreamRequest) -> pycurl.Curl:
    curl = make_handle(
        f'http://{address}',
        request.method,
        request.target,
        request.connect_timeout_s,
    )
    if request.body is not None and request.method != 'HEAD':
        add_body(curl, request.body.length)
    if request.needs_new_connection or not request.may_run_twice:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
    if not request.may_run_twice:
        curl.setopt(pycurl.FORBID_REUSE, 1)
    return curl
