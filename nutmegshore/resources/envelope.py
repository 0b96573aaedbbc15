"""The envelope that declared objects are stored and spread in."""

import json
from types import MappingProxyType
from typing import Any, Union

import attrs

from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.fields import parse_fields
from nutmegshore.resources.intent import Drain, Limit, Rule, Shift
from nutmegshore.resources.place import Region
from nutmegshore.resources.readers import read_name
from nutmegshore.resources.server import Entry, Upstream
from nutmegshore.resources.service import Service

__all__ = (
    'MAX_GENERATION',
    'SPEC_TYPES',
    'Envelope',
    'Spec',
    'config_key',
    'parse_envelope',
    'parse_spec',
    'write_envelope',
    'write_spec',
)

Spec = Union[
    Region,
    Service,
    Upstream,
    Entry,
    Shift,
    Drain,
    Limit,
    Rule,
]

#: Spec type by kind; the kinds that operators can declare.
SPEC_TYPES = MappingProxyType(
    {
        'region': Region,
        'service': Service,
        'upstream': Upstream,
        'entry': Entry,
        'shift': Shift,
        'drain': Drain,
        'limit': Limit,
        'rule': Rule,
    }
)

_CONFIG_PREFIX = 'config/'
#: Peer messages carry a generation in 64 bits.
MAX_GENERATION = 1_000_000_000_000_000


@attrs.frozen
class Envelope:
    """One declared object with its history position and its origin.

    `generation` rises by one with every accepted write of this kind and name,
    deletes included: a delete leaves a tombstone (`is_deleted`, no spec), so
    an object that is created again continues the count. `uid` names one
    creation, `operation` one write.
    """

    kind: str
    name: str
    generation: int
    uid: str
    author: str
    reason: str
    operation: str
    spec: Spec | None
    is_deleted: bool = False

    @property
    def key(self) -> str:
        """Key of this object in the store."""
        return config_key(self.kind, self.name)


def config_key(kind: str, name: str) -> str:
    """Key of a declared object in the store."""
    return f'{_CONFIG_PREFIX}{kind}/{name}'


def parse_spec(kind: str, raw: Any, subject: str = '') -> Spec:
    """Check a spec of the given kind, or raise `InvalidObject`."""
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        expected = 'one of {0}'.format(', '.join(SPEC_TYPES))
        raise InvalidObject(subject or kind, [FieldFault('kind', expected)])
    return parse_fields(spec_type, raw, subject or kind)


def write_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as JSON for the store."""
    fields = attrs.asdict(envelope, filter=_is_set)
    fields['is_deleted'] = envelope.is_deleted
    return json.dumps(fields, sort_keys=True).encode()


def write_spec(spec: Spec) -> dict[str, Any]:
    """Fields of a spec that differ from their defaults, as JSON has them.

    `parse_spec` reads them back to an equal spec.
    """
    return attrs.asdict(spec, filter=_is_set)


def _is_set(field: Any, value: Any) -> bool:
    return value != field.default


def parse_envelope(body: bytes) -> Envelope:
    """Decode and check an envelope, or raise `InvalidObject`."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidObject('object', [FieldFault('body', 'JSON')]) from None
    if not isinstance(raw, dict):
        raise InvalidObject('object', [FieldFault('body', 'a JSON map')])
    faults = [
        FieldFault(field, expected)
        for field, (kind, expected) in _ENVELOPE_FIELDS.items()
        if not isinstance(raw.get(field), kind)
    ]
    if faults:
        raise InvalidObject('object', faults)
    return _build_envelope(raw)


_TEXT = (str, 'text')
_ENVELOPE_FIELDS = MappingProxyType(
    {
        'kind': _TEXT,
        'name': _TEXT,
        'generation': (int, 'a whole number'),
        'uid': _TEXT,
        'author': _TEXT,
        'reason': _TEXT,
        'operation': _TEXT,
        'is_deleted': (bool, 'true or false'),
    }
)


def _build_envelope(raw: dict[str, Any]) -> Envelope:
    subject = '{0}/{1}'.format(raw['kind'], raw['name'])
    generation = raw['generation']
    is_in_bounds = 1 <= generation <= MAX_GENERATION
    if isinstance(generation, bool) or not is_in_bounds:
        expected = f'a whole number from 1 to {MAX_GENERATION}'
        raise InvalidObject(subject, [FieldFault('generation', expected)])
    try:
        read_name(raw['name'])
    except ValueError:
        raise InvalidObject(subject, [FieldFault('name', 'a name')]) from None
    fields = {field: raw[field] for field in _ENVELOPE_FIELDS}
    spec = None
    if not raw['is_deleted']:
        spec = parse_spec(raw['kind'], raw.get('spec'), subject)
    return Envelope(spec=spec, **fields)
