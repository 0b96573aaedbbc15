"""Decoding of chunked bodies."""

import re

from nutmegshore.errors import ErrorKind, RequestError

__all__ = ('ChunkDecoder', 'MalformedChunk')

_LINE_END = b'\r\n'
#: A chunk's size line with its extensions; longer ones are refused.
_MAX_SIZE_LINE_BYTES = 256
_SIZE = rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t -~]*)?'
_SIZE_LINE = re.compile(rb'%b\r\n' % _SIZE)
_START_OF_LINE = re.compile(rb'(?:%b\r?)?' % _SIZE)
_HEXADECIMAL = 16
_UNLIMITED = float('inf')


class MalformedChunk(RequestError):
    """What came is no chunk; the message names the part."""

    def __init__(self, what: str) -> None:
        """Say which part of a chunk is malformed."""
        super().__init__(ErrorKind.MALFORMED_REQUEST, what)


class ChunkDecoder:
    """Takes the data out of chunks, however many a piece holds.

    The chunks of one piece are joined, so that small ones cost no more than
    this loop. `is_ended` says that the last chunk was met; trailers follow.
    `chunks` is the number of chunks so far, including the last one.

        data, used = decoder.decode(received)
    """

    def __init__(self) -> None:
        """Expect the first size line."""
        self.is_ended = False
        self.chunks = 0
        self._most_chunks = _UNLIMITED
        self._left = 0
        self._is_after_data = False

    def decode(
        self, held: bytes, most_chunks: float = _UNLIMITED
    ) -> tuple[bytes, int]:
        """Return the data in received bytes, and how many were used.

        At most `most_chunks` further chunks are begun. Raises `MalformedChunk`
        for what is no chunk.
        """
        self._most_chunks = self.chunks + most_chunks
        found: list[bytes] = []
        at = 0
        end = self._step(held, at, found)
        while end > at:
            at = end
            end = self._step(held, at, found)
        return b''.join(found), at

    def _step(self, held: bytes, at: int, found: list[bytes]) -> int:
        """Decode the next part; returns `at` if it has not arrived."""
        if self.is_ended:
            return at
        if self._left:
            return self._take_data(held, at, found)
        if self._is_after_data:
            return self._skip_line_end(held, at)
        return self._read_size(held, at)

    def _take_data(self, held: bytes, at: int, found: list[bytes]) -> int:
        end = at + self._left
        piece = held[at:end]
        self._left -= len(piece)
        self._is_after_data = True
        found.append(piece)
        return at + len(piece)

    def _skip_line_end(self, held: bytes, at: int) -> int:
        end = at + len(_LINE_END)
        if held[at:end] == _LINE_END:
            self._is_after_data = False
            return end
        if not _LINE_END.startswith(held[at:end]):
            raise MalformedChunk('chunk end')
        return at

    def _read_size(self, held: bytes, at: int) -> int:
        if self.chunks >= self._most_chunks:
            return at
        line = _SIZE_LINE.match(held, at)
        if line is None:
            end = at + _MAX_SIZE_LINE_BYTES + len(_LINE_END)
            _check_start(held[at:end])
            return at
        if line.end() - at > _MAX_SIZE_LINE_BYTES + len(_LINE_END):
            raise MalformedChunk('chunk size')
        self.chunks += 1
        self._left = int(line.group(1), _HEXADECIMAL)
        self.is_ended = not self._left
        return line.end()


def _check_start(line: bytes) -> None:
    """Raise `MalformedChunk` for what cannot become a size line."""
    is_start = _START_OF_LINE.fullmatch(line) is not None
    if not is_start or len(line) > _MAX_SIZE_LINE_BYTES:
        raise MalformedChunk('chunk size')
