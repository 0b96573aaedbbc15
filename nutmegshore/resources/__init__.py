"""Specs of the objects that operators declare, and their stored form."""

from nutmegshore.resources.check import (
    check_name,
    check_references,
    check_spec,
)
from nutmegshore.resources.envelope import (
    SPEC_TYPES,
    Envelope,
    Spec,
    config_key,
    parse_envelope,
    parse_spec,
    write_envelope,
    write_spec,
)
from nutmegshore.resources.endpoints import Entry, Upstream
from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.intent import Drain, Limit, Rule, Shift
from nutmegshore.resources.region import Region
from nutmegshore.resources.service import Service

__all__ = (
    'SPEC_TYPES',
    'Drain',
    'Entry',
    'Envelope',
    'FieldFault',
    'InvalidObject',
    'Limit',
    'Region',
    'Rule',
    'Service',
    'Shift',
    'Spec',
    'Upstream',
    'check_name',
    'check_references',
    'check_spec',
    'config_key',
    'parse_envelope',
    'parse_spec',
    'write_envelope',
    'write_spec',
)
