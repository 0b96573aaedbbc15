"""Buffering of an upstream's answer before it goes to the caller."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener import AnswerWriter, ByteBudget, HeldBytes
from nutmegshore.listener.headers import answer_headers
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerHead, AnswerReceiver

__all__ = ('NOT_RUN_STATUSES', 'BufferedAnswer')

#: Longest answer, in bytes, that is buffered until it is complete. A failure up
#: to then can still lead to a retry or an error status; a longer answer is
#: streamed to the caller.
MAX_BUFFERED_BYTES = 262_144
#: Statuses by which a gateway promises that a request has not run and never
#: will.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


class BufferedAnswer(AnswerReceiver):
    """Buffers an answer until it is complete, then writes it unchanged.

    `has_begun` is true once bytes have been sent to the caller. `begin` raises
    `RequestError` for an answer that belongs to another request or was
    altered on the way, and, unless the request is safe, for a status that
    means "not run": the upstream may have run it.
    """

    def __init__(
        self,
        writer: AnswerWriter,
        dialect: PlatformDialect,
        request_id: str,
        *,
        is_safe: bool,
        held: HeldBytes | None = None,
    ) -> None:
        """Write the answer to one request through its connection's writer.

        What is buffered counts as held by the request.
        """
        self.has_begun = False
        self.head: AnswerHead | None = None
        self._writer = writer
        self._dialect = dialect
        self._request_id = request_id
        self._is_safe = is_safe
        self._held = held or ByteBudget().hold()
        self._buffer = bytearray()
        self._before_streaming = _do_nothing
        self._is_closed = False

    def call_before_streaming(
        self, handle_streaming: Callable[[], None]
    ) -> None:
        """Call a function when the answer becomes too long to buffer.

        From then on its speed is that of the caller. `RequestError` from the
        function ends the answer before anything is sent.
        """
        self._before_streaming = handle_streaming

    def close(self) -> None:
        """Send nothing more to the caller; another branch answers it.

        A cancelled attempt may run on for a moment.
        """
        self._is_closed = True

    def make_branch(self) -> 'BufferedAnswer':
        """Return an empty answer to the same request, for one attempt."""
        return BufferedAnswer(
            self._writer,
            self._dialect,
            self._request_id,
            is_safe=self._is_safe,
            held=self._held,
        )

    def adopt(self, branch: 'BufferedAnswer') -> None:
        """Take over what a branch received, and has sent to the caller."""
        self.has_begun = branch.has_begun
        self.head = branch.head
        self._buffer = branch._buffer

    async def begin(self, head: AnswerHead) -> None:
        """Check and store the head."""
        self._check_open()
        self._drop_buffer()
        self.head = None
        if not self._dialect.is_answer_to(head, self._request_id):
            raise RequestError(ErrorKind.UPSTREAM_SPOILED, self._request_id)
        if head.status in NOT_RUN_STATUSES and not self._is_safe:
            raise RequestError(ErrorKind.UPSTREAM_LOST, f'status {head.status}')
        self.head = head

    async def receive(self, chunk: bytes) -> None:
        """Buffer a chunk, or stream it once the answer exceeds the buffer."""
        self._check_open()
        if self.has_begun:
            await self._writer.receive(chunk)
            return
        self._buffer += chunk
        self._held.add(len(chunk))
        most = self._held.budget.buffer_bytes(MAX_BUFFERED_BYTES)
        if len(self._buffer) > most:
            self._before_streaming()
            await self._writer.wait_turn()
            self._check_open()
            self.has_begun = True
            await self._writer.begin(self.head)
            await self._stream_buffer()

    async def finish(self) -> None:
        """Write the buffered answer, or end the streamed one."""
        if self.has_begun:
            await self._writer.finish()
            return
        self.has_begun = True
        headers = answer_headers(self.head.headers)
        status = self.head.status
        # The writer holds the only copy while the caller reads; the request
        # gives back what it held at its end.
        body = bytes(self._buffer)
        self._buffer.clear()
        await self._writer.write_own(status, headers, body)

    async def _stream_buffer(self) -> None:
        taken = bytes(self._buffer)
        self._buffer.clear()
        await self._writer.receive(taken)
        self._held.add(-len(taken))

    def _drop_buffer(self) -> None:
        self._held.add(-len(self._buffer))
        self._buffer.clear()

    def _check_open(self) -> None:
        if self._is_closed:
            raise asyncio.CancelledError


def _do_nothing() -> None:
    """Stand in for a handler that is not set."""
