"""Headers that callers, the system and upstreams exchange."""

import attrs

from nutmegshore.errors import ErrorKind
from nutmegshore.listener import RequestHead
from nutmegshore.upstreams import (
    AnswerHead,
    Dialect,
    Headers,
    UpstreamRequest,
)

__all__ = (
    'RETRY_AFTER',
    'CallerFields',
    'PlatformDialect',
    'read_caller_fields',
    'read_load',
    'write_caller_headers',
    'write_expected_instance',
)

RETRY_AFTER = 'Retry-After'

_REQUEST_ID = 'request-id'
_AFFINITY = 'affinity-key'
_DEADLINE = 'deadline-ms'
_EXPECTED = 'Expect-Instance'
_STAMP = 'server-stamp'
_NOT_RUN = 'not-run'
_LOAD = 'server-load'
_INSTANCE_ELSEWHERE = 421
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_MAX_DEADLINE_DIGITS = 9
_LOAD_FIELDS = 3
#: Headers of a request that the system sets anew or that callers may not set.
_OWN = frozenset((_DEADLINE, _EXPECTED.lower()))


@attrs.frozen
class CallerFields:
    """What a caller's headers say; no deadline: `remaining_ms` is None."""

    request_id: str
    affinity_key: str
    remaining_ms: int | None


def read_caller_fields(head: RequestHead) -> CallerFields:
    """Read the headers of a request; an unreadable deadline counts as none."""
    raw = head.get(_DEADLINE)
    is_number = raw.isascii() and raw.isdecimal()
    is_known = is_number and len(raw) <= _MAX_DEADLINE_DIGITS
    return CallerFields(
        head.get(_REQUEST_ID),
        head.get(_AFFINITY),
        int(raw) if is_known else None,
    )


def write_caller_headers(headers: Headers) -> Headers:
    """Headers of a caller that go on to the upstream."""
    return tuple(pair for pair in headers if pair[0].lower() not in _OWN)


def write_expected_instance(instance: str) -> Headers:
    """Header by which another instance at the address refuses."""
    return ((_EXPECTED, instance),)


def read_load(head: AnswerHead) -> int | None:
    """Requests that run and wait at an upstream, if its answer tells."""
    parts = head.fields.get(_LOAD, '').split(',')
    is_load = len(parts) == _LOAD_FIELDS
    if not is_load or not all(part.strip().isdecimal() for part in parts):
        return None
    return int(parts[0]) + int(parts[1])


class PlatformDialect(Dialect):
    """Headers between the system and the users' upstreams."""

    accepts_unframed = True

    def request_headers(
        self,
        request: UpstreamRequest,
        remaining_ms: int,
    ) -> Headers:
        """The time that is left; the caller's request id goes on as it is."""
        return (('Deadline-Ms', str(remaining_ms)),)

    def read_refusal(self, head: AnswerHead) -> ErrorKind | None:
        """Why the upstream, or another at its address, did not run it."""
        if head.status == _INSTANCE_ELSEWHERE:
            return ErrorKind.UPSTREAM_MOVED
        return ErrorKind.UPSTREAM_REFUSED if _NOT_RUN in head.fields else None

    def is_answer_to(self, head: AnswerHead, request_id: str) -> bool:
        """Whether this is an upstream's unaltered answer to the request.

        A late second answer to an earlier request has that one's id.
        """
        named = head.fields.get(_REQUEST_ID)
        if named != request_id or 'content-encoding' in head.fields:
            return False
        is_success = _FIRST_SUCCESS <= head.status < _FIRST_REDIRECT
        return not is_success or _STAMP in head.fields

    def read_report(self, head: AnswerHead) -> tuple[bool, int | None] | None:
        """Busy slots that an answer reports; leaving is registered only."""
        load = read_load(head)
        return None if load is None else (False, load)
