"""Client blocks: an address block and the sites that serve its callers."""

import ipaddress
from collections.abc import Mapping
from typing import Any

import attrs

from nutmegshore.resources import FieldFault, InvalidObject

__all__ = (
    'MAX_SITES',
    'V4_BITS',
    'V4_BYTES',
    'V6_BITS',
    'Block',
    'Network',
    'parse_block',
    'parse_network',
    'read_address',
    'write_block',
)

V4_BITS = 32
V6_BITS = 128
V4_BYTES = 4

#: Site numbers are stored in 16 bits.
MAX_SITES = 65_536

_V6_BYTES = 16
_V4_MAPPED_BYTES = b'\0\0\0\0\0\0\0\0\0\0\xff\xff'
_V4_MAPPED_PREFIX = 0xFFFF
_NETWORK = 'network'
_SITES = 'sites'
_NETWORK_FORMAT = 'an IPv4 or IPv6 network as address/length, no host bits set'


@attrs.frozen(order=True)
class Network:
    """An IP network as integers.

    `bits` is the address width, 32 for IPv4 and 128 for IPv6; `start` is the
    first address and `length` the prefix length in bits.
    """

    bits: int
    start: int
    length: int

    @property
    def host_bits(self) -> int:
        """Number of address bits after the prefix."""
        return self.bits - self.length

    def __str__(self) -> str:
        """Format the network as address/length, such as 10.2.0.0/16."""
        address = ipaddress.IPv6Address(self.start)
        if self.bits == V4_BITS:
            address = ipaddress.IPv4Address(self.start)
        return f'{address}/{self.length}'


@attrs.frozen
class Block:
    """A network and the numbers of the sites that serve it, best first."""

    network: Network
    sites: tuple[int, ...]


def parse_network(text: str) -> Network:
    """Parse a network such as 10.2.0.0/16.

    Raises ValueError for an invalid network and for one inside
    ::ffff:0:0/96, since IPv4-mapped addresses are looked up as IPv4.
    """
    if '/' not in text:
        raise ValueError(text)
    parsed = ipaddress.ip_network(text)
    bits = parsed.max_prefixlen
    start = int(parsed.network_address)
    if bits == V6_BITS and start >> V4_BITS == _V4_MAPPED_PREFIX:
        raise ValueError(text)
    return Network(bits, start, parsed.prefixlen)


def parse_block(raw: Any, site_count: int = MAX_SITES) -> Block:
    """Validate a declared block; raises `InvalidObject` with every fault.

    parse_block({'network': '10.2.0.0/16', 'sites': [3, 1]}, site_count=180)
    """
    if not isinstance(raw, Mapping):
        raise InvalidObject('block', [FieldFault('block', 'a map of fields')])
    faults = [
        FieldFault(str(field), f'one of {_NETWORK}, {_SITES}')
        for field in raw
        if field not in {_NETWORK, _SITES}
    ]
    network = _check_network(raw.get(_NETWORK), faults)
    sites = _check_sites(raw.get(_SITES), site_count, faults)
    if faults or network is None:
        raise InvalidObject('block {0}'.format(raw.get(_NETWORK)), faults)
    return Block(network, sites)


def write_block(block: Block) -> dict[str, Any]:
    """Convert a block to the mapping that `parse_block` accepts."""
    return {_NETWORK: str(block.network), _SITES: list(block.sites)}


def read_address(packed: bytes) -> tuple[int, int]:
    """Address width in bits and integer value of a packed address.

    The packed address has 4 or 16 bytes; other lengths raise ValueError. An
    IPv4-mapped IPv6 address (::ffff:a.b.c.d) is read as IPv4, since a
    dual-stack listener reports IPv4 callers in that form.
    """
    if len(packed) == V4_BYTES:
        return V4_BITS, int.from_bytes(packed, 'big')
    if len(packed) != _V6_BYTES:
        raise ValueError(packed)
    if packed.startswith(_V4_MAPPED_BYTES):
        return V4_BITS, int.from_bytes(packed[-V4_BYTES:], 'big')
    return V6_BITS, int.from_bytes(packed, 'big')


def _check_network(raw: Any, faults: list[FieldFault]) -> Network | None:
    try:
        return parse_network(str(raw))
    except ValueError:
        faults.append(FieldFault(_NETWORK, _NETWORK_FORMAT))
    return None


def _check_sites(
    raw: Any,
    site_count: int,
    faults: list[FieldFault],
) -> tuple[int, ...]:
    is_list = isinstance(raw, (list, tuple))
    sites = tuple(raw) if is_list else ()
    is_valid = all(_is_site(site, site_count) for site in sites)
    if not sites or not is_valid or len(set(sites)) < len(sites):
        expected = f'distinct site numbers below {site_count}, at least one'
        faults.append(FieldFault(_SITES, expected))
    return sites


def _is_site(raw: Any, site_count: int) -> bool:
    if isinstance(raw, bool) or not isinstance(raw, int):
        return False
    return 0 <= raw < site_count
