"""The settings that exist: section, key, reader, expected form, default."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import attrs

from nutmegshore.settings import readers

__all__ = ('SECTIONS', 'Key')


@attrs.frozen
class Key:
    """A settings key: how it is read and what is expected.

    `default` None makes the key required; an empty default makes it optional
    without a value. A secret's value is never shown.
    """

    read: Callable[[str], Any]
    expected: str
    default: str | None = None
    is_secret: bool = False


def _text(expected: str, default: str | None = None) -> Key:
    return Key(readers.read_text, expected, default)


def _ip(default: str | None = None) -> Key:
    return Key(readers.read_ip, 'an IP number', default)


def _port(default: str | None = None) -> Key:
    return Key(readers.read_port, 'a port from 0 to 65535', default)


def _flag(default: str) -> Key:
    return Key(readers.read_flag, 'yes or no', default)


def _count(default: str) -> Key:
    return Key(readers.read_count, 'a whole number from 1', default)


def _path(expected: str) -> Key:
    return Key(readers.read_text, expected, '')


_ADDRESS = 'address'
_PORT = 'port'
_LOOPBACK = '127.0.0.1'

SECTIONS = MappingProxyType(
    {
        'instance': {
            'name': _text('the name of this instance'),
            'region': _text('a region name'),
            'availability_zone': _text('an availability zone name'),
        },
        'callers': {_ADDRESS: _ip(), _PORT: _port(), 'tls': _flag('no')},
        'operators': {
            _ADDRESS: _ip(_LOOPBACK),
            _PORT: _port(),
            'tls': _flag('no'),
            'unauthenticated': _flag('no'),
            'tokens': Key(
                readers.read_tokens,
                'lines of NAME read|write sha256:SALT:DIGEST, names different',
                '',
                is_secret=True,
            ),
            'subjects': Key(
                readers.read_subjects,
                'lines of COMMON-NAME read|write, names different',
                '',
            ),
        },
        'peers': {
            _ADDRESS: _ip(_LOOPBACK),
            _PORT: _port('0'),
            'cluster': _text('the name of the cluster', 'nutmegshore'),
            'key': Key(
                readers.read_key,
                'a shared key of at least 16 characters',
                '',
                is_secret=True,
            ),
            'tls': _flag('no'),
        },
        'platform': {
            'url': Key(readers.read_url, 'a URL as http://IP:port'),
        },
        'tls': {
            'certificate': _path('path of a PEM file with the certificate'),
            'key': _path('path of a PEM file with the private key'),
            'client_ca': _path('path of a PEM file with the client CA'),
        },
        'lookup': {
            'lifetime_seconds': Key(
                readers.read_seconds,
                'seconds, 0 or more',
                '5',
            ),
        },
        'limits': {
            'operator_body_bytes': _count('1000000'),
            'operator_watches': _count('64'),
        },
        'logs': {
            'form': Key(
                readers.read_choice('json', 'console'),
                'json or console',
                'json',
            ),
        },
    }
)
