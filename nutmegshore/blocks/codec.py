"""Coding of chunks, deltas and the manifest for the store and peers."""

from array import array
from typing import Any

from nutmegshore.blocks import bodies
from nutmegshore.blocks.block import V4_BITS, V6_BITS, Network
from nutmegshore.blocks.chunks import Change, Chunk, Delta, Manifest

__all__ = (
    'parse_chunk',
    'parse_delta',
    'parse_manifest',
    'write_chunk',
    'write_delta',
    'write_manifest',
)

_SITE_BYTES = 2

#: What reading fields of an unexpected form raises; IndexError and KeyError
#: are lookup errors.
_MALFORMED = (ValueError, TypeError, LookupError, OverflowError)


def write_chunk(chunk: Chunk) -> bytes:
    """Encode a chunk; raises `ChunkFault` above the platform's 1 MB."""
    fields = (
        chunk.generation,
        chunk.index,
        chunk.version,
        chunk.bits,
        [bodies.swap_sites(packed) for packed in chunk.lists],
        bodies.write_starts(chunk.bits, chunk.starts),
        chunk.host_bits,
        bodies.write_numbers(chunk.rankings),
    )
    return bodies.write_body(fields)


def parse_chunk(body: bytes) -> Chunk:
    """Decode and check a chunk, or raise `ChunkFault`."""
    try:
        return _build_chunk(bodies.read_body(body))
    except _MALFORMED as fault:
        raise bodies.ChunkFault(f'malformed chunk: {fault!r}') from fault


def write_delta(delta: Delta) -> bytes:
    """Encode a delta; raises `ChunkFault` above the platform's 1 MB."""
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
    """Decode and check a delta, or raise `ChunkFault`."""
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
    """Decode and check a manifest, or raise `ChunkFault`."""
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
        lists=tuple(_read_packed(packed) for packed in lists),
        starts=bodies.read_starts(bits, starts),
        host_bits=bytes(host_bits),
        rankings=bodies.read_numbers('H', rankings),
    )
    _check_chunk(chunk)
    return chunk


def _check_chunk(chunk: Chunk) -> None:
    count = len(chunk.starts)
    if not count == len(chunk.host_bits) == len(chunk.rankings):
        raise ValueError('arrays of different length')
    if max(chunk.rankings, default=-1) >= len(chunk.lists):
        raise ValueError('a block without a ranking')


def _build_delta(fields: Any) -> Delta:
    generation, index, base, raw = fields
    changes = tuple(_read_change(change) for change in _read_list(raw))
    numbers = [change.number for change in changes]
    expected = list(range(base + 1, base + 1 + len(changes)))
    if numbers != expected:
        raise ValueError('changes are not numbered one by one')
    return Delta(int(generation), int(index), int(base), changes)


def _read_change(raw: Any) -> Change:
    number, bits, start = raw[:3]
    length, sites = raw[3:]
    network = Network(_read_bits(bits), bodies.read_start(start), length)
    if not 0 <= length <= bits or network.start >> bits:
        raise ValueError('a network out of range')
    if network.start & ((1 << network.host_bits) - 1):
        raise ValueError('host bits set')
    return Change(
        number, network, None if sites is None else _read_sites(sites)
    )


def _build_manifest(fields: Any) -> Manifest:
    generation, raw = fields
    positions = tuple(
        (_read_bits(bits), bodies.read_start(start))
        for bits, start in _read_list(raw)
    )
    if list(positions) != sorted(set(positions)):
        raise ValueError('chunks out of order')
    if not {(V4_BITS, 0), (V6_BITS, 0)} <= set(positions):
        raise ValueError('a family without its first chunk')
    return Manifest(int(generation), positions)


def _read_sites(raw: Any) -> tuple[int, ...]:
    # The array refuses what is not a whole number of 16 bits.
    return tuple(array('H', raw))


def _read_packed(raw: Any) -> bytes:
    if not isinstance(raw, bytes) or len(raw) % _SITE_BYTES:
        raise ValueError('a list of sites is cut')
    return bodies.swap_sites(raw)


def _read_list(raw: Any) -> list[Any]:
    if not isinstance(raw, list):
        raise TypeError('not a list')
    return raw


def _read_bits(raw: Any) -> int:
    if raw not in {V4_BITS, V6_BITS}:
        raise ValueError(f'{raw} bits')
    return raw
