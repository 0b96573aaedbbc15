"""Bodies of callers' requests."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from tornado.iostream import StreamClosedError

from nutmegshore.errors import ErrorKind, Outcome, RequestError
from nutmegshore.listener.reader import CallerReader
from nutmegshore.upstreams import BodySource

__all__ = ('KEPT_BYTES', 'CallerBody', 'KeptBody')

#: Bodies up to this size are kept, so that they can be sent again. It is also
#: the part of a body that a request's fingerprint covers.
KEPT_BYTES = 65_536


class CallerBody(BodySource):
    """A body as it arrives on a caller's connection.

    `before_read` runs once before the first byte is awaited; it answers
    `Expect: 100-continue`. A caller that sends nothing for `timeout_s` raises
    `SLOW_SENDER`, a broken chunk `MALFORMED_REQUEST`. `is_whole` says whether
    everything was read, and with it that the next request follows.
    """

    def __init__(
        self,
        reader: CallerReader,
        length: int | None,
        timeout_s: float,
        before_read: Callable[[], Awaitable[None]],
        max_bytes: int = 0,
    ) -> None:
        """Read `length` bytes, or chunks if it is None.

        More than `max_bytes` raise `BODY_TOO_LARGE`; 0 is no bound.
        """
        self.length = length
        self.is_whole = length == 0
        self._max_bytes = max_bytes
        self._taken = 0
        self._reader = reader
        self._timeout_s = timeout_s
        self._before_read = before_read
        self._left = length or 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the pieces once."""
        self._check_size(self.length or 0)
        await self._before_read()
        while not self.is_whole:
            piece = await self._read_in_time()
            self._taken += len(piece)
            self._check_size(self._taken)
            if piece:
                yield piece

    def _check_size(self, size: int) -> None:
        if self._max_bytes and size > self._max_bytes:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f'more than {self._max_bytes} bytes',
            )

    async def _read_in_time(self) -> bytes:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._read_piece()
        except TimeoutError as failure:
            raise RequestError(ErrorKind.SLOW_SENDER, 'body') from failure
        except StreamClosedError as closed:
            raise RequestError(ErrorKind.CALLER_STALLED, 'gone') from closed

    async def _read_piece(self) -> bytes:
        if self.length is None and not self._left:
            self._left = await self._reader.read_chunk_size()
            if not self._left:
                await self._reader.skip_trailers()
                self.is_whole = True
                return b''
        piece = await self._reader.read_piece(self._left)
        self._left -= len(piece)
        if not self._left:
            await self._end_piece()
        return piece

    async def _end_piece(self) -> None:
        if self.length is None:
            await self._reader.read_chunk_end()
        else:
            self.is_whole = True


class KeptBody(BodySource):
    """A body whose start was read before the request was sent anywhere.

    A body that is whole by then can be sent again. Of a longer one the rest
    is passed on as it arrives; a failure there is `CALLER_STALLED`, since the
    upstream may have begun its work.

        body = KeptBody(source)
        await body.read_start()
    """

    def __init__(
        self,
        source: BodySource,
        kept_bytes: int = KEPT_BYTES,
    ) -> None:
        """Wrap the body of one request; `start` is empty until it is read."""
        self.length = source.length
        self._kept_bytes = kept_bytes
        self.start = b''
        self._chunks = source.chunks()

    async def read_start(self) -> None:
        """Read until the body is whole or too long to keep."""
        pieces = bytearray()
        # A body without a known length may end at exactly that many.
        is_long = self.length is not None and self.length > self._kept_bytes
        enough = self._kept_bytes + (not is_long)
        while len(pieces) < enough and not self.can_replay:
            piece = await anext(self._chunks, b'')
            pieces += piece
            self.can_replay = not piece
        self.start = bytes(pieces)
        if self.can_replay:
            self.length = len(pieces)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the kept start, then over the rest."""
        if self.start:
            yield self.start
        if not self.can_replay:
            async for piece in _iter_rest(self._chunks):
                yield piece


async def _iter_rest(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    try:
        async for piece in chunks:
            yield piece
    except RequestError as failure:
        if failure.answer.outcome is Outcome.NOT_RUN:
            raise RequestError(
                ErrorKind.CALLER_STALLED,
                str(failure),
            ) from failure
        raise
