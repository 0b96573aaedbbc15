"""Settings of a gateway, an INI file that the platform fills in."""

import configparser
import ipaddress
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import attrs

from nutmegshore.errors import PlatformFormatError, SettingsError
from nutmegshore.listener import InstanceLimits
from nutmegshore.platform.bounds import Bounds, parse_bounds

__all__ = ('GatewaySettings', 'read_settings')

_MAX_PORT = 65_535


@attrs.frozen
class GatewaySettings:
    """Settings of one gateway.

    Addresses are IP:port. `regions_by_zone` has all availability zones of
    the deployment; `seeds` are instances used to discover the others.
    `log_bytes_per_s` limits the log; 0 switches it off. `link_mbps` is the rate
    of the instance's link in Mbit/s, `memory_mb` its memory and `max_fds` the
    number of descriptors that it allows; 0 is not known.
    """

    name: str
    ip: str
    region: str
    availability_zone: str
    callers: str
    ready: str
    lookup: str
    peer_port: int
    metrics_port: int
    store: str
    cluster: str
    key: str = attrs.field(repr=False)
    regions_by_zone: MappingProxyType[str, str]
    seeds: tuple[str, ...] = ()
    log_bytes_per_s: float = 400_000
    link_mbps: float = 0
    memory_mb: float = 0
    max_fds: float = 0
    bounds: Bounds = Bounds()

    @property
    def instance_limits(self) -> InstanceLimits:
        """What callers may take of the instance."""
        return InstanceLimits.of_instance(self.memory_mb, int(self.max_fds))


def _read_text(raw: str) -> str:
    if not raw:
        raise ValueError(raw)
    return raw


def _read_ip(raw: str) -> str:
    return str(ipaddress.ip_address(raw))


def _read_port(raw: str) -> int:
    port = int(raw)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(raw)
    return port


def _read_address(raw: str) -> str:
    host, _, port = raw.rpartition(':')
    _read_ip(host)
    _read_port(port)
    return raw


def _read_addresses(raw: str) -> tuple[str, ...]:
    return tuple(_read_address(one) for one in raw.split(',') if one)


def _read_amount(raw: str) -> float:
    amount = float(raw)
    if not (math.isfinite(amount) and amount >= 0):
        raise ValueError(raw)
    return amount


def _read_optional_amount(raw: str) -> float:
    return _read_amount(raw) if raw else 0


@attrs.frozen
class _Setting:
    """Section, key, parser and expected form of a setting."""

    section: str
    key: str
    read: Callable[[str], Any]
    expected: str


_IP = 'an IP number'
_PORT = 'a port'
_ADDRESS = 'IP:port'
_INSTANCE = 'instance'
_LISTEN = 'listen'
_PEERS = 'peers'
_TEXT = 'a text'

_SETTINGS = MappingProxyType(
    {
        'name': _Setting(_INSTANCE, 'name', _read_text, _TEXT),
        'ip': _Setting(_INSTANCE, 'ip', _read_ip, _IP),
        'region': _Setting(_INSTANCE, 'region', _read_text, _TEXT),
        'availability_zone': _Setting(
            _INSTANCE, 'availability_zone', _read_text, _TEXT
        ),
        'callers': _Setting(_LISTEN, 'callers', _read_address, _ADDRESS),
        'ready': _Setting(_LISTEN, 'ready', _read_address, _ADDRESS),
        'lookup': _Setting(_LISTEN, 'lookup', _read_address, _ADDRESS),
        'metrics_port': _Setting(_LISTEN, 'metrics_port', _read_port, _PORT),
        'peer_port': _Setting(_PEERS, 'port', _read_port, _PORT),
        'cluster': _Setting(_PEERS, 'cluster', _read_text, _TEXT),
        'key': _Setting(_PEERS, 'key', _read_text, _TEXT),
        'seeds': _Setting(_PEERS, 'seeds', _read_addresses, 'IP:port,...'),
        'store': _Setting('store', 'address', _read_address, _ADDRESS),
        **{
            name: _Setting(
                _INSTANCE,
                name,
                _read_optional_amount,
                'a number, 0 or more, or nothing',
            )
            for name in ('link_mbps', 'memory_mb', 'max_fds')
        },
        'log_bytes_per_s': _Setting(
            'log', 'bytes_per_s', _read_amount, 'a number, 0 or more'
        ),
    },
)
_OPEN_SECTIONS = ('zones', 'bounds')


def read_settings(text: str) -> GatewaySettings:
    """Parse and validate the text of a settings file.

    Raises one `SettingsError` with all faults; each names section, key, value
    and the expected form. Unknown keys are faults, except among the bounds,
    where the platform may add some.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=('=',))
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as failure:
        raise SettingsError([str(failure)]) from failure
    faults: list[str] = []
    found = _read_all(parser, faults)
    zones = dict(parser['zones']) if parser.has_section('zones') else {}
    found['regions_by_zone'] = MappingProxyType(zones)
    found['bounds'] = _read_bounds(parser, faults)
    faults.extend(_find_unknown(parser))
    faults.extend(_find_zone_mismatch(found, zones))
    if faults:
        raise SettingsError(faults)
    return GatewaySettings(**found)


def _read_all(
    parser: configparser.ConfigParser,
    faults: list[str],
) -> dict[str, Any]:
    found = {}
    for field, setting in _SETTINGS.items():
        raw = parser.get(setting.section, setting.key, fallback='').strip()
        try:
            found[field] = setting.read(raw)
        except ValueError:
            faults.append(
                f'[{setting.section}] {setting.key} = {raw!r}: '
                f'{setting.expected} expected',
            )
    return found


def _read_bounds(
    parser: configparser.ConfigParser,
    faults: list[str],
) -> Bounds:
    has_bounds = parser.has_section('bounds')
    texts: Mapping[str, str] = parser['bounds'] if has_bounds else {}
    try:
        return parse_bounds(texts)
    except PlatformFormatError as failure:
        faults.append(f'[bounds] {failure}')
        return Bounds()


def _find_unknown(parser: configparser.ConfigParser) -> list[str]:
    known = {(setting.section, setting.key) for setting in _SETTINGS.values()}
    return [
        f'[{section}] {key}: unknown'
        for section in parser.sections()
        if section not in _OPEN_SECTIONS
        for key in parser[section]
        if (section, key) not in known
    ]


def _find_zone_mismatch(
    found: dict[str, Any], zones: dict[str, str]
) -> list[str]:
    zone = found.get('availability_zone')
    if zone is None or zones.get(zone) == found.get('region'):
        return []
    return [f'[zones] {zone} = {zones.get(zone)!r}: its region expected']
