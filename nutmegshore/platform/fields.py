"""Checked reading of fields of the platform's JSON."""

import math
from typing import Any

from nutmegshore.errors import PlatformFormatError

__all__ = (
    'read_flag',
    'read_number',
    'read_table',
    'read_text',
    'read_texts',
    'read_whole',
)

_Table = dict[str, Any]
#: Characters of a wrong value that an error shows.
_SHOWN = 60


def read_table(fields: _Table, name: str) -> _Table:
    """A table; an absent one is empty."""
    found = fields.get(name)
    if found is None:
        return {}
    if not isinstance(found, dict):
        raise _wrong(name, found)
    return found


def read_text(fields: _Table, name: str) -> str:
    """A text that is not empty."""
    found = fields.get(name)
    if not (isinstance(found, str) and found):
        raise _wrong(name, found)
    return found


def read_texts(fields: _Table, name: str) -> tuple[str, ...]:
    """A list of texts; an absent one is empty."""
    found = fields.get(name) or []
    is_list = isinstance(found, list)
    if not (is_list and all(isinstance(one, str) for one in found)):
        raise _wrong(name, found)
    return tuple(found)


def read_number(
    fields: _Table,
    name: str,
    default: float | None = None,
) -> float:
    """A finite number, 0 or more."""
    found = fields.get(name, default)
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if not (is_number and math.isfinite(found) and found >= 0):
        raise _wrong(name, found)
    return found


def read_whole(
    fields: _Table,
    name: str,
    default: int | None = None,
) -> int:
    """A whole number, 0 or more."""
    found = read_number(fields, name, default)
    if found != int(found):
        raise _wrong(name, found)
    return int(found)


def read_flag(fields: _Table, name: str) -> bool:
    """A truth value; an absent one is false."""
    found = fields.get(name, False)
    if not isinstance(found, bool):
        raise _wrong(name, found)
    return found


def _wrong(name: str, found: object) -> PlatformFormatError:
    shown = repr(found)[:_SHOWN]
    return PlatformFormatError(f'{name}: {shown}')
