"""Upstreams that serve requests and entries that forward them."""

import ipaddress

import attrs

from nutmegshore.resources.fields import (
    Parser,
    declared,
    integer,
    name,
    number,
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
    """An IP number and a port, as in 127.0.0.1:8080."""
    return Parser('an address as IP:port', _read_address)


@attrs.frozen
class Upstream:
    """An upstream of one service, with the work it can take at once."""

    service: str = declared(name())
    region: str = declared(name())
    availability_zone: str = declared(name())
    address: str = declared(address())
    slots: int = declared(integer(1, _MAX_SLOTS))
    connections: int = declared(
        integer(1, _MAX_SLOTS),
        default=_DEFAULT_CONNECTIONS,
    )


@attrs.frozen
class Entry:
    """An entry instance that look-up answers may name."""

    region: str = declared(name())
    availability_zone: str = declared(name())
    caller_address: str = declared(address())
    weight: float = declared(number(0, _MAX_WEIGHT), default=1)
