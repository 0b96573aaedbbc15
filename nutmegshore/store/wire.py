"""JSON forms of the platform's object API."""

import base64
from typing import Any

import attrs

from nutmegshore.store.base import (
    Change,
    Changes,
    Expected,
    ListedInstance,
    ListingPage,
    StoredObject,
)

__all__ = (
    'IF_MATCH',
    'IF_NONE_MATCH',
    'MALFORMED',
    'NOT_APPLIED',
    'OPERATION',
    'encode_changes',
    'encode_expected',
    'encode_instance',
    'encode_page',
    'encode_stored',
    'parse_changes',
    'parse_expected',
    'parse_instance',
    'parse_instances',
    'parse_page',
    'parse_present',
    'parse_stored',
)

IF_MATCH = 'If-Match'
IF_NONE_MATCH = 'If-None-Match'
OPERATION = 'Operation-Id'
#: Sent with a 503 if the write had no effect.
NOT_APPLIED = 'Not-Applied'

#: Exceptions that the parsers raise for a malformed answer.
MALFORMED = (ValueError, TypeError, LookupError)

_SEPARATOR = ':'
#: This store is never restored, so that its objects have no era.
_NOT_IN_JSON = attrs.filters.exclude(attrs.fields(StoredObject).era)


def encode_stored(stored: StoredObject) -> dict[str, Any]:
    """Encode a stored object as JSON fields, with a base64 body."""
    fields = attrs.asdict(stored, filter=_NOT_IN_JSON)
    fields['body'] = base64.b64encode(stored.body).decode()
    return fields


def parse_stored(fields: dict[str, Any]) -> StoredObject:
    """Parse a stored object from its JSON fields."""
    body = base64.b64decode(fields['body'])
    return StoredObject(**{**fields, 'body': body})


def parse_present(fields: dict[str, Any] | None) -> StoredObject | None:
    """Parse the object in a conflict; None if it does not exist."""
    return parse_stored(fields) if fields else None


def encode_page(page: ListingPage) -> dict[str, Any]:
    """Encode a page of a listing as JSON fields."""
    listed = [encode_stored(stored) for stored in page.listed]
    return {'objects': listed, 'after': page.after}


def parse_page(fields: dict[str, Any]) -> ListingPage:
    """Parse a page of a listing."""
    listed = tuple(parse_stored(stored) for stored in fields['objects'])
    return ListingPage(listed, fields['after'])


def encode_expected(expected: Expected) -> str:
    """Encode the condition of a write as a header value."""
    return f'{expected.uid}{_SEPARATOR}{expected.version}'


def parse_expected(text: str) -> Expected:
    """Parse a condition; raises ValueError if it is malformed."""
    uid, _, version = text.rpartition(_SEPARATOR)
    return Expected(uid, int(version))


def encode_changes(changes: Changes) -> dict[str, Any]:
    """Encode the result of a watch as JSON fields."""
    return {
        'position': changes.position,
        'changes': [_encode_change(change) for change in changes.changes],
    }


def parse_changes(fields: dict[str, Any]) -> Changes:
    """Parse the result of a watch."""
    parsed = tuple(_parse_change(change) for change in fields['changes'])
    return Changes(fields['position'], parsed)


def encode_instance(listed: ListedInstance) -> dict[str, Any]:
    """Encode a listed instance as JSON fields."""
    return attrs.asdict(listed)


def parse_instance(fields: dict[str, Any]) -> ListedInstance:
    """Parse a listed instance."""
    return ListedInstance(**fields)


def parse_instances(listed: list[dict[str, Any]]) -> list[ListedInstance]:
    """Parse a list of instances."""
    return [parse_instance(fields) for fields in listed]


def _encode_change(change: Change) -> dict[str, Any]:
    stored = encode_stored(change.stored) if change.stored else None
    return {'key': change.key, 'stored': stored}


def _parse_change(fields: dict[str, Any]) -> Change:
    stored = parse_stored(fields['stored']) if fields['stored'] else None
    return Change(fields['key'], stored)
