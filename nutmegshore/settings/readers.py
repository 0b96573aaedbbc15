"""Readers of single settings; each raises ValueError for a wrong value."""

import ipaddress
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from nutmegshore.operators.access import Grant, parse_subject, parse_token

_MAX_PORT = 65_535
_MIN_KEY_LENGTH = 16
_FLAGS = (('yes', True), ('no', False))


def read_text(raw: str) -> str:
    """Read text that is not empty."""
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def read_key(raw: str) -> str:
    """Read a shared key; short ones can be guessed."""
    if len(raw.strip()) < _MIN_KEY_LENGTH:
        raise ValueError('too short')
    return raw.strip()


def read_port(raw: str) -> int:
    """Read a port; 0 lets the system choose one."""
    port = int(raw)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(raw)
    return port


def read_ip(raw: str) -> str:
    """Read an IP number."""
    return str(ipaddress.ip_address(raw))


def read_url(raw: str) -> str:
    """Read a base URL whose host is an IP number."""
    parts = urlsplit(raw)
    if parts.scheme not in {'http', 'https'} or parts.query:
        raise ValueError(raw)
    ipaddress.ip_address(parts.hostname or '')
    if not parts.port:
        raise ValueError(raw)
    return raw


def read_seconds(raw: str) -> float:
    """Read a number of seconds, 0 or more."""
    seconds = float(raw)
    if not (math.isfinite(seconds) and seconds >= 0):
        raise ValueError(raw)
    return seconds


def read_count(raw: str) -> int:
    """Read a whole number from 1."""
    count = int(raw)
    if count < 1:
        raise ValueError(raw)
    return count


def read_flag(raw: str) -> bool:
    """Read yes or no."""
    return dict(_FLAGS)[read_choice(*dict(_FLAGS))(raw)]


def read_choice(*allowed: str) -> Callable[[str], str]:
    """Make a reader of one of the given words."""
    return _Choice(allowed)


class _Choice:
    def __init__(self, allowed: tuple[str, ...]) -> None:
        self._allowed = allowed

    def __call__(self, raw: str) -> str:
        if raw not in self._allowed:
            raise ValueError(raw)
        return raw


def read_tokens(raw: str) -> tuple[Grant, ...]:
    """Read one token grant a line, names and hashes all different."""
    return _read_grants(raw, parse_token)


def read_subjects(raw: str) -> tuple[Grant, ...]:
    """Read one certificate grant a line, names all different."""
    return _read_grants(raw, parse_subject)


def _read_grants(raw: str, parse: Callable[[str], Any]) -> tuple[Grant, ...]:
    grants = tuple(parse(line) for line in raw.split('\n') if line.strip())
    names = {grant.credential.name for grant in grants}
    if len(names) != len(grants):
        raise ValueError('a name occurs twice')
    return grants
