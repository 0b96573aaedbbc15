"""Rules for the head of a caller's request and of an answer."""

import re
from collections.abc import Iterable

import attrs

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.http1 import TOKEN, is_field, parse_field_line
from nutmegshore.upstreams import Headers

__all__ = (
    'DEADLINE',
    'IDEMPOTENCY_KEY',
    'SERVICE',
    'RequestHead',
    'answer_headers',
    'named_service',
    'parse_head',
    'read_body_length',
    'read_deadline_ms',
    'upstream_headers',
)

SERVICE = 'nutmegshore-service'
DEADLINE = 'nutmegshore-deadline-ms'
IDEMPOTENCY_KEY = 'idempotency-key'

_INTERNAL_PREFIX = 'nutmegshore-'
_FROM_CALLERS = frozenset((SERVICE, DEADLINE))
#: Headers that change what we do, so that two of them are ambiguous.
_AT_MOST_ONCE = (SERVICE, DEADLINE, IDEMPOTENCY_KEY, 'host', 'expect')
_METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS'),
)
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Set anew for each hop: the address, the framing and the interim answer.
_SET_PER_HOP = frozenset(('host', 'content-length', 'expect'))
_MAX_DEADLINE_MS = 3_600_000
_MAX_LENGTH_DIGITS = 18

_START_LINE = re.compile(rf'({TOKEN}) (/[!-~]*) HTTP/1\.([01])')
_DIGITS = re.compile('[0-9]+')


@attrs.frozen
class RequestHead:
    """Start line and headers of a request; HTTP/1.`minor_version`."""

    method: str
    target: str
    minor_version: int
    headers: Headers

    def get(self, name: str) -> str:
        """Text of the first header with this lower-case name, or empty."""
        return next(iter(self.get_all(name)), '')

    def get_all(self, name: str) -> list[str]:
        """Texts of all headers with this lower-case name."""
        return [text for found, text in self.headers if found.lower() == name]

    @property
    def path(self) -> str:
        """Target up to its query.

        The target of a request is no URL: `//a` is a path, and names no host.
        """
        return self.target.partition('?')[0]

    @property
    def query(self) -> str:
        """What follows the path in the target, without the question mark."""
        return self.target.partition('?')[2]

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller's connection may serve another request."""
        return bool(self.minor_version) and 'close' not in _connection_names(
            self.headers,
        )


def parse_head(raw: bytes) -> RequestHead:
    r"""Check and split a head without the blank line at its end.

    Lines end in `\r\n` only; a bare line feed, a folded line or a blank before
    the colon is refused, because another parser may read it differently.

        parse_head(b'GET /orders/1 HTTP/1.1\r\nHost: a').target  # '/orders/1'
    """
    start, *lines = raw.decode('latin-1').split('\r\n')
    found = _START_LINE.fullmatch(start)
    if found is None or found.group(1) not in _METHODS:
        raise _malformed('start line')
    method, target, minor_version = found.groups()
    headers = tuple(_parse_field(line) for line in lines)
    head = RequestHead(method, target, int(minor_version), headers)
    _check_head(head)
    return head


def read_body_length(head: RequestHead) -> int | None:
    """Bytes of the body, 0 if there is none, or None if it is chunked."""
    codings = head.get_all('transfer-encoding')
    lengths = head.get_all('content-length')
    if len(codings) + len(lengths) > 1:
        raise RequestError(ErrorKind.AMBIGUOUS_LENGTH, 'several lengths')
    if codings:
        _check_coding(head, codings[0])
        return None
    length = lengths[0] if lengths else '0'
    is_number = _DIGITS.fullmatch(length) is not None
    if not is_number or len(length) > _MAX_LENGTH_DIGITS:
        raise _malformed('Content-Length')
    return int(length)


def read_deadline_ms(head: RequestHead) -> int | None:
    """Milliseconds that the caller still waits, or None if it says none."""
    raw = head.get(DEADLINE)
    if not head.get_all(DEADLINE):
        return None
    is_number = _DIGITS.fullmatch(raw) is not None
    if not is_number or len(raw) > _MAX_LENGTH_DIGITS:
        raise _malformed('deadline')
    return min(int(raw), _MAX_DEADLINE_MS)


def named_service(head: RequestHead) -> str:
    """The service that the header names, or else the first path segment."""
    segments = head.path.split('/', maxsplit=2)
    return head.get(SERVICE) or segments[1]


def upstream_headers(headers: Headers) -> Headers:
    """Headers of a caller's request that go to the upstream."""
    return _end_to_end(headers)


def answer_headers(headers: Headers) -> Headers:
    """Headers of an upstream's answer that go to the caller.

    One that no caller could read, such as one without a name, is left out.
    """
    return tuple(
        (name, text)
        for name, text in _end_to_end(headers)
        if is_field(name, text)
    )


def _end_to_end(headers: Headers) -> Headers:
    dropped = _HOP_BY_HOP | _SET_PER_HOP | _connection_names(headers)
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in dropped
        and not name.lower().startswith(_INTERNAL_PREFIX)
    )


def _connection_names(headers: Headers) -> frozenset[str]:
    lists = (
        text.split(',')
        for name, text in headers
        if name.lower() == 'connection'
    )
    return frozenset(name.strip().lower() for names in lists for name in names)


def _parse_field(line: str) -> tuple[str, str]:
    found = parse_field_line(line)
    if found is None:
        raise _malformed('header line')
    return found


def _check_head(head: RequestHead) -> None:
    names = [name.lower() for name, _ in head.headers]
    _check_internal(names)
    read_deadline_ms(head)
    has_body = read_body_length(head) != 0
    expectation = head.get('expect').lower()
    faults = (
        ('repeated header', any(names.count(one) > 1 for one in _AT_MOST_ONCE)),
        ('no Host', head.minor_version and 'host' not in names),
        ('Expect', expectation not in {'', '100-continue'}),
        ('HEAD with a body', has_body and head.method == 'HEAD'),
    )
    for fault, is_found in faults:
        if is_found:
            raise _malformed(fault)


def _check_internal(names: Iterable[str]) -> None:
    for name in names:
        is_internal = name.startswith(_INTERNAL_PREFIX)
        if is_internal and name not in _FROM_CALLERS:
            raise RequestError(ErrorKind.INTERNAL_HEADER, name)


def _check_coding(head: RequestHead, coding: str) -> None:
    if coding.lower() != 'chunked' or not head.minor_version:
        raise _malformed('Transfer-Encoding')


def _malformed(what: str) -> RequestError:
    return RequestError(ErrorKind.MALFORMED_REQUEST, what)
