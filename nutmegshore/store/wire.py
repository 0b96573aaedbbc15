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
    'parse_changes',
    'parse_expected',
    'parse_instance',
    'parse_instances',
    'parse_page',
    'parse_present',
    'parse_stored',
    'write_changes',
    'write_expected',
    'write_instance',
    'write_page',
    'write_stored',
)

IF_MATCH = 'If-Match'
IF_NONE_MATCH = 'If-None-Match'
OPERATION = 'Operation-Id'
#: The platform sends this with a 503 when the write took no effect.
NOT_APPLIED = 'Not-Applied'

#: What the parsers raise for an answer that is not of their form.
MALFORMED = (ValueError, TypeError, LookupError)

_SEPARATOR = ':'


def write_stored(stored: StoredObject) -> dict[str, Any]:
    """JSON form of a stored object; the body is base64."""
    fields = attrs.asdict(stored)
    fields['body'] = base64.b64encode(stored.body).decode()
    return fields


def parse_stored(fields: dict[str, Any]) -> StoredObject:
    """Read a stored object from its JSON form."""
    body = base64.b64decode(fields['body'])
    return StoredObject(**{**fields, 'body': body})


def parse_present(fields: dict[str, Any] | None) -> StoredObject | None:
    """Read the object that a conflict names, None where it is missing."""
    return parse_stored(fields) if fields else None


def write_page(page: ListingPage) -> dict[str, Any]:
    """JSON form of a part of a listing."""
    listed = [write_stored(stored) for stored in page.listed]
    return {'objects': listed, 'after': page.after}


def parse_page(fields: dict[str, Any]) -> ListingPage:
    """Read a part of a listing."""
    listed = tuple(parse_stored(stored) for stored in fields['objects'])
    return ListingPage(listed, fields['after'])


def write_expected(expected: Expected) -> str:
    """Header value of a write's condition."""
    return f'{expected.uid}{_SEPARATOR}{expected.version}'


def parse_expected(text: str) -> Expected:
    """Read a condition; raises ValueError for a malformed one."""
    uid, _, version = text.rpartition(_SEPARATOR)
    return Expected(uid, int(version))


def write_changes(changes: Changes) -> dict[str, Any]:
    """JSON form of what a watch delivered."""
    return {
        'position': changes.position,
        'changes': [_write_change(change) for change in changes.changes],
    }


def parse_changes(fields: dict[str, Any]) -> Changes:
    """Read what a watch delivered."""
    parsed = tuple(_parse_change(change) for change in fields['changes'])
    return Changes(fields['position'], parsed)


def write_instance(listed: ListedInstance) -> dict[str, Any]:
    """JSON form of a listed instance."""
    return attrs.asdict(listed)


def parse_instance(fields: dict[str, Any]) -> ListedInstance:
    """Read a listed instance."""
    return ListedInstance(**fields)


def parse_instances(listed: list[dict[str, Any]]) -> list[ListedInstance]:
    """Read a list of instances."""
    return [parse_instance(fields) for fields in listed]


def _write_change(change: Change) -> dict[str, Any]:
    stored = write_stored(change.stored) if change.stored else None
    return {'key': change.key, 'stored': stored}


def _parse_change(fields: dict[str, Any]) -> Change:
    stored = parse_stored(fields['stored']) if fields['stored'] else None
    return Change(fields['key'], stored)
