"""Caps enforced over all entries together."""

from nutmegshore.caps.cap import CapStatus, HeldBack
from nutmegshore.caps.caps import Caps
from nutmegshore.caps.declared import BYTES, CONCURRENCY, REQUESTS
from nutmegshore.caps.ledger import (
    Ledger,
    Share,
    ledger_key,
    parse_ledger,
    write_ledger,
)

__all__ = (
    'BYTES',
    'CONCURRENCY',
    'REQUESTS',
    'CapStatus',
    'Caps',
    'HeldBack',
    'Ledger',
    'Share',
    'ledger_key',
    'parse_ledger',
    'write_ledger',
)
