"""Writes whose outcome is resolved after a lost answer."""

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
    lost write could be confused with an earlier one; use
    `random.SystemRandom()`.
    """
    return '{0:032x}'.format(rng.getrandbits(_OPERATION_BITS))


#: Retries of a write before its outcome is reported as unknown.
_MAX_RETRIES = 3


async def write_resolved(
    platform: Platform,
    key: str,
    body: bytes,
    expected: Expected | None,
    operation: str,
) -> StoredObject:
    """Write, and resolve a lost answer by reading back the operation id.

    The operation id must be new for each write. Comparing values would prove
    nothing, since another writer may have stored the same value. While the
    object still matches `expected`, the first write may be in flight, so the
    same write is retried: the condition lets only one of the two take effect.

    Raises `VersionConflict` if another operation wrote the next version, and
    `PlatformAnswerLost` if the outcome stays unknown: the platform does not
    answer, or the object has been written more than once since.
    """
    try:
        return await platform.write(key, body, expected, operation)
    except PlatformAnswerLost:
        present = await _read_back(platform, key)
    retries = 0
    while retries < _MAX_RETRIES:
        retries += 1
        if _has_changed(present, expected):
            return _resolve(key, present, expected, operation)
        try:
            return await platform.write(key, body, expected, operation)
        except VersionConflict as conflict:
            present = conflict.present
        except PlatformError:
            present = await _read_back(platform, key)
    raise PlatformAnswerLost(f'{key}: outcome of the write unknown')


async def _read_back(platform: Platform, key: str) -> StoredObject | None:
    try:
        return await platform.read(key)
    except PlatformError as failure:
        raise PlatformAnswerLost(
            f'{key}: outcome unknown, cannot read back'
        ) from failure


def _has_changed(
    present: StoredObject | None,
    expected: Expected | None,
) -> bool:
    found = Expected.of(present) if present else None
    return found != expected


def _resolve(
    key: str,
    present: StoredObject | None,
    expected: Expected | None,
    operation: str,
) -> StoredObject:
    if present is not None and present.operation == operation:
        return present
    if present is None or not _is_next_version(present, expected):
        # This write may have taken effect and been overwritten since.
        raise PlatformAnswerLost(
            f'{key}: outcome unknown, object changed since'
        )
    raise VersionConflict(f'{key}: written by another operation', present)


def _is_next_version(present: StoredObject, expected: Expected | None) -> bool:
    """Whether `present` is the version that this write would have made."""
    if expected is None:
        return present.version == 1
    return Expected.of(present) == Expected(expected.uid, expected.version + 1)
