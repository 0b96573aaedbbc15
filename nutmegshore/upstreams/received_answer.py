"""What has come of an answer."""

import pycurl

from nutmegshore.upstreams.answer_heads import AnswerHeads
from nutmegshore.upstreams.base import AnswerHead
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
    the answer is read, and there is no `head`.
    """

    def __init__(self) -> None:
        """Start before the first byte."""
        self.heads = AnswerHeads()
        self.malformed: MalformedAnswer | None = None

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

    def end(self, error: int, message: str) -> int:
        """Check the answer's end; returns libcurl's error, or one of our own.

        `message` is libcurl's text for its error.
        """
        if self.malformed is None and error in _UNREADABLE:
            self.malformed = MalformedAnswer(AnswerFault.UNREADABLE, message)
        if self.malformed is None:
            return error
        return error or pycurl.E_PARTIAL_FILE
