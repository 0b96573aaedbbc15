"""Bodies of the table's objects: compression, checksum and size bounds."""

import hashlib
import sys
import zlib
from array import array
from collections.abc import Iterable
from typing import Any

import msgpack

from nutmegshore.blocks.block import V4_BITS
from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.platform.base import MAX_BODY_BYTES

__all__ = (
    'ChunkFault',
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
#: Bound on a body after decompression, against one made to exhaust memory.
_MAX_PLAIN_BYTES = 8_000_000
_START_BYTES = 16


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


def write_starts(bits: int, starts: Iterable[int]) -> bytes:
    """Encode the first addresses of blocks of one family."""
    if bits == V4_BITS:
        return write_numbers(array('I', starts))
    return b''.join(write_start(start) for start in starts)


def read_starts(bits: int, packed: bytes) -> tuple[int, ...]:
    """Decode first addresses; raises ValueError where they are cut."""
    if bits == V4_BITS:
        return tuple(read_numbers('I', packed))
    if len(packed) % _START_BYTES:
        raise ValueError('starts are cut')
    parts = range(0, len(packed), _START_BYTES)
    return tuple(
        read_start(packed[slice(first, first + _START_BYTES)])
        for first in parts
    )


def _little_endian(numbers: 'array[int]') -> 'array[int]':
    if sys.byteorder == 'big':
        numbers = array(numbers.typecode, numbers)
        numbers.byteswap()
    return numbers
