"""Readers that check single values of declared objects.

Each returns the checked value and raises ValueError for an invalid one.
"""

import string
from collections.abc import Callable, Mapping
from typing import Any

_MAX_NAME_LENGTH = 128
_NAME_CHARACTERS = frozenset(
    f'{string.ascii_letters}{string.digits}.-_',
)


def read_name(raw: Any) -> str:
    """Read a name of 1 to 128 letters, digits, dots, dashes or underscores."""
    if not isinstance(raw, str):
        raise ValueError(raw)
    if not 0 < len(raw) <= _MAX_NAME_LENGTH:
        raise ValueError(raw)
    if not set(raw) <= _NAME_CHARACTERS:
        raise ValueError(raw)
    return raw


def read_names(raw: Any) -> tuple[str, ...]:
    """Read a list of names."""
    if not isinstance(raw, (list, tuple)):
        raise ValueError(raw)
    return tuple(read_name(item) for item in raw)


def read_number(raw: Any, low: float, high: float) -> float:
    """Read a number from `low` to `high`, both included, as a float."""
    is_number = isinstance(raw, (int, float))
    if isinstance(raw, bool) or not is_number:
        raise ValueError(raw)
    if not low <= raw <= high:
        raise ValueError(raw)
    return float(raw)


def read_integer(raw: Any, low: int, high: int) -> int:
    """Read an integer from `low` to `high`, both included."""
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise ValueError(raw)
    if not low <= raw <= high:
        raise ValueError(raw)
    return raw


def read_flag(raw: Any) -> bool:
    """Read a boolean."""
    if not isinstance(raw, bool):
        raise ValueError(raw)
    return raw


def read_choice(raw: Any, allowed: tuple[str, ...]) -> str:
    """Read one of the allowed words."""
    if raw not in allowed:
        raise ValueError(raw)
    return raw


def read_mapping(raw: Any, read: Callable[[Any], Any]) -> dict[str, Any]:
    """Read a map from names to values, each checked by `read`."""
    if not isinstance(raw, Mapping):
        raise ValueError(raw)
    return {read_name(name): read(item) for name, item in raw.items()}
