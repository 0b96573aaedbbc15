"""Files with objects to apply."""

import json
import sys
from typing import Any

from nutmegshore.commands.base import UsageError

__all__ = ('read_manifest',)

_INPUT = '-'
#: Keys of an object; those of an envelope are allowed, so that the output of
#: `get -o json` can be edited and applied.
_KNOWN = frozenset(
    (
        'kind',
        'name',
        'spec',
        'reason',
        'generation',
        'uid',
        'author',
        'operation',
        'is_deleted',
    ),
)


def read_manifest(path: str) -> list[dict[str, Any]]:
    """Read one object or a list of objects; raises `UsageError`."""
    try:
        raw = json.loads(_read_text(path))
    except (OSError, ValueError, RecursionError) as failure:
        raise UsageError(f'{path}: {failure}') from failure
    wishes = raw if isinstance(raw, list) else [raw]
    faults = [
        f'{path}: object {number}: {fault}'
        for number, wish in enumerate(wishes, 1)
        for fault in _find_faults(wish)
    ]
    if faults:
        raise UsageError('\n'.join(faults))
    return wishes


def _read_text(path: str) -> str:
    if path == _INPUT:
        return sys.stdin.read()
    with open(path, encoding='utf-8') as manifest:
        return manifest.read()


def _find_faults(wish: Any) -> list[str]:
    if not isinstance(wish, dict):
        return ['expected a map with kind, name and spec']
    faults = [
        f'{key}: expected text'
        for key in ('kind', 'name')
        if not isinstance(wish.get(key), str)
    ]
    if 'spec' not in wish:
        faults.append('spec: expected a map of fields, or null to delete')
    if not isinstance(wish.get('generation', 0), int):
        faults.append('generation: expected a whole number')
    if not isinstance(wish.get('reason', ''), str):
        faults.append('reason: expected text')
    unknown = sorted(set(wish) - _KNOWN)
    faults.extend(f'{key}: unknown key' for key in unknown)
    return faults
