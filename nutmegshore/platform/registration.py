"""Parsers of registered upstreams and of evacuated zones."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.platform import fields
from nutmegshore.platform.json_reader import read_json

__all__ = (
    'EVACUATION_PREFIX',
    'UPSTREAM_PREFIX',
    'is_address',
    'parse_upstream',
    'parse_zone',
)

UPSTREAM_PREFIX = 'servers/'
EVACUATION_PREFIX = 'evacuations/'

_READY = 'ready'
_DRAINING = 'draining'
_PORT = re.compile('[1-9][0-9]{0,4}')
_MAX_PORT = 65_535
#: Characters of an invalid address that an error message quotes.
_MAX_ADDRESS_CHARS = 60
#: Requests that an upstream can run at once; more would draw all traffic.
_MAX_SLOTS = 1_000_000
#: Seconds of the longest cold start, a day.
_MAX_COLD_S = 86_400


def parse_upstream(
    key: str,
    body: bytes,
    regions_by_zone: Mapping[str, str],
) -> RegisteredUpstream:
    """Parse one registration.

    Raises `PlatformFormatError`, and nothing else, for an entry that no
    upstream writes: a field that is missing, of another type or out of range,
    an unknown state or zone, an address that no connection can have.
    """
    raw = _merge_spec_and_status(read_json(body))
    info = fields.read_object(raw, 'Info')
    status = fields.read_object(raw, 'Status')
    zone = fields.read_string(info, 'Zone')
    if zone not in regions_by_zone:
        raise PlatformFormatError(f'Zone: {zone}')
    return RegisteredUpstream(
        instance=_read_instance(key),
        service=fields.read_string(info, 'Service'),
        address=_read_address(raw),
        availability_zone=zone,
        region=regions_by_zone[zone],
        slots=_read_slots(info),
        is_draining=_read_state(status) == _DRAINING,
        cold_left_s=fields.read_number(status, 'ColdLeftS', 0, _MAX_COLD_S),
        born_ms=fields.read_integer(raw, 'born', 0),
        sequence=fields.read_integer(status, 'Sequence', 0),
    )


def parse_zone(key: str) -> str:
    """Return the availability zone that an evacuation key names.

    Raises `PlatformFormatError` for a key that cannot name a zone.
    """
    return fields.read_name({'key': key.removeprefix(EVACUATION_PREFIX)}, 'key')


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


def _read_instance(key: str) -> str:
    """Return the name of the entry, which requests carry in a header."""
    instance = key.removeprefix(UPSTREAM_PREFIX)
    if not instance.isascii() or ' ' in instance:
        raise PlatformFormatError('Name: not ASCII')
    return fields.read_name({'Name': instance}, 'Name')


def _read_slots(info: dict[str, Any]) -> int:
    slots = fields.read_integer(info, 'Slots', most=_MAX_SLOTS)
    if not slots:
        raise PlatformFormatError('Slots: 0')
    return slots


def _read_address(raw: dict[str, Any]) -> str:
    """Return the address, IP:port; the platform has IPv4 only."""
    address = fields.read_string(raw, 'Addr')
    if not is_address(address):
        shown = address[:_MAX_ADDRESS_CHARS]
        raise PlatformFormatError(f'Addr: {shown!r}')
    return address


def is_address(text: str) -> bool:
    """Whether a text is the IPv4 address of a host with a port."""
    host, _, port = text.rpartition(':')
    return _is_host(host) and _is_port(port)


def _is_host(text: str) -> bool:
    try:
        host = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (host.is_unspecified or host.is_multicast or host.is_reserved)


def _is_port(text: str) -> bool:
    return _PORT.fullmatch(text) is not None and int(text) <= _MAX_PORT
