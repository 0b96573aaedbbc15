"""Parses a settings file and reports all of its faults at once."""

import collections
import configparser
import difflib
import ipaddress
import re
from collections.abc import Iterator
from typing import Any

import attrs

from nutmegshore.errors import SettingsError
from nutmegshore.operators.access import AccessList
from nutmegshore.settings.sections import SECTIONS, SettingKey

__all__ = ('EntrySettings', 'parse_settings', 'read_settings')

_OPERATORS = 'operators'
_TLS = 'tls'
_KEY = 'key'
_SECTION_HEADER = re.compile(r'\[([^]]+)\]')
_KEY_LINE = re.compile('([^=:#;]+)[=:]')


@attrs.frozen
class EntrySettings:
    """Checked settings; `by_section` maps section and key to the value."""

    by_section: dict[str, dict[str, Any]]

    def get(self, section: str, key: str) -> Any:
        """Value of one key, or its default if the file does not set it."""
        return self.by_section[section][key]

    @property
    def access(self) -> AccessList:
        """Credentials that the operator listener accepts."""
        return AccessList(
            tokens=self.get(_OPERATORS, 'tokens') or (),
            subjects=self.get(_OPERATORS, 'subjects') or (),
            allows_unauthenticated=self.get(_OPERATORS, 'unauthenticated'),
        )


def read_settings(path: str) -> EntrySettings:
    """Read a settings file; raises `SettingsError` with all faults."""
    try:
        with open(path, encoding='utf-8') as settings_file:
            text = settings_file.read()
    except OSError as failure:
        raise SettingsError([f'{path}: {failure.strerror}']) from failure
    except UnicodeDecodeError as failure:
        raise SettingsError([f'{path}: expected UTF-8 text']) from failure
    return parse_settings(text)


def parse_settings(text: str) -> EntrySettings:
    """Parse the text of a settings file; raises `SettingsError`."""
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        default_section='',
    )
    try:
        parser.read_string(text)
    except configparser.Error as failure:
        raise SettingsError([_describe_syntax_error(failure)]) from failure
    faults = [*_duplicate_names(text), *_unknown_names(parser)]
    by_section = {
        section: _read_section(parser, section, faults) for section in SECTIONS
    }
    faults.extend(_consistency_faults(by_section))
    if faults:
        raise SettingsError(faults)
    return EntrySettings(by_section)


def _describe_syntax_error(failure: configparser.Error) -> str:
    lines = str(failure).replace("'<string>'", 'the file').split('\n')
    return ' '.join(line.strip() for line in lines)


def _read_section(
    parser: configparser.ConfigParser,
    section: str,
    faults: list[str],
) -> dict[str, Any]:
    values = {}
    for name, key in SECTIONS[section].items():
        raw = parser.get(section, name, fallback=key.default)
        if raw is None:
            faults.append(f'[{section}] {name}: missing, {key.expected}')
            continue
        try:
            values[name] = _read_key(key, raw)
        except (ValueError, KeyError):
            shown_value = _redact_secret(raw, key)
            faults.append(
                f'[{section}] {name} = {shown_value}: expected {key.expected}',
            )
    return values


def _read_key(key: SettingKey, raw: str) -> Any:
    is_unset_optional = not raw and key.default == ''
    return '' if is_unset_optional else key.read(raw)


def _redact_secret(raw: str, key: SettingKey) -> str:
    return '(not shown)' if key.is_secret else raw


def _consistency_faults(by_section: dict[str, dict[str, Any]]) -> list[str]:
    """List the faults of keys that are inconsistent with each other."""
    operators = by_section[_OPERATORS]
    tls = by_section[_TLS]
    faults = []
    address = operators.get('address')
    if operators.get('unauthenticated') and not _is_loopback(address):
        faults.append(
            f'[operators] unauthenticated = yes: expected no, or a loopback'
            f' address; address is {address}',
        )
    listeners = (operators, by_section['peers'], by_section['callers'])
    uses_tls = any(section.get(_TLS) for section in listeners)
    for name in ('certificate', _KEY):
        if uses_tls and not tls.get(name, name):
            faults.append(f'[tls] {name}: missing, needed by tls = yes')
    faults.extend(_peer_faults(by_section['peers'], tls))
    if operators.get('subjects') and not operators.get(_TLS):
        faults.append('[operators] subjects: expected tls = yes with them')
    if operators.get('subjects') and not tls.get('client_ca'):
        faults.append('[tls] client_ca: missing, needed by subjects')
    return faults


def _peer_faults(
    peers: dict[str, Any],
    tls: dict[str, Any],
) -> list[str]:
    faults = []
    if not peers.get(_KEY, _KEY) and not _is_loopback(peers.get('address')):
        faults.append(
            '[peers] key: missing, required unless on a loopback address'
        )
    if peers.get(_TLS) and not tls.get('client_ca'):
        faults.append('[tls] client_ca: missing, needed by [peers] tls = yes')
    return faults


def _is_loopback(address: str | None) -> bool:
    # None stands for an invalid address, which is already reported.
    return address is None or ipaddress.ip_address(address).is_loopback


def _duplicate_names(text: str) -> list[str]:
    """List sections and keys that occur twice; the parser accepts them."""
    counts = collections.Counter(_iter_names(text))
    return [
        f'{name}: occurs {count} times'
        for name, count in counts.items()
        if count > 1
    ]


def _iter_names(text: str) -> Iterator[str]:
    section = ''
    for line in text.splitlines():
        section_header = _SECTION_HEADER.match(line)
        key_line = _KEY_LINE.match(line)
        if section_header:
            section = section_header.group()
            yield section
        elif key_line and not line[0].isspace():
            name = key_line.group(1).strip().lower()
            yield f'{section} {name}'


def _unknown_names(parser: configparser.ConfigParser) -> list[str]:
    faults = []
    for section in parser.sections():
        known = SECTIONS.get(section)
        if known is None:
            hint = _suggest_nearest(section, list(SECTIONS))
            faults.append(f'[{section}]: unknown section{hint}')
            continue
        for name in parser.options(section):
            if name not in known:
                hint = _suggest_nearest(name, list(known))
                faults.append(f'[{section}] {name}: unknown key{hint}')
    return faults


def _suggest_nearest(name: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0)
    return f'; nearest is {matches[0]}' if matches else ''
