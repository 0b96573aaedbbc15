"""At-most-once records as the platform keeps them."""

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

#: Records are spread over this many key prefixes, so that a sweep can read
#: them in slices.
PREFIX_LETTERS = 2

_KEY_BYTES = 20


class RecordState(enum.Enum):
    """How far the request of a record has come."""

    STARTED = 'started'
    DONE = 'done'
    NOT_RUN = 'not_run'


@attrs.frozen
class RecordedAnswer:
    """An upstream's answer as it is kept for repeats.

    `body` is None where the answer was too large to keep; a repeat then
    learns that the request ran, but not what was answered.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@attrs.frozen
class OnceRecord:
    """The record of one idempotency key.

    `owner` and `incarnation` name the process that may send the request, and
    `created_at` is its wall clock in seconds, used only for removal after
    many hours.
    """

    state: RecordState
    owner: str
    incarnation: int
    request_digest: str
    created_at: float
    answer: RecordedAnswer | None = None


def record_key(service: str, caller: str, idempotency_key: str) -> str:
    """Platform key of the record for one key of one caller and service."""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in (service, caller, idempotency_key):
        encoded = part.encode()
        # The length keeps ('a', 'bc') and ('ab', 'c') apart.
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    name = digest.hexdigest()
    slice_name = name[:PREFIX_LETTERS]
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
    """Decode a record; one that cannot be read counts as unknown."""
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
