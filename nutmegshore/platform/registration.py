"""Parsers of registered upstreams and of evacuated zones."""

import ipaddress
from collections.abc import Mapping
from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.platform import fields
from nutmegshore.platform.json_reader import read_json

__all__ = (
    'EVACUATION_PREFIX',
    'UPSTREAM_PREFIX',
    'parse_upstream',
    'parse_zone',
)

UPSTREAM_PREFIX = 'servers/'
EVACUATION_PREFIX = 'evacuations/'

_READY = 'ready'
_DRAINING = 'draining'


def parse_upstream(
    key: str,
    body: bytes,
    regions_by_zone: Mapping[str, str],
) -> RegisteredUpstream:
    """Parse one registration.

    Raises `PlatformFormatError` for an entry that no upstream writes: a field
    that is missing or of another type, an unknown state or zone, an invalid
    address.
    """
    raw = _merge_spec_and_status(read_json(body))
    info = fields.read_object(raw, 'Info')
    status = fields.read_object(raw, 'Status')
    zone = fields.read_string(info, 'Zone')
    if zone not in regions_by_zone:
        raise PlatformFormatError(f'Zone: {zone}')
    return RegisteredUpstream(
        instance=key.removeprefix(UPSTREAM_PREFIX),
        service=fields.read_string(info, 'Service'),
        address=_read_address(raw),
        availability_zone=zone,
        region=regions_by_zone[zone],
        slots=max(fields.read_integer(info, 'Slots'), 1),
        is_draining=_read_state(status) == _DRAINING,
        cold_left_s=fields.read_number(status, 'ColdLeftS', 0),
        born_ms=fields.read_integer(raw, 'born', 0),
    )


def parse_zone(key: str) -> str:
    """Return the availability zone that an evacuation key names."""
    return key.removeprefix(EVACUATION_PREFIX)


def _merge_spec_and_status(raw: Any) -> dict[str, Any]:
    """Merge the status into the spec, whichever of the two contains it."""
    if not isinstance(raw, dict):
        raise PlatformFormatError('not a JSON object')
    merged = dict(fields.read_object(raw, 'Spec'))
    status = fields.read_object(raw, 'Status')
    if 'Status' not in merged:
        merged['Status'] = status.get('Status', status)
    return merged


def _read_state(status: dict[str, Any]) -> str:
    state = fields.read_string(status, 'State')
    if state not in {_READY, _DRAINING}:
        raise PlatformFormatError(f'State: {state}')
    return state


def _read_address(raw: dict[str, Any]) -> str:
    address = fields.read_string(raw, 'Addr')
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as failure:
        raise PlatformFormatError(f'Addr: {address}') from failure
    if not (port.isascii() and port.isdecimal()):
        raise PlatformFormatError(f'Addr: {address}')
    return address
