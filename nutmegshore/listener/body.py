"""Bodies of callers' requests."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from tornado.iostream import StreamClosedError

from nutmegshore.errors import ErrorKind, Outcome, RequestError
from nutmegshore.http1 import ChunkDecoder
from nutmegshore.listener.body_pace import BodyPace
from nutmegshore.byte_blocks import ByteBlocks
from nutmegshore.byte_budget import ByteBudget, HeldBytes
from nutmegshore.listener.chunk_turns import ChunkAllowance, ChunkTurns
from nutmegshore.listener.reader import CallerReader
from nutmegshore.upstreams import BodySource

__all__ = ('KEPT_BYTES', 'CallerBody', 'KeptBody')

#: Bodies up to this size are kept, so that they can be sent again. It is also
#: the part of a body that a request's fingerprint covers.
KEPT_BYTES = 65_536


class CallerBody(BodySource):
    """A body as it arrives on a caller's connection.

    `before_read` runs once before the first byte is awaited; it answers
    `Expect: 100-continue`. A caller that sends nothing for `timeout_s`, or
    takes too long for the whole, raises `SLOW_SENDER`, a broken chunk
    `MALFORMED_REQUEST`. `is_whole` says whether everything was read, and with
    it that the next request follows. Many small chunks are decoded in `turns`;
    the wait for a turn does not count as the caller's.
    """

    def __init__(
        self,
        reader: CallerReader,
        length: int | None,
        timeout_s: float,
        before_read: Callable[[], Awaitable[None]],
        max_bytes: int = 0,
        turns: ChunkTurns | None = None,
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
        self._decoder = ChunkDecoder()
        self._allowance = ChunkAllowance(turns or ChunkTurns())
        self._pace = BodyPace()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the pieces once."""
        self._check_size(self.length or 0)
        await self._before_read()
        while not self.is_whole:
            await self._allowance.wait()
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
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            async with asyncio.timeout(self._timeout_s):
                piece = await self._read_piece()
        except TimeoutError as failure:
            raise RequestError(ErrorKind.SLOW_SENDER, 'body') from failure
        except StreamClosedError as closed:
            raise RequestError(ErrorKind.CALLER_STALLED, 'gone') from closed
        self._pace.record(loop.time() - began_at, len(piece))
        if self._pace.is_too_slow:
            raise RequestError(ErrorKind.SLOW_SENDER, 'whole body')
        return piece

    async def _read_piece(self) -> bytes:
        if self.length is None:
            return await self._read_chunks()
        piece = await self._reader.read_piece(self._left)
        self._left -= len(piece)
        self.is_whole = not self._left
        return piece

    async def _read_chunks(self) -> bytes:
        # The data before the last chunk is passed on first, since its trailers
        # may never come.
        piece = b''
        if not self._decoder.is_ended:
            before = self._decoder.chunks
            piece = await self._reader.read_chunks(
                self._decoder, self._allowance.left
            )
            self._allowance.spend(self._decoder.chunks - before, len(piece))
        if not piece:
            await self._reader.skip_trailers()
            self.is_whole = True
        return piece


class KeptBody(BodySource):
    """A body whose start was read before the request was sent anywhere.

    A body that is whole by then can be sent again. Of a longer one the rest
    is passed on as it arrives, and its start is dropped on the way; a failure
    there is `CALLER_STALLED`, since the upstream may have begun its work. What
    is kept counts as held; while the budget is short, it is at most
    `KEPT_BYTES`, and a body that does not find room is refused.

        body = KeptBody(source)
        await body.read_start()
    """

    def __init__(
        self,
        source: BodySource,
        kept_bytes: int = KEPT_BYTES,
        held: HeldBytes | None = None,
    ) -> None:
        """Wrap the body of one request; nothing is read yet."""
        self.length = source.length
        self._kept_bytes = kept_bytes
        self._held = held or ByteBudget().hold()
        self._blocks = ByteBlocks()
        self._chunks = source.chunks()

    @property
    def start(self) -> bytes:
        """All that is kept; empty before it is read."""
        return self.first(self._blocks.size)

    def first(self, count: int) -> bytes:
        """Return the first bytes of what is kept, `count` or all if fewer."""
        return self._blocks.first(count)

    async def read_start(self) -> None:
        """Read until the body is whole or too long to keep."""
        self._held.budget.check_room(self.length)
        blocks = self._blocks
        while blocks.size < self._enough() and not self.can_replay:
            piece = await anext(self._chunks, b'')
            blocks.append(piece)
            self._held.add(len(piece))
            self.can_replay = not piece
            self._check_held(blocks.size)
        if self.can_replay:
            self.length = blocks.size

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the kept start, then over the rest."""
        if self.can_replay:
            for kept in self._blocks:
                yield kept
            return
        while self._blocks:
            block = self._blocks.pop()
            self._held.add(-len(block))
            yield block
        async for piece in _iter_rest(self._chunks):
            yield piece

    def close(self) -> None:
        """Drop what is kept, at the end of the request.

        The tracebacks of a request that failed keep its objects alive until the
        garbage collector finds them.
        """
        self._blocks.clear()

    def _enough(self) -> int:
        """Bytes to keep now, one more if the body may end at that many."""
        kept_bytes = self._kept_bytes
        if self._held.budget.is_short:
            kept_bytes = min(kept_bytes, KEPT_BYTES)
        is_long = self.length is not None and self.length > kept_bytes
        return kept_bytes + (not is_long)

    def _check_held(self, size: int) -> None:
        """Raise `RefusedError` if the budget has no room for so much."""
        if not self.can_replay and self._held.budget.is_full:
            self._held.budget.check_room(size)


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
