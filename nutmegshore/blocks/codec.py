"""Encoding of chunks, deltas and manifests for the store and peers."""

from array import array
from typing import Any

from nutmegshore.blocks import bodies
from nutmegshore.blocks.block import V4_BITS, V6_BITS, Network
from nutmegshore.blocks.chunks import BlockChange, Chunk, Delta, Manifest

__all__ = (
    'parse_chunk',
    'parse_delta',
    'parse_manifest',
    'write_chunk',
    'write_delta',
    'write_manifest',
)

_SITE_BYTES = 2

#: Raised when malformed fields are decoded; LookupError covers IndexError and
#: KeyError.
_MALFORMED = (ValueError, TypeError, LookupError, OverflowError)


def write_chunk(chunk: Chunk) -> bytes:
    """Encode a chunk; raises `ChunkFault` over the platform's 1 MB limit."""
    fields = (
        chunk.generation,
        chunk.index,
        chunk.version,
        chunk.bits,
        [bodies.convert_site_bytes(packed) for packed in chunk.lists],
        bodies.write_starts(chunk.bits, chunk.starts),
        chunk.host_bits,
        bodies.write_numbers(chunk.rankings),
    )
    return bodies.write_body(fields)


def parse_chunk(body: bytes) -> Chunk:
    """Decode a chunk; raises `ChunkFault` if it is malformed."""
    try:
        return _build_chunk(bodies.read_body(body))
    except _MALFORMED as fault:
        raise bodies.ChunkFault(f'malformed chunk: {fault!r}') from fault


def write_delta(delta: Delta) -> bytes:
    """Encode a delta; raises `ChunkFault` over the platform's 1 MB limit."""
    changes = [
        (
            change.number,
            change.network.bits,
            bodies.write_start(change.network.start),
            change.network.length,
            change.sites,
        )
        for change in delta.changes
    ]
    return bodies.write_body(
        (delta.generation, delta.index, delta.base, changes)
    )


def parse_delta(body: bytes) -> Delta:
    """Decode a delta; raises `ChunkFault` if it is malformed."""
    try:
        return _build_delta(bodies.read_body(body))
    except _MALFORMED as fault:
        raise bodies.ChunkFault(f'malformed delta: {fault!r}') from fault


def write_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest."""
    positions = [
        (bits, bodies.write_start(start)) for bits, start in manifest.positions
    ]
    return bodies.write_body((manifest.generation, positions))


def parse_manifest(body: bytes) -> Manifest:
    """Decode a manifest; raises `ChunkFault` if it is malformed."""
    try:
        return _build_manifest(bodies.read_body(body))
    except _MALFORMED as fault:
        raise bodies.ChunkFault(f'malformed manifest: {fault!r}') from fault


def _build_chunk(fields: Any) -> Chunk:
    bits = _read_bits(fields[3])
    lists, starts, host_bits, rankings = fields[4:]
    chunk = Chunk(
        generation=int(fields[0]),
        index=int(fields[1]),
        version=int(fields[2]),
        bits=bits,
        lists=tuple(_read_site_list(packed) for packed in lists),
        starts=bodies.read_starts(bits, starts),
        host_bits=bytes(host_bits),
        rankings=bodies.read_numbers('H', rankings),
    )
    _check_chunk(chunk)
    return chunk


def _check_chunk(chunk: Chunk) -> None:
    count = len(chunk.starts)
    if not count == len(chunk.host_bits) == len(chunk.rankings):
        raise ValueError('arrays differ in length')
    if max(chunk.rankings, default=-1) >= len(chunk.lists):
        raise ValueError('ranking index out of range')


def _build_delta(fields: Any) -> Delta:
    generation, index, base, raw = fields
    changes = tuple(_read_change(change) for change in _read_list(raw))
    numbers = [change.number for change in changes]
    expected = list(range(base + 1, base + 1 + len(changes)))
    if numbers != expected:
        raise ValueError('changes are not numbered consecutively')
    return Delta(int(generation), int(index), int(base), changes)


def _read_change(raw: Any) -> BlockChange:
    number, bits, start = raw[:3]
    length, sites = raw[3:]
    network = Network(_read_bits(bits), bodies.read_start(start), length)
    if not 0 <= length <= bits or network.start >> bits:
        raise ValueError('network out of range')
    if network.start & ((1 << network.host_bits) - 1):
        raise ValueError('host bits set')
    return BlockChange(
        number, network, None if sites is None else _read_sites(sites)
    )


def _build_manifest(fields: Any) -> Manifest:
    generation, raw = fields
    positions = tuple(
        (_read_bits(bits), bodies.read_start(start))
        for bits, start in _read_list(raw)
    )
    if list(positions) != sorted(set(positions)):
        raise ValueError('chunk positions are not in ascending order')
    if not {(V4_BITS, 0), (V6_BITS, 0)} <= set(positions):
        raise ValueError('an address family has no chunk at address 0')
    return Manifest(int(generation), positions)


def _read_sites(raw: Any) -> tuple[int, ...]:
    # array raises for anything but unsigned 16-bit integers.
    return tuple(array('H', raw))


def _read_site_list(raw: Any) -> bytes:
    if not isinstance(raw, bytes) or len(raw) % _SITE_BYTES:
        raise ValueError('truncated site list')
    return bodies.convert_site_bytes(raw)


def _read_list(raw: Any) -> list[Any]:
    if not isinstance(raw, list):
        raise TypeError('not a list')
    return raw


def _read_bits(raw: Any) -> int:
    if raw not in {V4_BITS, V6_BITS}:
        raise ValueError(f'{raw} is not an address width')
    return raw
