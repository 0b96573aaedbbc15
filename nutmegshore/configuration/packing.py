"""Compressed encodings of the table for messages between entries."""

import hashlib
import json
import zlib
from collections.abc import Iterable, Iterator

import msgpack

from nutmegshore.configuration.messages import Snapshot
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.resources import Envelope, write_envelope

__all__ = (
    'iter_batches',
    'iter_snapshots',
    'is_missing',
    'pack_versions',
    'read_snapshot',
    'unpack_versions',
)

Versions = dict[str, list]

#: Maximum bytes of envelopes in one message; an envelope is at most 1 MB.
_BATCH_BYTES = 2 * 1024 * 1024
#: Maximum unpacked size of a received payload.
_MAX_UNPACKED_BYTES = 8 * _BATCH_BYTES
_CHECKSUM_BYTES = 16
_FINGERPRINT_BYTES = 6
_COMPRESSION_LEVEL = 6


def pack_versions(envelopes: Iterable[Envelope]) -> bytes:
    """Pack the generation and the fingerprint of each key."""
    versions = {
        envelope.key: [envelope.generation, _fingerprint(envelope)]
        for envelope in envelopes
    }
    return zlib.compress(msgpack.packb(versions), _COMPRESSION_LEVEL)


def unpack_versions(packed: bytes) -> Versions:
    """Unpack versions; raises `LinkError` if malformed or too large."""
    if not packed:
        return {}
    try:
        versions = msgpack.unpackb(_inflate(packed))
    except (TypeError, ValueError, msgpack.UnpackException) as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME) from failure
    if not isinstance(versions, dict):
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'not a map')
    return versions


def is_missing(versions: Versions, envelope: Envelope) -> bool:
    """Whether the sender of the versions may lack this envelope."""
    version = versions.get(envelope.key)
    if version is None or version[0] < envelope.generation:
        return True
    is_same = version[0] == envelope.generation
    return is_same and version[1] != _fingerprint(envelope)


def iter_batches(envelopes: Iterable[Envelope]) -> Iterator[list[bytes]]:
    """Split encoded envelopes into lists that fit into one message."""
    batch: list[bytes] = []
    size = 0
    for envelope in envelopes:
        body = write_envelope(envelope)
        if batch and size + len(body) > _BATCH_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(body)
        size += len(body)
    yield batch


def iter_snapshots(
    envelopes: Iterable[Envelope],
    *,
    is_ready: bool,
) -> list[Snapshot]:
    """Encode envelopes as the chunks of a snapshot."""
    payloads = [
        zlib.compress(msgpack.packb(batch), _COMPRESSION_LEVEL)
        for batch in iter_batches(envelopes)
    ]
    last_index = len(payloads) - 1
    return [
        Snapshot(payload, _checksum(payload), index == last_index, is_ready)
        for index, payload in enumerate(payloads)
    ]


def read_snapshot(snapshot: Snapshot) -> list[bytes]:
    """Verify and unpack one chunk; raises `LinkError` if it is damaged."""
    if _checksum(snapshot.payload) != snapshot.checksum:
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'checksum')
    try:
        bodies = msgpack.unpackb(_inflate(snapshot.payload))
    except (TypeError, ValueError, msgpack.UnpackException) as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME) from failure
    if not isinstance(bodies, list):
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'not a list')
    return [body for body in bodies if isinstance(body, bytes)]


def _inflate(packed: bytes) -> bytes:
    # Bounds the unpacked size, since a few KB can unpack to gigabytes.
    inflater = zlib.decompressobj()
    try:
        unpacked = inflater.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME) from failure
    if inflater.unconsumed_tail or not inflater.eof:
        raise LinkError(ErrorKind.FRAME_TOO_LARGE)
    return unpacked


def _checksum(payload: bytes) -> bytes:
    digest = hashlib.blake2b(payload, digest_size=_CHECKSUM_BYTES)
    return digest.digest()


def _fingerprint(envelope: Envelope) -> bytes:
    identity = json.dumps([envelope.uid, envelope.operation]).encode()
    return hashlib.blake2b(identity, digest_size=_FINGERPRINT_BYTES).digest()
