"""Reading of requests from a caller's connection."""

import asyncio

from tornado.iostream import IOStream

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.http1 import ChunkDecoder
from nutmegshore.listener.caller_activity import CallerActivity

__all__ = ('READ_BYTES', 'CallerReader')

#: Bytes that are taken from the connection at once. Each connection holds one
#: such piece and tornado at most two, beside the budget for all callers.
READ_BYTES = 16_384

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_MAX_TRAILER_LINE_BYTES = 256
_MAX_TRAILER_BYTES = 4096


class CallerReader:
    """Takes heads, body pieces and chunks from a stream.

    It holds what was read beyond them, at most `READ_BYTES` more than the
    longest line allowed. Reading raises tornado's `StreamClosedError` when the
    caller is gone.
    """

    def __init__(
        self, stream: IOStream, activity: CallerActivity | None = None
    ) -> None:
        """Read from a connected stream."""
        self._stream = stream
        self._activity = activity or CallerActivity()
        #: Whether an earlier request is being answered, so that a caller that
        #: pauses within the next head keeps nothing waiting.
        self.is_reading_ahead = False
        self._held = bytearray()
        self._pending: asyncio.Future[bytes] | None = None

    @property
    def has_held(self) -> bool:
        """Whether a part of a further request was read."""
        is_read = self._pending is not None and self._pending.done()
        return is_read or bool(self._held)

    async def wait_start(self) -> None:
        """Wait for the first byte of a request; skips empty lines."""
        self._held = self._held.lstrip(_LINE_END)
        while not self._held:
            # A caller that sends no further request keeps nothing waiting.
            self._held += await self._read()
            self._held = self._held.lstrip(_LINE_END)

    async def read_head(self, limit: int) -> bytes:
        """Read up to the blank line, which is left out."""
        return await self._read_until(
            _HEAD_END,
            limit,
            ErrorKind.HEADER_TOO_LARGE,
        )

    async def read_piece(self, limit: int) -> bytes:
        """Read at least one and at most `limit` bytes."""
        if not self._held:
            with self._activity.waiting():
                piece = await self._read()
            if len(piece) <= limit:
                return piece
            self._held += piece
        return self._take(limit)

    async def read_chunks(
        self, decoder: ChunkDecoder, most_chunks: int
    ) -> bytes:
        """Read data of one or more chunks; empty after the last one."""
        data = self._decode(decoder, most_chunks)
        while not data and not decoder.is_ended:
            await self._fill()
            data = self._decode(decoder, most_chunks)
        return data

    async def skip_trailers(self) -> None:
        """Read past the trailers, which are not passed on."""
        left = _MAX_TRAILER_BYTES
        line = await self._read_line()
        while line:
            left -= len(line)
            if left < 0:
                raise _malformed('trailers')
            line = await self._read_line()

    async def discard(self, limit: int) -> None:
        """Read and drop so many bytes, or all until the caller closes."""
        while limit > 0:
            self._held.clear()
            await self._fill()
            limit -= len(self._held)

    def _decode(self, decoder: ChunkDecoder, most_chunks: int) -> bytes:
        if not self._held:
            return b''
        data, used = decoder.decode(bytes(self._held), most_chunks)
        self._held = self._held[used:]
        return data

    async def _read_line(self) -> bytes:
        return await self._read_until(
            _LINE_END,
            _MAX_TRAILER_LINE_BYTES,
            ErrorKind.MALFORMED_REQUEST,
        )

    async def _read_until(
        self,
        end: bytes,
        limit: int,
        kind: ErrorKind,
    ) -> bytes:
        at = self._held.find(end)
        while at < 0 and len(self._held) <= limit:
            # Only the new bytes and a possible start of the end are searched.
            searched = max(len(self._held) - len(end) + 1, 0)
            await self._fill()
            at = self._held.find(end, searched)
        if not 0 <= at <= limit:
            raise RequestError(kind, f'more than {limit} bytes')
        return self._take(at + len(end))[:at]

    def _take(self, count: int) -> bytes:
        taken = bytes(self._held[:count])
        self._held = self._held[count:]
        return taken

    async def _fill(self) -> None:
        if self.is_reading_ahead:
            self._held += await self._read()
            return
        with self._activity.waiting():
            self._held += await self._read()

    async def _read(self) -> bytes:
        # A timeout must not cancel the read of the stream, which would refuse
        # every later one; the next call takes up the same read.
        if self._pending is None:
            self._pending = self._stream.read_bytes(READ_BYTES, partial=True)
        piece = await asyncio.shield(self._pending)
        self._pending = None
        return piece


def _malformed(what: str) -> RequestError:
    return RequestError(ErrorKind.MALFORMED_REQUEST, what)
