"""Look-ups: where a caller is told to connect."""

import json
from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

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
#: Addresses that a caller takes from one answer.
MAX_NAMED = 64


@attrs.frozen
class LookupQuestion:
    """The host that a caller wants, and the place that it asks from."""

    host: str
    region: str
    availability_zone: str


def parse_lookup(target: str) -> LookupQuestion:
    """Read the query of a look-up; what is absent is empty."""
    query = parse_qs(urlsplit(target).query)
    return LookupQuestion(
        query.get('Name', [''])[0],
        query.get('Region', [''])[0],
        query.get('Zone', [''])[0],
    )


def write_lookup(addresses: Sequence[str], lifetime_s: float) -> bytes:
    """The answer's body with callers' addresses and their lifetime."""
    answer = {'Addrs': list(addresses), 'TtlS': lifetime_s}
    return json.dumps(answer).encode()
