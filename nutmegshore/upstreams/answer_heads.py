"""Heads of answers, read line by line."""

import re

from nutmegshore.http1 import parse_field_line
from nutmegshore.upstreams.base import AnswerHead, Headers
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer

__all__ = ('MAX_HEAD_BYTES', 'AnswerHeads')

#: Bytes of an answer's heads and trailers together, interim heads included.
MAX_HEAD_BYTES = 131_072
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_STATUS_LINE = re.compile(
    r'HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?'
)
#: Zeros before a length do not change it.
_LENGTH = re.compile('0*([0-9]{1,18})')
_BLANKS = ' \t'


class AnswerHeads:
    r"""Reads the lines of an answer's heads up to the final one.

    `size` is the number of bytes of all heads and trailers that have come, and
    `final` the head that is not an interim one, None before its end.
    `is_chunked` says that it announces chunks. Lines are read by RFC 9112; one
    that ends in a line feed alone is taken.

        heads.add_line(b'HTTP/1.1 200 OK\r\n')
    """

    def __init__(self) -> None:
        """Start before the first line."""
        self.size = 0
        self.final: AnswerHead | None = None
        self.is_chunked = False
        self._lines: list[str] = []

    def add_line(self, raw: bytes) -> None:
        """Add a line of a head; raises `MalformedAnswer` if it is none.

        Lines after the final head are trailers, and only counted.
        """
        self.size += len(raw)
        if self.size > MAX_HEAD_BYTES:
            raise MalformedAnswer(AnswerFault.HEAD_SIZE)
        # libcurl takes a head for complete that breaks off in its last line
        # end. Without a length, the answer would be an empty success.
        if self.final is not None or not raw.endswith(b'\n'):
            return
        line = raw.decode('latin-1').removesuffix('\n').removesuffix('\r')
        if line:
            self._lines.append(line)
            return
        head = _parse_head(self._lines)
        self._lines = []
        if head.status >= _FIRST_FINAL_STATUS:
            self.final = head
            self.is_chunked = 'transfer-encoding' in head.fields


def _parse_head(lines: list[str]) -> AnswerHead:
    start, *fields = lines or ('',)
    found = _STATUS_LINE.fullmatch(start)
    if found is None:
        raise MalformedAnswer(AnswerFault.STATUS_LINE, start)
    minor, status = map(int, found.groups())
    if status == _SWITCHING_PROTOCOLS:
        raise MalformedAnswer(AnswerFault.PROTOCOL_SWITCH, start)
    headers = tuple(_parse_field(line) for line in fields)
    return AnswerHead(status, _check_framing(headers, minor))


def _parse_field(line: str) -> tuple[str, str]:
    found = parse_field_line(line)
    if found is None:
        # What follows the name may be a customer's.
        name = line.partition(':')[0]
        raise MalformedAnswer(AnswerFault.FIELD_LINE, name or line)
    return found


def _check_framing(headers: Headers, minor: int) -> Headers:
    """Return the headers with one number in place of equal lengths."""
    codings = _texts(headers, 'transfer-encoding')
    lengths = _texts(headers, 'content-length')
    if codings:
        _check_codings(codings, minor)
    if codings and lengths:
        raise MalformedAnswer(AnswerFault.LENGTH, 'beside a coding')
    if not lengths:
        return headers
    length = _parse_length(lengths)
    others = tuple(
        field for field in headers if field[0].lower() != 'content-length'
    )
    return (*others, ('Content-Length', str(length)))


def _texts(headers: Headers, name: str) -> list[str]:
    return [text for found, text in headers if found.lower() == name]


def _check_codings(codings: list[str], minor: int) -> None:
    coding = ', '.join(codings)
    if coding.lower() != 'chunked' or not minor:
        raise MalformedAnswer(AnswerFault.CODING, coding)


def _parse_length(texts: list[str]) -> int:
    joined = ','.join(texts)
    found = [
        _LENGTH.fullmatch(text.strip(_BLANKS)) for text in joined.split(',')
    ]
    if not all(found):
        raise MalformedAnswer(AnswerFault.LENGTH, joined)
    lengths = {int(length.group(1)) for length in found}
    if len(lengths) > 1:
        raise MalformedAnswer(AnswerFault.LENGTH, joined)
    return lengths.pop()
