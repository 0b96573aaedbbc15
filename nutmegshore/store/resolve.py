"""Writes that are settled after a lost answer."""

import random

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    VersionConflict,
)
from nutmegshore.store.base import Expected, Platform, StoredObject

__all__ = ('make_operation', 'write_resolved')

_OPERATION_BITS = 128


def make_operation(rng: random.Random) -> str:
    """Make a new operation id.

    `rng` must not repeat its numbers after a restart of the process, or a
    lost write is taken for an earlier one; use `random.SystemRandom()`.
    """
    return '{0:032x}'.format(rng.getrandbits(_OPERATION_BITS))


#: A platform that loses this many answers in a row is not asked further.
_MAX_REPEATS = 3


async def write_resolved(
    platform: Platform,
    key: str,
    body: bytes,
    expected: Expected | None,
    operation: str,
) -> StoredObject:
    """Write, and settle a lost answer by reading back the operation id.

    The operation id must be new for each write. An equal value proves
    nothing, since another writer may have stored the same value. While the
    object is still as expected, the first write may be under way, so the same
    write is sent again: the condition lets only one of the two take effect.

    Raises `VersionConflict` when another operation stands in the place of
    this one, and `PlatformAnswerLost` when that cannot be told: the platform
    does not answer, or the object has moved on by more than one write.
    """
    try:
        return await platform.write(key, body, expected, operation)
    except PlatformAnswerLost:
        present = await _read_back(platform, key)
    repeats = 0
    while repeats < _MAX_REPEATS:
        repeats += 1
        if _has_moved(present, expected):
            return _settle(key, present, expected, operation)
        try:
            return await platform.write(key, body, expected, operation)
        except VersionConflict as conflict:
            present = conflict.present
        except PlatformError:
            present = await _read_back(platform, key)
    raise PlatformAnswerLost(f'{key}: unknown after write')


async def _read_back(platform: Platform, key: str) -> StoredObject | None:
    try:
        return await platform.read(key)
    except PlatformError as failure:
        raise PlatformAnswerLost(f'{key}: unknown after write') from failure


def _has_moved(
    present: StoredObject | None,
    expected: Expected | None,
) -> bool:
    found = Expected.of(present) if present else None
    return found != expected


def _settle(
    key: str,
    present: StoredObject | None,
    expected: Expected | None,
    operation: str,
) -> StoredObject:
    if present is not None and present.operation == operation:
        return present
    if present is None or not _is_next(present, expected):
        # This write may have taken effect and been replaced since.
        raise PlatformAnswerLost(f'{key}: unknown, the object has moved on')
    raise VersionConflict(f'{key}: written by another operation', present)


def _is_next(present: StoredObject, expected: Expected | None) -> bool:
    """Whether `present` took the one place this write could have had."""
    if expected is None:
        return present.version == 1
    return Expected.of(present) == Expected(expected.uid, expected.version + 1)
