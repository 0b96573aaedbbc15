"""Upstreams as the store lists them."""

import ipaddress
import json
from collections.abc import Mapping
from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.platform import fields

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
    """Read one registration.

    Raises `PlatformFormatError` for an entry of another writer: fields that
    are missing or of another type, an unknown state or zone, an address that
    is none.
    """
    found = _spec_and_status(json.loads(body))
    info = fields.read_table(found, 'Info')
    status = fields.read_table(found, 'Status')
    zone = fields.read_text(info, 'Zone')
    if zone not in regions_by_zone:
        raise PlatformFormatError(f'Zone: {zone}')
    return RegisteredUpstream(
        instance=key.removeprefix(UPSTREAM_PREFIX),
        service=fields.read_text(info, 'Service'),
        address=_read_address(found),
        availability_zone=zone,
        region=regions_by_zone[zone],
        slots=max(fields.read_whole(info, 'Slots'), 1),
        is_draining=_read_state(status) == _DRAINING,
        cold_left_s=fields.read_number(status, 'ColdLeftS', 0),
        born_ms=fields.read_whole(found, 'born', 0),
    )


def parse_zone(key: str) -> str:
    """The availability zone that an evacuation names."""
    return key.removeprefix(EVACUATION_PREFIX)


def _spec_and_status(found: Any) -> dict[str, Any]:
    """What an upstream says of itself, wherever the store keeps a part."""
    if not isinstance(found, dict):
        raise PlatformFormatError('not a table')
    merged = dict(fields.read_table(found, 'Spec'))
    status = fields.read_table(found, 'Status')
    if 'Status' not in merged:
        merged['Status'] = status.get('Status', status)
    return merged


def _read_state(status: dict[str, Any]) -> str:
    state = fields.read_text(status, 'State')
    if state not in {_READY, _DRAINING}:
        raise PlatformFormatError(f'State: {state}')
    return state


def _read_address(found: dict[str, Any]) -> str:
    address = fields.read_text(found, 'Addr')
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as failure:
        raise PlatformFormatError(f'Addr: {address}') from failure
    if not (port.isascii() and port.isdecimal()):
        raise PlatformFormatError(f'Addr: {address}')
    return address
