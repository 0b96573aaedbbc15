"""Bodies of stored block objects: compression, checksum, size limits."""

import hashlib
import sys
import zlib
from array import array
from collections.abc import Sequence
from typing import Any

import msgpack

from nutmegshore.blocks.block import V4_BITS
from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.store.base import MAX_BODY_BYTES

__all__ = (
    'ChunkFault',
    'convert_site_bytes',
    'read_body',
    'read_numbers',
    'read_start',
    'read_starts',
    'write_body',
    'write_numbers',
    'write_start',
    'write_starts',
)

_FORMAT = 1
_DIGEST_BYTES = 16
#: Limit on a decompressed body, so that a crafted one cannot exhaust memory.
_MAX_DECOMPRESSED_BYTES = 8_000_000
_START_BYTES = 16
_HALF_BITS = 64
_LOW_MASK = (1 << _HALF_BITS) - 1


class ChunkFault(ObjectError):
    """A chunk, delta or manifest cannot be read or is too large."""

    def __init__(self, problem: str) -> None:
        """Describe the problem; the error kind is invalid_object."""
        super().__init__(ErrorKind.INVALID_OBJECT, f'client blocks: {problem}')


def write_body(fields: Any) -> bytes:
    """Serialize, compress and checksum fields.

    Raises `ChunkFault` for a body over the platform's limit of 1 MB.
    """
    compressed = zlib.compress(msgpack.packb(fields))
    body = msgpack.packb((_FORMAT, _digest(compressed), compressed))
    if len(body) > MAX_BODY_BYTES:
        raise ChunkFault(f'{len(body)} bytes are over {MAX_BODY_BYTES}')
    return body


def read_body(body: bytes) -> Any:
    """Verify, decompress and deserialize fields.

    Raises `ChunkFault` for a malformed body, another format, a checksum
    mismatch or too many decompressed bytes.
    """
    try:
        version, digest, compressed = msgpack.unpackb(body)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise ChunkFault('malformed body') from fault
    if version != _FORMAT:
        raise ChunkFault(f'format {version}, expected {_FORMAT}')
    if digest != _digest(compressed):
        raise ChunkFault('checksum does not match')
    return _decompress(compressed)


def _decompress(compressed: bytes) -> Any:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(
            compressed, _MAX_DECOMPRESSED_BYTES
        )
    except zlib.error as fault:
        raise ChunkFault('malformed compression') from fault
    if not decompressor.eof:
        raise ChunkFault(f'more than {_MAX_DECOMPRESSED_BYTES} bytes')
    return msgpack.unpackb(decompressed)


def _digest(compressed: bytes) -> bytes:
    return hashlib.blake2b(compressed, digest_size=_DIGEST_BYTES).digest()


def write_start(start: int) -> bytes:
    """Encode an IPv4 or IPv6 address as 16 bytes, big-endian."""
    return start.to_bytes(_START_BYTES, 'big')


def read_start(packed: bytes) -> int:
    """Decode an address that `write_start` encoded."""
    return int.from_bytes(packed, 'big')


def write_numbers(numbers: 'array[int]') -> bytes:
    """Encode an array in little-endian byte order."""
    return _little_endian(numbers).tobytes()


def read_numbers(typecode: str, packed: bytes) -> 'array[int]':
    """Decode a little-endian array; raises ValueError if it is truncated."""
    numbers = array(typecode)
    numbers.frombytes(packed)
    return _little_endian(numbers)


def convert_site_bytes(packed: bytes) -> bytes:
    """Convert 16-bit site numbers between native and stored byte order.

    The stored order is little-endian, which is native on common machines: a
    load reads thousands of lists and need not convert them there.
    """
    if sys.byteorder == 'little':
        return packed
    return write_numbers(read_numbers('H', packed))


def write_starts(bits: int, starts: Sequence[int]) -> bytes:
    """Encode the first addresses of blocks of one family.

    IPv6 addresses are written as all upper halves, then all lower halves.
    """
    if bits == V4_BITS:
        return write_numbers(array('I', starts))
    halves = array('Q', [start >> _HALF_BITS for start in starts])
    halves.extend(start & _LOW_MASK for start in starts)
    return write_numbers(halves)


def read_starts(bits: int, packed: bytes) -> tuple[int, ...]:
    """Decode first addresses; raises ValueError if they are truncated."""
    if bits == V4_BITS:
        return tuple(read_numbers('I', packed))
    if len(packed) % _START_BYTES:
        raise ValueError('truncated block addresses')
    halves = read_numbers('Q', packed)
    count = len(halves) // 2
    pairs = zip(halves[:count], halves[count:], strict=True)
    return tuple(high << _HALF_BITS | low for high, low in pairs)


def _little_endian(numbers: 'array[int]') -> 'array[int]':
    if sys.byteorder == 'big':
        numbers = array(numbers.typecode, numbers)
        numbers.byteswap()
    return numbers
