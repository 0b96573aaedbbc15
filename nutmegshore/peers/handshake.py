"""Handshake of a link: version, cluster and proof of the cluster key."""

import hashlib
import hmac

import attrs
import msgpack

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.link import Link
from nutmegshore.peers.messages import Hello, Proof, Refusal

__all__ = (
    'PROTOCOL_MAJOR',
    'PROTOCOL_MINOR',
    'VERSION_SCALE',
    'perform_handshake',
)

PROTOCOL_MAJOR = 1
#: 1: compressed frames are read.
PROTOCOL_MINOR = 1
#: A protocol version is major * 1000 + minor.
VERSION_SCALE = 1000
_COMPRESSION_MINOR = 1
_DIALLER = b'dialler'
_ACCEPTOR = b'acceptor'


async def perform_handshake(
    link: Link,
    local: Hello,
    key: bytes,
    *,
    is_dialler: bool,
) -> Hello:
    """Exchange hellos and proofs; returns the other side's hello.

    The proof covers both hellos, and so both challenges, and names the side
    that sent it, so that a replayed or reflected proof does not match. Raises
    `LinkError` after sending the other side a `Refusal` with the reason.
    """
    link.send(local)
    try:
        remote = await _exchange_proofs(link, local, key, is_dialler=is_dialler)
    except LinkError as failure:
        if failure.kind is not ErrorKind.LINK_CLOSED:
            link.send(Refusal(failure.kind.value))
        raise
    link.is_proven = True
    minor = remote.version % VERSION_SCALE
    link.reads_compressed = minor >= _COMPRESSION_MINOR
    return remote


async def _exchange_proofs(
    link: Link,
    local: Hello,
    key: bytes,
    *,
    is_dialler: bool,
) -> Hello:
    remote = await _read(link, Hello)
    _check_hello(local, remote)
    hellos = (local, remote) if is_dialler else (remote, local)
    sides = (_DIALLER, _ACCEPTOR) if is_dialler else (_ACCEPTOR, _DIALLER)
    link.send(Proof(_make_proof(key, sides[0], hellos)))
    proof = await _read(link, Proof)
    expected = _make_proof(key, sides[1], hellos)
    if not _is_equal(proof.digest, expected):
        raise LinkError(ErrorKind.PEER_WRONG_KEY, remote.name)
    return remote


def _is_equal(found: object, expected: bytes) -> bool:
    if not isinstance(found, bytes):
        return False
    return hmac.compare_digest(found, expected)


async def _read(link: Link, message_type: type) -> object:
    async for body in link:
        if isinstance(body, message_type):
            return body
        if isinstance(body, Refusal):
            raise LinkError(_refusal_kind(body), 'refused')
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'out of order')
    raise LinkError(ErrorKind.LINK_CLOSED)


def _refusal_kind(refusal: Refusal) -> ErrorKind:
    try:
        return ErrorKind(refusal.kind)
    except ValueError:
        # A newer version may refuse for a reason unknown here.
        return ErrorKind.LINK_CLOSED


def _check_hello(local: Hello, remote: Hello) -> None:
    invalid_fields = [
        name
        for name, field in attrs.fields_dict(Hello).items()
        if not isinstance(getattr(remote, name), field.type)
    ]
    # A wrong address in the platform's list can link a member to itself.
    if invalid_fields or remote.name in {'', local.name}:
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'hello')
    if remote.version // VERSION_SCALE != local.version // VERSION_SCALE:
        raise LinkError(ErrorKind.PEER_INCOMPATIBLE_VERSION, remote.name)
    if remote.cluster != local.cluster:
        raise LinkError(ErrorKind.PEER_WRONG_CLUSTER, remote.name)


def _make_proof(key: bytes, side: bytes, hellos: tuple[Hello, Hello]) -> bytes:
    fields = [attrs.astuple(hello) for hello in hellos]
    covered = msgpack.packb([side, *fields])
    return hmac.new(key, covered, hashlib.sha256).digest()
