"""Stored form of at-most-once records."""

import base64
import enum
import hashlib
import json
from typing import Any

import attrs

from nutmegshore.errors import ErrorKind, RequestError

__all__ = (
    'RecordState',
    'RecordedAnswer',
    'OnceRecord',
    'parse_record',
    'record_key',
    'write_record',
)

RECORD_PREFIX = 'once/'

#: Hex digits of a record's name that form its key prefix. They spread the
#: records over 256 prefixes, so that a sweep reads them slice by slice.
PREFIX_HEX_DIGITS = 2

_KEY_BYTES = 20


class RecordState(enum.Enum):
    """Progress of the request of a record."""

    STARTED = 'started'
    DONE = 'done'
    NOT_RUN = 'not_run'


@attrs.frozen
class RecordedAnswer:
    """An upstream's answer as it is stored for repeats.

    `body` is None if the answer was too large to store. A repeat then learns
    that the request ran, but does not get its answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@attrs.frozen
class OnceRecord:
    """The record of one idempotency key.

    `owner` and `incarnation` name the process that may send the request.
    `created_at` is a reading of that process's wall clock in seconds; only
    the removal after a day uses it, so that clock differences do no harm.
    """

    state: RecordState
    owner: str
    incarnation: int
    request_digest: str
    created_at: float
    answer: RecordedAnswer | None = None


def record_key(service: str, caller: str, idempotency_key: str) -> str:
    """Return the platform key of a caller's idempotency key at a service."""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in (service, caller, idempotency_key):
        encoded = part.encode()
        # The length prefix keeps ('a', 'bc') and ('ab', 'c') distinct.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    name = digest.hexdigest()
    slice_name = name[:PREFIX_HEX_DIGITS]
    return f'{RECORD_PREFIX}{slice_name}/{name}'


def write_record(record: OnceRecord) -> bytes:
    """Encode a record as JSON."""
    fields = attrs.asdict(record)
    fields['state'] = record.state.value
    if record.answer and record.answer.body is not None:
        body = base64.b64encode(record.answer.body).decode()
        fields['answer']['body'] = body
    return json.dumps(fields, sort_keys=True).encode()


def parse_record(body: bytes) -> OnceRecord:
    """Decode a record.

    Raises `RequestError` with `OUTCOME_UNKNOWN` for one that is unreadable.
    """
    try:
        return _parse_fields(json.loads(body))
    except (KeyError, TypeError, ValueError) as failure:
        raise RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            'unreadable at-most-once record',
        ) from failure


def _parse_fields(fields: dict[str, Any]) -> OnceRecord:
    state = RecordState(fields.pop('state'))
    answer = fields.pop('answer')
    if answer is not None:
        answer = _parse_answer(answer)
    return OnceRecord(state=state, answer=answer, **fields)


def _parse_answer(fields: dict[str, Any]) -> RecordedAnswer:
    body = fields['body']
    headers = tuple((name, value) for name, value in fields['headers'])
    return RecordedAnswer(
        status=int(fields['status']),
        headers=headers,
        body=None if body is None else base64.b64decode(body),
    )
