"""Lookups, by which callers find the addresses to connect to."""

import json
from collections.abc import Sequence
from urllib.parse import parse_qs

import attrs

__all__ = (
    'LOOKUP_PATH',
    'MAX_NAMED',
    'READY_PATH',
    'LookupQuestion',
    'parse_lookup',
    'write_lookup',
)

LOOKUP_PATH = '/resolve'
READY_PATH = '/ready'
#: Addresses that a caller reads from one answer.
MAX_NAMED = 64


@attrs.frozen
class LookupQuestion:
    """The host that a caller looks up, and the caller's own location."""

    host: str
    region: str
    availability_zone: str


def parse_lookup(target: str) -> LookupQuestion:
    """Parse the query of a lookup; an absent parameter is empty."""
    query = parse_qs(target.partition('?')[2])
    return LookupQuestion(
        query.get('Name', [''])[0],
        query.get('Region', [''])[0],
        query.get('Zone', [''])[0],
    )


def write_lookup(addresses: Sequence[str], lifetime_s: float) -> bytes:
    """Encode the answer to a lookup; the lifetime is in seconds."""
    answer = {'Addrs': list(addresses), 'TtlS': lifetime_s}
    return json.dumps(answer).encode()
