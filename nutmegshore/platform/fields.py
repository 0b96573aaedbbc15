"""Type-checked access to fields of the platform's JSON objects.

Each reader raises `PlatformFormatError` for a field of another type.
"""

import math
from typing import Any

from nutmegshore.errors import PlatformFormatError

__all__ = (
    'read_boolean',
    'read_integer',
    'read_number',
    'read_object',
    'read_string',
    'read_strings',
)

_JsonObject = dict[str, Any]
#: Characters of an invalid value that an error message quotes.
_MAX_EXCERPT = 60


def read_object(fields: _JsonObject, name: str) -> _JsonObject:
    """Return a JSON object; empty if absent or null."""
    raw = fields.get(name)
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise _invalid_field(name, raw)
    return raw


def read_string(fields: _JsonObject, name: str) -> str:
    """Return a required, non-empty string."""
    raw = fields.get(name)
    if not (isinstance(raw, str) and raw):
        raise _invalid_field(name, raw)
    return raw


def read_strings(fields: _JsonObject, name: str) -> tuple[str, ...]:
    """Return a list of strings; empty if absent or null."""
    raw = fields.get(name) or []
    is_list = isinstance(raw, list)
    if not (is_list and all(isinstance(entry, str) for entry in raw)):
        raise _invalid_field(name, raw)
    return tuple(raw)


def read_number(
    fields: _JsonObject,
    name: str,
    default: float | None = None,
) -> float:
    """Return a finite number, 0 or more; required without a default."""
    raw = fields.get(name, default)
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    if not (is_number and math.isfinite(raw) and raw >= 0):
        raise _invalid_field(name, raw)
    return raw


def read_integer(
    fields: _JsonObject,
    name: str,
    default: int | None = None,
) -> int:
    """Return an integer, 0 or more; required without a default."""
    raw = read_number(fields, name, default)
    if raw != int(raw):
        raise _invalid_field(name, raw)
    return int(raw)


def read_boolean(fields: _JsonObject, name: str) -> bool:
    """Return a boolean; False if absent."""
    raw = fields.get(name, False)
    if not isinstance(raw, bool):
        raise _invalid_field(name, raw)
    return raw


def _invalid_field(name: str, raw: object) -> PlatformFormatError:
    excerpt = repr(raw)[:_MAX_EXCERPT]
    return PlatformFormatError(f'{name}: {excerpt}')
