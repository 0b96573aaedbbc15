"""Type-checked access to fields of the platform's JSON objects.

Each reader raises `PlatformFormatError` for a field of another type.
"""

from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.platform.json_reader import Unreadable

__all__ = (
    'read_boolean',
    'read_integer',
    'read_name',
    'read_names',
    'read_number',
    'read_object',
    'read_objects',
    'read_string',
    'read_strings',
)

_JsonObject = dict[str, Any]
#: Characters of an invalid value that an error message quotes.
_MAX_EXCERPT = 60
_MAX_NAME_CHARS = 256
_MAX_TEXT_CHARS = 4096
_EXACT_BITS = 53
#: Largest number that floats and integers of all writers represent exactly.
_MAX_NUMBER = 2**_EXACT_BITS


def read_object(fields: _JsonObject, name: str) -> _JsonObject:
    """Return a JSON object; empty if absent or null."""
    raw = fields.get(name)
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise _invalid_field(name, raw)
    return raw


def read_objects(fields: _JsonObject, name: str) -> tuple[_JsonObject, ...]:
    """Return a list of JSON objects; empty if absent or null."""
    raw = fields.get(name) or []
    is_list = isinstance(raw, list)
    if not (is_list and all(isinstance(entry, dict) for entry in raw)):
        raise _invalid_field(name, raw)
    return tuple(raw)


def read_names(fields: _JsonObject) -> tuple[str, ...]:
    """Return the keys of a table, each of them a printable string."""
    for name in fields:
        if not (_is_text(name) and name):
            raise _invalid_field('name', name)
    return tuple(fields)


def read_string(fields: _JsonObject, name: str) -> str:
    """Return a required string of 1 to 4096 printable characters."""
    raw = fields.get(name)
    if not (_is_text(raw) and raw):
        raise _invalid_field(name, raw)
    return raw


def read_name(fields: _JsonObject, name: str) -> str:
    """Return a required name: a short string without slashes."""
    raw = read_string(fields, name)
    if len(raw) > _MAX_NAME_CHARS or '/' in raw:
        raise _invalid_field(name, raw)
    return raw


def read_strings(fields: _JsonObject, name: str) -> tuple[str, ...]:
    """Return a list of strings; empty if absent or null."""
    raw = fields.get(name) or []
    is_list = isinstance(raw, list)
    if not (is_list and all(_is_text(entry) for entry in raw)):
        raise _invalid_field(name, raw)
    return tuple(raw)


def read_number(
    fields: _JsonObject,
    name: str,
    default: float | None = None,
    most: float = _MAX_NUMBER,
) -> float:
    """Return a number from 0 to `most`; required without a default."""
    raw = fields.get(name, default)
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    if not (is_number and 0 <= raw <= most):
        raise _invalid_field(name, raw)
    return raw


def read_integer(
    fields: _JsonObject,
    name: str,
    default: int | None = None,
    most: int = _MAX_NUMBER,
) -> int:
    """Return an integer from 0 to `most`; required without a default."""
    raw = read_number(fields, name, default, most)
    if raw != int(raw):
        raise _invalid_field(name, raw)
    return int(raw)


def read_boolean(fields: _JsonObject, name: str) -> bool:
    """Return a boolean; False if absent."""
    raw = fields.get(name, False)
    if not isinstance(raw, bool):
        raise _invalid_field(name, raw)
    return raw


def _is_text(raw: object) -> bool:
    """Whether this is a string that headers, messages and logs may carry."""
    is_short = isinstance(raw, str) and len(raw) <= _MAX_TEXT_CHARS
    return is_short and raw.isprintable()


def _invalid_field(name: str, raw: object) -> PlatformFormatError:
    return PlatformFormatError(f'{name}: {_excerpt(raw)}')


def _excerpt(raw: object) -> str:
    """Describe an invalid value, whatever its size."""
    if isinstance(raw, Unreadable):
        return raw.reason
    if isinstance(raw, str):
        return repr(raw[:_MAX_EXCERPT])
    if isinstance(raw, dict | list):
        return 'an object' if isinstance(raw, dict) else 'an array'
    if isinstance(raw, int) and abs(raw) > _MAX_NUMBER:
        return 'a number beyond 2**53'
    return repr(raw)
