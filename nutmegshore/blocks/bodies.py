"""Bodies of the table's objects: compression, checksum and size bounds."""

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
    'read_body',
    'read_numbers',
    'read_start',
    'read_starts',
    'swap_sites',
    'write_body',
    'write_numbers',
    'write_start',
    'write_starts',
)

_FORMAT = 1
_DIGEST_BYTES = 16
#: Bound on a body after decompression, against one made to exhaust memory.
_MAX_PLAIN_BYTES = 8_000_000
_START_BYTES = 16
_HALF_BITS = 64
_LOW_MASK = (1 << _HALF_BITS) - 1


class ChunkFault(ObjectError):
    """A chunk, delta or manifest cannot be read or is too large."""

    def __init__(self, problem: str) -> None:
        """Name the problem; the kind is invalid_object."""
        super().__init__(ErrorKind.INVALID_OBJECT, f'client blocks: {problem}')


def write_body(fields: Any) -> bytes:
    """Encode fields; raises `ChunkFault` above the platform's 1 MB."""
    packed = zlib.compress(msgpack.packb(fields))
    body = msgpack.packb((_FORMAT, _digest(packed), packed))
    if len(body) > MAX_BODY_BYTES:
        raise ChunkFault(f'{len(body)} bytes are over {MAX_BODY_BYTES}')
    return body


def read_body(body: bytes) -> Any:
    """Decode fields; raises `ChunkFault` where the body is damaged."""
    try:
        version, digest, packed = msgpack.unpackb(body)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise ChunkFault('malformed body') from fault
    if version != _FORMAT:
        raise ChunkFault(f'format {version}, expected {_FORMAT}')
    if digest != _digest(packed):
        raise ChunkFault('checksum does not match')
    return _unpack(packed)


def _unpack(packed: bytes) -> Any:
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(packed, _MAX_PLAIN_BYTES)
    except zlib.error as fault:
        raise ChunkFault('malformed compression') from fault
    if not reader.eof:
        raise ChunkFault(f'more than {_MAX_PLAIN_BYTES} bytes')
    return msgpack.unpackb(plain)


def _digest(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


def write_start(start: int) -> bytes:
    """Encode an address of either family."""
    return start.to_bytes(_START_BYTES, 'big')


def read_start(packed: bytes) -> int:
    """Decode an address of either family."""
    return int.from_bytes(packed, 'big')


def write_numbers(numbers: 'array[int]') -> bytes:
    """Encode an array, the lower bytes first."""
    return _little_endian(numbers).tobytes()


def read_numbers(typecode: str, packed: bytes) -> 'array[int]':
    """Decode an array; raises ValueError where it is cut."""
    numbers = array(typecode)
    numbers.frombytes(packed)
    return _little_endian(numbers)


def swap_sites(packed: bytes) -> bytes:
    """Turn 16-bit numbers from or to the stored order, the lower byte first.

    They are stored as machines of the usual byte order keep them, since every
    load reads thousands of lists.
    """
    if sys.byteorder == 'little':
        return packed
    return write_numbers(read_numbers('H', packed))


def write_starts(bits: int, starts: Sequence[int]) -> bytes:
    """Encode the first addresses of blocks of one family.

    IPv6 addresses are written as all upper and then all lower halves.
    """
    if bits == V4_BITS:
        return write_numbers(array('I', starts))
    halves = array('Q', [start >> _HALF_BITS for start in starts])
    halves.extend(start & _LOW_MASK for start in starts)
    return write_numbers(halves)


def read_starts(bits: int, packed: bytes) -> tuple[int, ...]:
    """Decode first addresses; raises ValueError where they are cut."""
    if bits == V4_BITS:
        return tuple(read_numbers('I', packed))
    if len(packed) % _START_BYTES:
        raise ValueError('starts are cut')
    halves = read_numbers('Q', packed)
    count = len(halves) // 2
    pairs = zip(halves[:count], halves[count:], strict=True)
    return tuple(high << _HALF_BITS | low for high, low in pairs)


def _little_endian(numbers: 'array[int]') -> 'array[int]':
    if sys.byteorder == 'big':
        numbers = array(numbers.typecode, numbers)
        numbers.byteswap()
    return numbers
