"""Fingerprints that identify repeats of the same request."""

import hashlib

import attrs

__all__ = ('BODY_BYTES', 'Fingerprint', 'fingerprint')

#: Leading bytes of the body that enter the fingerprint.
BODY_BYTES = 65_536

_DIGEST_BYTES = 16


@attrs.frozen
class Fingerprint:
    """Hash of a request's content, and the service that it is sent to."""

    service: str
    digest: str


def fingerprint(
    service: str,
    method: str,
    target: str,
    body: bytes,
) -> Fingerprint:
    """Hash the method, the path with its query, and the start of the body.

    Headers are left out: they differ between repeats (dates, request ids,
    cookies), and a repeat must have the same fingerprint.

        fingerprint('orders', 'POST', '/orders?dry=1', b'{}')
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for component in (method.encode(), target.encode(), body[:BODY_BYTES]):
        digest.update(len(component).to_bytes(4, 'big'))
        digest.update(component)
    return Fingerprint(service, digest.hexdigest())
