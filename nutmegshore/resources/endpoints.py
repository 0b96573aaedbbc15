"""Specs of upstreams, which serve requests, and entries, which forward them."""

import ipaddress

import attrs

from nutmegshore.resources.fields import (
    Parser,
    integer,
    name,
    number,
    spec_field,
)

__all__ = ('Entry', 'Upstream')

_MAX_SLOTS = 100_000
_MAX_WEIGHT = 1_000
_MAX_PORT = 65_535
_DEFAULT_CONNECTIONS = 360


def _read_address(raw: object) -> str:
    if not isinstance(raw, str):
        raise ValueError(raw)
    host, _, port = raw.rpartition(':')
    # ip_address raises ValueError for a host name.
    ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(raw)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(raw)
    return raw


def address() -> Parser:
    """Parser of an IP address and port, as in 127.0.0.1:8080."""
    return Parser('an address as IP:port', _read_address)


@attrs.frozen
class Upstream:
    """An upstream of one service, with its capacity.

    `slots` is the number of requests that it serves concurrently. An entry
    opens at most `slots` connections to it, so that `connections // slots`
    entries, and at least one, can use the upstream.
    """

    service: str = spec_field(name())
    region: str = spec_field(name())
    availability_zone: str = spec_field(name())
    address: str = spec_field(address())
    slots: int = spec_field(integer(1, _MAX_SLOTS))
    connections: int = spec_field(
        integer(1, _MAX_SLOTS),
        default=_DEFAULT_CONNECTIONS,
    )


@attrs.frozen
class Entry:
    """An entry instance that lookup answers may list.

    Among the usable entries at the same distance from the caller, the
    probability to be listed first is proportional to `weight`. An entry with
    weight 0 is not listed.
    """

    region: str = spec_field(name())
    availability_zone: str = spec_field(name())
    caller_address: str = spec_field(address())
    weight: float = spec_field(number(0, _MAX_WEIGHT), default=1)
