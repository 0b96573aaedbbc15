"""Bodies of answers that come in chunks."""

from nutmegshore.http1 import ChunkDecoder, MalformedChunk, parse_field_line
from nutmegshore.upstreams.answer_heads import MAX_HEAD_BYTES
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer

__all__ = ('ChunkedBody',)


class ChunkedBody:
    r"""Decodes a chunked body with its trailers, as they arrive.

    `is_ended` says whether the blank line after the trailers has come, and
    `has_surplus` whether more followed, which is no part of the body.

        body.decode(b'3\r\nabc\r\n0\r\n\r\n')  # b'abc'
    """

    def __init__(self) -> None:
        """Expect the first chunk."""
        self.is_ended = False
        self._chunks = ChunkDecoder()
        self._held = b''

    def decode(self, received: bytes) -> bytes:
        """Return the data in received bytes; raises `MalformedAnswer`."""
        held = self._held + received
        try:
            body, used = self._chunks.decode(held)
        except MalformedChunk as failure:
            fault = MalformedAnswer(AnswerFault.CHUNK, str(failure))
            raise fault from failure
        self._held = held[used:]
        if self._chunks.is_ended:
            self._read_trailers()
        return body

    @property
    def has_surplus(self) -> bool:
        """Whether bytes came after the end."""
        return self.is_ended and bool(self._held)

    def _read_trailers(self) -> None:
        line, end, left = self._held.partition(b'\n')
        while end and not self.is_ended:
            self._held = left
            self._read_trailer(line.decode('latin-1').removesuffix('\r'))
            line, end, left = self._held.partition(b'\n')
        if not self.is_ended and len(self._held) > MAX_HEAD_BYTES:
            raise MalformedAnswer(AnswerFault.HEAD_SIZE, 'trailers')

    def _read_trailer(self, line: str) -> None:
        if not line:
            self.is_ended = True
        elif parse_field_line(line) is None:
            name = line.partition(':')[0]
            raise MalformedAnswer(AnswerFault.TRAILER, name or line)
