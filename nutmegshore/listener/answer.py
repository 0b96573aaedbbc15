"""Writing of answers to a caller's connection."""

import asyncio
import math
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus

import attrs
from tornado.iostream import IOStream

from nutmegshore.errors import NutmegshoreError, Outcome, RefusedError
from nutmegshore.listener.caller_activity import CallerActivity
from nutmegshore.listener.headers import RequestHead, answer_headers
from nutmegshore.upstreams import AnswerHead, AnswerReceiver, Headers

__all__ = ('AnswerWriter', 'abort_stream')

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_OUTCOME = 'Nutmegshore-Outcome'
_ERROR = 'Nutmegshore-Error'
_LENGTH = 'Content-Length'
_RETRY_AFTER = 'Retry-After'
#: A longer body is not copied to be sent together with its head.
_JOINED_BYTES = 16_384
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
#: Linger switched on with a time of 0 s: closing sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.define
class AnswerWriter(AnswerReceiver):
    """Writes one answer, framed by a length, by chunks or by the close.

    `keeps_alive` says whether the connection is to serve another request; an
    answer that neither a length nor chunks can frame turns it off. `has_begun`
    and `is_complete` say how much of the answer was written. Writes wait
    until the connection has taken the bytes, which slows the upstream to the
    caller's speed.

    The head waits for `turn`, which is set once the answers ahead of it on the
    connection are written. `before_close` is called before this answer closes
    the connection. `is_withdrawn` says that an answer ahead has closed it, so
    that the caller sends the request again.
    """

    stream: IOStream
    request: RequestHead | None = None
    keeps_alive: bool = True
    has_begun: bool = False
    is_complete: bool = False
    is_withdrawn: bool = False
    turn: asyncio.Event | None = None
    before_close: Callable[[], None] | None = None
    activity: CallerActivity = attrs.field(factory=CallerActivity)
    _is_chunked: bool = False
    _has_body: bool = True

    @property
    def end_reason(self) -> str:
        """Why a request was cancelled before its caller had the answer."""
        if self.is_withdrawn:
            return 'withdrawn'
        return 'caller_left' if self.stream.closed() else 'stopped'

    async def wait_turn(self) -> None:
        """Wait until the answers ahead of this one are written."""
        if self.turn is not None:
            await self.turn.wait()

    def abort(self) -> None:
        """Close the connection with a reset, within an answer or before it."""
        self._announce_close()
        abort_stream(self.stream)

    async def write_continue(self) -> None:
        """Ask a caller that waits for it to send its body."""
        is_asked = self.request and self.request.get('expect')
        if is_asked and not self.has_begun:
            await self._write(_CONTINUE)

    async def begin(self, head: AnswerHead) -> None:
        """Write the head of an upstream's answer."""
        kept = answer_headers(head.headers)
        outcome = (_OUTCOME, Outcome.UPSTREAM.value)
        length = head.fields.get('content-length')
        if 'transfer-encoding' in head.fields:
            length = None
        await self._write_head(head.status, (*kept, outcome), length)

    async def receive(self, chunk: bytes) -> None:
        """Write a piece of the body."""
        if not self._has_body or not chunk:
            return
        if self._is_chunked:
            size = format(len(chunk), 'x').encode()
            chunk = b'%b\r\n%b\r\n' % (size, chunk)
        await self._write(chunk)

    async def finish(self) -> None:
        """Mark the answer as whole."""
        if self._is_chunked and self._has_body:
            await self._write(_LAST_CHUNK)
        self.is_complete = True

    async def write_own(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Write an answer of our own as a whole."""
        await self._write_head(status, headers, str(len(body)), body)
        self.is_complete = True

    async def write_error(self, error: NutmegshoreError) -> None:
        """Write the answer that the kind of an error has."""
        kind = error.kind.value
        headers = (
            ('Content-Type', 'text/plain'),
            (_ERROR, kind),
            (_OUTCOME, error.answer.outcome.value),
        )
        if isinstance(error, RefusedError):
            # Callers of the entry daemon read whole seconds.
            wait_s = math.ceil(error.retry_after_s)
            headers += ((_RETRY_AFTER, str(wait_s)),)
        body = f'{kind}: {error}\n'.encode()
        await self.write_own(error.answer.status, headers, body)

    async def _write(self, piece: bytes) -> None:
        """Wait until the connection has taken the bytes.

        The write of the stream itself is never cancelled: tornado reads the
        result of each, which raises in the event loop for a cancelled one.
        """
        with self.activity.waiting():
            await asyncio.shield(self.stream.write(piece))

    async def _write_head(
        self,
        status: int,
        headers: Headers,
        length: str | None,
        body: bytes = b'',
    ) -> None:
        await self.wait_turn()
        self._choose_framing(status, length)
        if not self.keeps_alive:
            self._announce_close()
        lines = [f'HTTP/1.1 {int(status)} {_reason(status)}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if self._is_chunked and self._has_body:
            lines.append('Transfer-Encoding: chunked')
        elif length is not None and status != HTTPStatus.NO_CONTENT:
            lines.append(f'{_LENGTH}: {length}')
        if not self.keeps_alive:
            lines.append('Connection: close')
        head = '\r\n'.join((*lines, '\r\n')).encode('latin-1')
        self.has_begun = True
        if not self._has_body:
            body = b''
        if len(body) > _JOINED_BYTES:
            await self._write(head)
            await self._write(body)
        else:
            await self._write(head + body)

    def _announce_close(self) -> None:
        if self.before_close is not None:
            self.before_close()

    def _choose_framing(self, status: int, length: str | None) -> None:
        method = self.request.method if self.request else ''
        self._has_body = method != 'HEAD' and status not in _BODILESS
        takes_chunks = self.request is None or self.request.minor_version
        is_unframed = length is None and self._has_body
        self._is_chunked = is_unframed and bool(takes_chunks)
        if is_unframed:
            self.keeps_alive = self.keeps_alive and self._is_chunked


def abort_stream(stream: IOStream) -> None:
    """Close with a reset, so that a cut answer cannot pass as whole.

    Without it an answer to an HTTP/1.0 caller, which ends with the connection,
    looks complete wherever it was cut.
    """
    if stream.socket is not None:
        stream.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
    stream.close()


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
