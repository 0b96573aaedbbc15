"""Compressed forms of the table for the exchange between entries."""

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
    'lacks',
    'pack_versions',
    'read_snapshot',
    'unpack_versions',
)

Versions = dict[str, list]

#: Bytes of envelopes in one message; an envelope is at most 1 MB.
_BATCH_BYTES = 2 * 1024 * 1024
#: Bytes that a received payload may unpack to.
_MAX_UNPACKED_BYTES = 8 * _BATCH_BYTES
_CHECKSUM_BYTES = 16
_MARK_BYTES = 6
_COMPRESSION = 6


def pack_versions(envelopes: Iterable[Envelope]) -> bytes:
    """Pack generation and mark of each key."""
    versions = {
        envelope.key: [envelope.generation, _mark(envelope)]
        for envelope in envelopes
    }
    return zlib.compress(msgpack.packb(versions), _COMPRESSION)


def unpack_versions(packed: bytes) -> Versions:
    """Read packed versions, or raise `LinkError`."""
    if not packed:
        return {}
    try:
        versions = msgpack.unpackb(_inflate(packed))
    except (TypeError, ValueError, msgpack.UnpackException) as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME) from failure
    if not isinstance(versions, dict):
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'not a map')
    return versions


def lacks(versions: Versions, envelope: Envelope) -> bool:
    """Whether the sender of the versions may need this envelope."""
    found = versions.get(envelope.key)
    if found is None or found[0] < envelope.generation:
        return True
    is_same = found[0] == envelope.generation
    return is_same and found[1] != _mark(envelope)


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
    """Make the parts of a snapshot."""
    payloads = [
        zlib.compress(msgpack.packb(batch), _COMPRESSION)
        for batch in iter_batches(envelopes)
    ]
    last = len(payloads) - 1
    return [
        Snapshot(payload, _checksum(payload), index == last, is_ready)
        for index, payload in enumerate(payloads)
    ]


def read_snapshot(snapshot: Snapshot) -> list[bytes]:
    """Check and unpack one part, or raise `LinkError`."""
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
    # The size is bounded here, since a few KB can unpack to gigabytes.
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


def _mark(envelope: Envelope) -> bytes:
    identity = json.dumps([envelope.uid, envelope.operation]).encode()
    return hashlib.blake2b(identity, digest_size=_MARK_BYTES).digest()
