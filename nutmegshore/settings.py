"""Settings of an entry, read from an INI file and checked as a whole."""

import configparser
import difflib
import ipaddress
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import attrs

from nutmegshore.errors import SettingsError

__all__ = ('EntrySettings', 'parse_settings', 'read_settings')

_MAX_PORT = 65_535


@attrs.frozen
class _Key:
    """A settings key: how it is read, what is expected, its default."""

    read: Callable[[str], Any]
    expected: str
    default: str | None = None


def _read_text(raw: str) -> str:
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def _read_port(raw: str) -> int:
    port = int(raw)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(raw)
    return port


def _read_ip(raw: str) -> str:
    return str(ipaddress.ip_address(raw))


def _read_seconds(raw: str) -> float:
    seconds = float(raw)
    if not 0 <= seconds < float('inf'):
        raise ValueError(raw)
    return seconds


def _read_log_form(raw: str) -> str:
    if raw not in {'json', 'console'}:
        raise ValueError(raw)
    return raw


def _text(expected: str, default: str | None = None) -> _Key:
    return _Key(_read_text, expected, default)


def _ip(default: str | None = None) -> _Key:
    return _Key(_read_ip, 'an IP number', default)


def _port(default: str | None = None) -> _Key:
    return _Key(_read_port, 'a port from 0 to 65535', default)


_SECTIONS = MappingProxyType(
    {
        'instance': {
            'name': _text('the name of this instance'),
            'region': _text('a region name'),
            'availability_zone': _text('an availability zone name'),
        },
        'callers': {'address': _ip(), 'port': _port()},
        'operators': {'address': _ip('127.0.0.1'), 'port': _port()},
        'platform': {'url': _text('the base URL of the object API')},
        'lookup': {
            'lifetime_seconds': _Key(_read_seconds, 'seconds, 0 or more', '5'),
        },
        'logs': {
            'form': _Key(_read_log_form, 'json or console', 'json'),
        },
    }
)


@attrs.frozen
class EntrySettings:
    """Checked settings; `by_section` holds each value by section and key."""

    by_section: dict[str, dict[str, Any]]

    def get(self, section: str, key: str) -> Any:
        """Value of one key; defaults are filled in."""
        return self.by_section[section][key]


def read_settings(path: str) -> EntrySettings:
    """Read a settings file; raises `SettingsError` with every fault."""
    try:
        with open(path, encoding='utf-8') as settings_file:
            text = settings_file.read()
    except OSError as failure:
        raise SettingsError([f'{path}: {failure.strerror}']) from failure
    return parse_settings(text)


def parse_settings(text: str) -> EntrySettings:
    """Check the text of a settings file as a whole."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as failure:
        raise SettingsError([str(failure)]) from failure
    faults = _unknown_names(parser)
    by_section = {
        section: _read_section(parser, section, faults) for section in _SECTIONS
    }
    if faults:
        raise SettingsError(faults)
    return EntrySettings(by_section)


def _read_section(
    parser: configparser.ConfigParser,
    section: str,
    faults: list[str],
) -> dict[str, Any]:
    found = {}
    for name, key in _SECTIONS[section].items():
        raw = parser.get(section, name, fallback=key.default)
        if raw is None:
            faults.append(f'[{section}] {name}: missing, {key.expected}')
            continue
        try:
            found[name] = key.read(raw)
        except ValueError:
            fault = f'[{section}] {name} = {raw}: expected {key.expected}'
            faults.append(fault)
    return found


def _unknown_names(parser: configparser.ConfigParser) -> list[str]:
    faults = []
    for section in parser.sections():
        known = _SECTIONS.get(section)
        if known is None:
            hint = _nearest(section, list(_SECTIONS))
            faults.append(f'[{section}]: unknown section{hint}')
            continue
        for name in parser.options(section):
            if name not in known:
                hint = _nearest(name, list(known))
                faults.append(f'[{section}] {name}: unknown key{hint}')
    return faults


def _nearest(name: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0)
    return f'; nearest is {matches[0]}' if matches else ''
