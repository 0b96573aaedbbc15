"""What has come of an answer."""

import pycurl

from nutmegshore.upstreams.answer_heads import AnswerHeads
from nutmegshore.upstreams.base import AnswerHead
from nutmegshore.upstreams.chunked_body import ChunkedBody
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer

__all__ = ('ReceivedAnswer',)

#: CURLE_TOO_LARGE, which pycurl does not name.
_E_TOO_LARGE = 100
#: libcurl's errors for an answer that it cannot read.
_UNREADABLE = frozenset(
    (
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_BAD_CONTENT_ENCODING,
        _E_TOO_LARGE,
    )
)


class ReceivedAnswer:
    """Checks an answer while libcurl receives it.

    `malformed` is the first fault found, or None. After one, nothing else of
    the answer is read: there is no `head`, and `decode` returns nothing.
    """

    def __init__(self) -> None:
        """Start before the first byte."""
        self.heads = AnswerHeads()
        self.malformed: MalformedAnswer | None = None
        self._chunked: ChunkedBody | None = None

    @property
    def head(self) -> AnswerHead | None:
        """The final head, or None before its end or if it is malformed."""
        return None if self.malformed else self.heads.final

    def add_line(self, raw: bytes) -> bool:
        """Add a line of a head or trailer; False if it is malformed."""
        try:
            self.heads.add_line(raw)
        except MalformedAnswer as malformed:
            self.malformed = malformed
        return self.malformed is None

    def decode(self, received: bytes) -> bytes:
        """Return what received bytes hold of the body."""
        if not self.heads.is_chunked:
            return received
        if self._chunked is None:
            self._chunked = ChunkedBody()
        try:
            return self._chunked.decode(received)
        except MalformedAnswer as malformed:
            self.malformed = malformed
        return b''

    @property
    def has_surplus(self) -> bool:
        """Whether bytes that are no part of the answer came after it.

        Such a connection cannot serve another request.
        """
        return self._chunked is not None and self._chunked.has_surplus

    def end(self, error: int, message: str) -> int:
        """Check the answer's end; returns libcurl's error, or one of our own.

        `message` is libcurl's text for its error.
        """
        if self.malformed is None:
            self.malformed = self._find_fault_at_end(error, message)
        if self.malformed is not None:
            return error or pycurl.E_PARTIAL_FILE
        return 0 if self.has_surplus else error

    def _find_fault_at_end(
        self, error: int, message: str
    ) -> MalformedAnswer | None:
        if error in _UNREADABLE:
            return MalformedAnswer(AnswerFault.UNREADABLE, message)
        # Answers to HEAD, 204 and 304 have no body, whatever the head says.
        if error or self._chunked is None or self._chunked.is_ended:
            return None
        return MalformedAnswer(AnswerFault.CHUNK, 'no last chunk')
