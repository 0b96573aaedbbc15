"""All settings by section and key: reader, expected form and default."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import attrs

from nutmegshore.settings import readers

__all__ = ('SECTIONS', 'SettingKey')


@attrs.frozen
class SettingKey:
    """Definition of a settings key.

    `read` converts the text of a value or raises ValueError, and `expected`
    describes the valid form for operators. A key with the default None is
    required; one with an empty default is optional, and empty if unset.
    Error messages never contain the value of a secret.
    """

    read: Callable[[str], Any]
    expected: str
    default: str | None = None
    is_secret: bool = False


def _text(expected: str, default: str | None = None) -> SettingKey:
    return SettingKey(readers.read_text, expected, default)


def _ip(default: str | None = None) -> SettingKey:
    return SettingKey(readers.read_ip, 'an IP number', default)


def _port(default: str | None = None) -> SettingKey:
    return SettingKey(readers.read_port, 'a port from 0 to 65535', default)


def _flag(default: str) -> SettingKey:
    return SettingKey(readers.read_flag, 'yes or no', default)


def _count(default: str) -> SettingKey:
    return SettingKey(readers.read_count, 'a whole number from 1', default)


def _optional_count() -> SettingKey:
    expected = 'a whole number from 1, or nothing'
    return SettingKey(readers.read_optional_count, expected, '')


def _path(expected: str) -> SettingKey:
    return SettingKey(readers.read_text, expected, '')


_ADDRESS = 'address'
_PORT = 'port'
_LOOPBACK = '127.0.0.1'

SECTIONS = MappingProxyType(
    {
        'instance': {
            'name': _text('the name of this instance'),
            'region': _text('a region name'),
            'availability_zone': _text('an availability zone name'),
            'memory_mb': _optional_count(),
            'max_fds': _optional_count(),
        },
        'callers': {_ADDRESS: _ip(), _PORT: _port(), 'tls': _flag('no')},
        'operators': {
            _ADDRESS: _ip(_LOOPBACK),
            _PORT: _port(),
            'tls': _flag('no'),
            'unauthenticated': _flag('no'),
            'tokens': SettingKey(
                readers.read_tokens,
                'lines of NAME read|write sha256:SALT:DIGEST, names different',
                '',
                is_secret=True,
            ),
            'subjects': SettingKey(
                readers.read_subjects,
                'lines of COMMON-NAME read|write, names different',
                '',
            ),
        },
        'peers': {
            _ADDRESS: _ip(_LOOPBACK),
            _PORT: _port('0'),
            'cluster': _text('the name of the cluster', 'nutmegshore'),
            'key': SettingKey(
                readers.read_key,
                'a shared key of at least 16 characters',
                '',
                is_secret=True,
            ),
            'tls': _flag('no'),
        },
        'platform': {
            'url': SettingKey(readers.read_url, 'a URL as http://IP:port'),
        },
        'tls': {
            'certificate': _path('path of a PEM file with the certificate'),
            'key': _path('path of a PEM file with the private key'),
            'client_ca': _path('path of a PEM file with the client CA'),
        },
        'lookup': {
            'lifetime_seconds': SettingKey(
                readers.read_seconds,
                'seconds, 0 or more',
                '5',
            ),
        },
        'limits': {
            'operator_body_bytes': _count('1000000'),
            'operator_watches': _count('64'),
            'caller_body_bytes': _count('67108864'),
        },
        'logs': {
            'form': SettingKey(
                readers.read_choice('json', 'console'),
                'json or console',
                'json',
            ),
        },
    }
)
