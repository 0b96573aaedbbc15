"""Readers of single settings; each raises ValueError if one is invalid."""

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
    """Read text that is not blank, without surrounding whitespace."""
    if not raw.strip():
        raise ValueError(raw)
    return raw.strip()


def read_key(raw: str) -> str:
    """Read a shared key of 16 or more characters, to prevent guessing it."""
    if len(raw.strip()) < _MIN_KEY_LENGTH:
        raise ValueError('too short')
    return raw.strip()


def read_port(raw: str) -> int:
    """Read a port number; 0 lets the operating system choose one."""
    port = int(raw)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(raw)
    return port


def read_ip(raw: str) -> str:
    """Read an IP address and return its canonical form."""
    return str(ipaddress.ip_address(raw))


def read_url(raw: str) -> str:
    """Read a base URL with an IP address as host and an explicit port."""
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


def read_optional_count(raw: str) -> int:
    """Read a whole number from 1; nothing is 0."""
    return read_count(raw) if raw.strip() else 0


def read_count(raw: str) -> int:
    """Read an integer of at least 1."""
    count = int(raw)
    if count < 1:
        raise ValueError(raw)
    return count


def read_flag(raw: str) -> bool:
    """Read yes as True and no as False."""
    return dict(_FLAGS)[read_choice(*dict(_FLAGS))(raw)]


def read_choice(*allowed: str) -> Callable[[str], str]:
    """Create a reader that accepts only the given words."""
    return _ChoiceReader(allowed)


class _ChoiceReader:
    def __init__(self, allowed: tuple[str, ...]) -> None:
        self._allowed = allowed

    def __call__(self, raw: str) -> str:
        if raw not in self._allowed:
            raise ValueError(raw)
        return raw


def read_tokens(raw: str) -> tuple[Grant, ...]:
    """Read one token grant per line; the names must be distinct."""
    return _read_grants(raw, parse_token)


def read_subjects(raw: str) -> tuple[Grant, ...]:
    """Read one certificate grant per line; the names must be distinct."""
    return _read_grants(raw, parse_subject)


def _read_grants(raw: str, parse: Callable[[str], Any]) -> tuple[Grant, ...]:
    grants = tuple(parse(line) for line in raw.split('\n') if line.strip())
    names = {grant.credential.name for grant in grants}
    if len(names) != len(grants):
        raise ValueError('a name occurs twice')
    return grants
