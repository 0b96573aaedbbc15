"""Fingerprints that identify repeats of the same request."""

import hashlib

import attrs

__all__ = ('BODY_BYTES', 'Fingerprint', 'fingerprint')

#: Leading bytes of the body that count.
BODY_BYTES = 65_536

_DIGEST_BYTES = 16


@attrs.frozen
class Fingerprint:
    """Identity of a request's content, within its service."""

    service: str
    digest: str


def fingerprint(
    service: str,
    method: str,
    target: str,
    body: bytes,
) -> Fingerprint:
    """Fingerprint from method, path with query, and the start of the body.

    Headers do not count: they differ between repeats (dates, request ids,
    cookies), and a repeat must be recognised.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), target.encode(), body[:BODY_BYTES]):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return Fingerprint(service, digest.hexdigest())
