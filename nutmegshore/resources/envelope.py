"""The envelope in which declared objects are stored and sent to peers."""

import json
from types import MappingProxyType
from typing import Any, Union

import attrs

from nutmegshore.resources.endpoints import Entry, Upstream
from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.fields import parse_fields
from nutmegshore.resources.intent import Drain, Limit, Rule, Shift
from nutmegshore.resources.readers import read_name
from nutmegshore.resources.region import Region
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

#: Spec class by kind, for every kind that operators can declare.
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
#: Largest accepted generation; peer messages encode it in 64 bits.
MAX_GENERATION = 1_000_000_000_000_000


@attrs.frozen
class Envelope:
    """One declared object with its generation and the origin of its last write.

    `generation` increases by one with every accepted write of this kind and
    name, including deletes. A delete leaves a tombstone (`is_deleted`, no
    spec), so that an object that is created again continues the count. `uid`
    identifies the creation of the object, `operation` its last write, and
    `author` and `reason` are those of that write.
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
        """Store key of this object."""
        return config_key(self.kind, self.name)


def config_key(kind: str, name: str) -> str:
    """Build the store key of an object, as in `config/drain/west`."""
    return f'{_CONFIG_PREFIX}{kind}/{name}'


def parse_spec(kind: str, raw: Any, subject: str = '') -> Spec:
    """Build a spec of the given kind from decoded JSON.

    Raises `InvalidObject` with every fault; `subject` names the object in its
    message and defaults to the kind.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        expected = 'one of {0}'.format(', '.join(SPEC_TYPES))
        raise InvalidObject(subject or kind, [FieldFault('kind', expected)])
    return parse_fields(spec_type, raw, subject or kind)


def write_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as JSON for the store."""
    fields = attrs.asdict(envelope, filter=_differs_from_default)
    fields['is_deleted'] = envelope.is_deleted
    return json.dumps(fields, sort_keys=True).encode()


def write_spec(spec: Spec) -> dict[str, Any]:
    """Map a spec to JSON values, without the fields that have their default.

    `parse_spec` builds an equal spec from the result.
    """
    return attrs.asdict(spec, filter=_differs_from_default)


def _differs_from_default(field: Any, value: Any) -> bool:
    return value != field.default


def parse_envelope(body: bytes) -> Envelope:
    """Decode and check a stored envelope; raises `InvalidObject`."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidObject('object', [FieldFault('body', 'JSON')]) from None
    if not isinstance(raw, dict):
        raise InvalidObject('object', [FieldFault('body', 'a JSON map')])
    faults = [
        FieldFault(field, expected)
        for field, (field_type, expected) in _ENVELOPE_FIELDS.items()
        if not isinstance(raw.get(field), field_type)
    ]
    if faults:
        raise InvalidObject('object', faults)
    return _build_envelope(raw)


_TEXT_FIELD = (str, 'text')
_ENVELOPE_FIELDS = MappingProxyType(
    {
        'kind': _TEXT_FIELD,
        'name': _TEXT_FIELD,
        'generation': (int, 'a whole number'),
        'uid': _TEXT_FIELD,
        'author': _TEXT_FIELD,
        'reason': _TEXT_FIELD,
        'operation': _TEXT_FIELD,
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
