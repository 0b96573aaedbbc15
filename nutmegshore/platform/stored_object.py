"""Parser of one object of the platform's store."""

from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.platform import fields
from nutmegshore.platform.json_reader import (
    find_unreadable,
    mark_unreadable,
    write_json,
)
from nutmegshore.store.base import StoredObject

__all__ = (
    'BODY',
    'OBJECT_LEVELS',
    'OPERATION',
    'UNKNOWN_REVISION',
    'parse_object',
)

#: Levels of an object whose parts are read apart: the object, its metadata.
OBJECT_LEVELS = 2

#: Fields around each body that this system's client writes: the operation id
#: identifies a write whose answer was lost.
OPERATION = 'operation'
BODY = 'body'
#: Version of an object whose revision cannot be read.
UNKNOWN_REVISION = 0
_SPEC = 'Spec'
_STATUS = 'Status'
_REVISION = 'Revision'
_CREATED_AT = 'CreatedAt'
_MAX_UID_CHARS = 64


def parse_object(kind: str, raw: Any, era: int) -> StoredObject:
    """Parse one object as `read_parts` returned it, from an answer of an era.

    An object that cannot be read gets a body that says why, so that whoever
    reads it rejects it under its own name. Raises
    `PlatformFormatError` if not even the name can be read.
    """
    if not isinstance(raw, dict):
        raise PlatformFormatError('not a JSON object')
    metadata = fields.read_object(raw, 'Metadata')
    key = f'{kind}/{fields.read_name(metadata, "Name")}'
    try:
        return _parse_named(key, raw, metadata, era)
    except PlatformFormatError as failure:
        body = mark_unreadable(str(failure))
        revision = _find_revision(metadata)
        return StoredObject(key, body, '', revision, '', era)


def _parse_named(
    key: str, raw: dict[str, Any], metadata: dict[str, Any], era: int
) -> StoredObject:
    fault = find_unreadable(raw, OBJECT_LEVELS)
    if fault:
        raise PlatformFormatError(fault)
    spec = raw.get(_SPEC)
    is_own = isinstance(spec, dict) and set(spec) == {OPERATION, BODY}
    body = spec[BODY] if is_own else {_SPEC: spec, _STATUS: raw.get(_STATUS)}
    return StoredObject(
        key=key,
        body=write_json(body),
        uid=_read_uid(metadata),
        version=fields.read_integer(metadata, _REVISION),
        operation=fields.read_string(spec, OPERATION) if is_own else '',
        era=era,
    )


def _find_revision(metadata: dict[str, Any]) -> int:
    try:
        return fields.read_integer(metadata, _REVISION)
    except PlatformFormatError:
        return UNKNOWN_REVISION


def _read_uid(metadata: dict[str, Any]) -> str:
    """Return when the object was created, in any form; '' if unknown."""
    raw = metadata.get(_CREATED_AT, '')
    if isinstance(raw, str):
        return raw[:_MAX_UID_CHARS]
    if raw is None or isinstance(raw, float):
        return str(raw)
    return str(fields.read_integer(metadata, _CREATED_AT))
