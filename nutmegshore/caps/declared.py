"""Caps that declared objects define."""

import attrs

from nutmegshore.resources import Envelope, Limit, Shift

__all__ = (
    'BYTES',
    'BYTES_PER_UNIT',
    'CONCURRENCY',
    'REQUESTS',
    'DeclaredCap',
    'declared_caps',
)

REQUESTS = 'requests'
BYTES = 'bytes'
CONCURRENCY = 'concurrency'
BYTES_PER_UNIT = 65536


@attrs.frozen
class DeclaredCap:
    """Units of one measure that an object allows over all entries."""

    units: int
    lease_seconds: float


def declared_caps(envelope: Envelope) -> dict[str, DeclaredCap]:
    """Caps by measure; empty for a tombstone and for other kinds.

    A shift always has a cap of requests. Bytes count in whole units of
    64 KiB, rounded down, so that the declared bytes are never exceeded.
    """
    spec = envelope.spec
    if isinstance(spec, Shift):
        units = {REQUESTS: spec.cap}
        if spec.cap_bytes:
            units[BYTES] = spec.cap_bytes // BYTES_PER_UNIT
    elif isinstance(spec, Limit):
        units = _limit_units(spec)
    else:
        return {}
    return {
        measure: DeclaredCap(count, spec.lease_seconds)
        for measure, count in units.items()
    }


def _limit_units(limit: Limit) -> dict[str, int]:
    if limit.bytes_per_s:
        return {BYTES: limit.bytes_per_s // BYTES_PER_UNIT}
    if limit.concurrency:
        return {CONCURRENCY: limit.concurrency}
    return {REQUESTS: limit.requests_per_s}
