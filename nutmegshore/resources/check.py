"""Checks of declared objects, alone and against each other.

A fault makes an object invalid, and its write is refused. A warning names a
reference that does not resolve at the moment. Objects may be applied in any
order, so a dry run shows warnings but no write is refused for them.
"""

import functools
import math
from collections.abc import Iterable, Mapping

import attrs

from nutmegshore.resources.endpoints import Entry, Upstream
from nutmegshore.resources.envelope import (
    SPEC_TYPES,
    Envelope,
    Spec,
    config_key,
)
from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.intent import Drain, Limit, Rule, Shift
from nutmegshore.resources.readers import read_name
from nutmegshore.resources.service import Service

__all__ = ('check_name', 'check_references', 'check_spec')

_REGION = 'region'
_SERVICE = 'service'
_ZONE = 'availability_zone'


def check_name(kind: str, name: str) -> None:
    """Check the kind and name of an object; raises `InvalidObject`."""
    faults = []
    if kind not in SPEC_TYPES:
        expected = 'one of {0}'.format(', '.join(SPEC_TYPES))
        faults.append(FieldFault('kind', expected))
    try:
        read_name(name)
    except ValueError:
        expected = 'a name of letters, digits, ".", "-" and "_"'
        faults.append(FieldFault('name', expected))
    if faults:
        raise InvalidObject(f'{kind}/{name}', faults)


@functools.singledispatch
def check_spec(spec: Spec) -> list[FieldFault]:
    """List the faults of a spec whose fields are inconsistent."""
    return []


@check_spec.register
def _check_shift(spec: Shift) -> list[FieldFault]:
    if spec.from_region == spec.to_region:
        return [FieldFault('to_region', 'a region other than from_region')]
    return []


@check_spec.register
def _check_service(spec: Service) -> list[FieldFault]:
    if math.isclose(spec.latency_weight + spec.headroom_weight, 1):
        return []
    expected = 'latency_weight and headroom_weight with the sum 1'
    return [FieldFault('latency_weight', expected)]


@attrs.frozen
class _Reference:
    """A field that names an object of another kind."""

    field: str
    kind: str
    name: str


def check_references(
    spec: Spec,
    by_key: Mapping[str, Envelope],
) -> list[FieldFault]:
    """List a warning for each name in a spec that no declared object has.

    `by_key` contains the objects as they would be after the change, including
    tombstones.
    """
    existing_keys = {
        key for key, envelope in by_key.items() if not envelope.is_deleted
    }
    warnings = [
        FieldFault(
            reference.field,
            f'a declared {reference.kind}; there is no {reference.name}',
        )
        for reference in _list_references(spec)
        if reference.name
        and config_key(reference.kind, reference.name) not in existing_keys
    ]
    zone = getattr(spec, _ZONE, '')
    if zone and zone not in _list_zones(by_key.values()):
        expected = f'a zone of a declared region; there is no {zone}'
        warnings.append(FieldFault(_ZONE, expected))
    return warnings


def _list_zones(envelopes: Iterable[Envelope]) -> list[str]:
    return [
        zone
        for envelope in envelopes
        if envelope.kind == _REGION and envelope.spec is not None
        for zone in envelope.spec.availability_zones
    ]


@functools.singledispatch
def _list_references(spec: Spec) -> list[_Reference]:
    return []


@_list_references.register
def _shift_references(spec: Shift) -> list[_Reference]:
    return [
        _Reference(_SERVICE, _SERVICE, spec.service),
        _Reference('from_region', _REGION, spec.from_region),
        _Reference('to_region', _REGION, spec.to_region),
    ]


@_list_references.register
def _drain_references(spec: Drain) -> list[_Reference]:
    return [
        _Reference(_REGION, _REGION, spec.region),
        _Reference('upstream', 'upstream', spec.upstream),
        _Reference('entry', 'entry', spec.entry),
    ]


@_list_references.register(Limit)
@_list_references.register(Rule)
@_list_references.register(Upstream)
def _scope_references(spec: Limit | Rule | Upstream) -> list[_Reference]:
    return [
        _Reference(_SERVICE, _SERVICE, spec.service),
        _Reference(_REGION, _REGION, spec.region),
    ]


@_list_references.register
def _entry_references(spec: Entry) -> list[_Reference]:
    return [_Reference(_REGION, _REGION, spec.region)]
