"""JSON form of the operator listener's answers."""

import json
from typing import Any

import attrs

from nutmegshore.errors import NutmegshoreError, Outcome, VersionConflict
from nutmegshore.resources import Envelope, InvalidObject, write_spec

__all__ = ('describe_error', 'describe_fault', 'write_json')

_ADVICE = 'read the object before writing again'


def write_json(found: Any) -> str:
    """Write attrs classes, lists and maps as JSON."""
    return json.dumps(found, default=_encode)


def describe_error(error: NutmegshoreError) -> dict[str, Any]:
    """Fields that describe an error and what the operator can do."""
    fields: dict[str, Any] = {
        'error': error.kind.value,
        'outcome': error.answer.outcome.value,
        'message': str(error),
    }
    if isinstance(error, InvalidObject):
        fields['faults'] = error.faults
    if isinstance(error, VersionConflict):
        fields['present'] = error.present
    if error.answer.outcome == Outcome.UNKNOWN:
        fields['advice'] = _ADVICE
    return fields


def describe_fault(message: str) -> dict[str, str]:
    """Fields of the answer after a fault of the entry's own code."""
    return {
        'error': 'internal',
        'outcome': Outcome.UNKNOWN.value,
        'message': message,
        'advice': _ADVICE,
    }


def _encode(found: Any) -> Any:
    if isinstance(found, Envelope):
        # Without defaults, so that the answer can be written back: an empty
        # name is a default, but not a name.
        spec = write_spec(found.spec) if found.spec else None
        return {**attrs.asdict(found, recurse=False), 'spec': spec}
    if attrs.has(type(found)):
        return attrs.asdict(found, recurse=False)
    raise TypeError(type(found))
