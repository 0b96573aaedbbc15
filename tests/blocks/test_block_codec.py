"""Tests of encoding chunks, deltas and manifests."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegshore.blocks import (
    BlockChange,
    ChunkFault,
    Delta,
    Manifest,
    Rankings,
    bodies,
    codec,
    write_delta,
)
from nutmegshore.blocks.chunks import make_chunk


@pytest.fixture
def body():
    """Body of a chunk with an IPv6 block."""
    rankings = Rankings()
    rows = [(5 << 64, 64, rankings.intern((3, 1)))]
    chunk = make_chunk(Delta(1, 2, 3), 128, rows, rankings)
    body = codec.write_chunk(chunk)
    assert codec.parse_chunk(body) == chunk
    return body


def test_a_damaged_chunk_is_refused(body):
    """Guards against a chunk that is corrupted in transit."""
    for index, byte in enumerate(body):
        damaged = bytearray(body)
        damaged[index] = byte ^ 1
        with pytest.raises(ChunkFault):
            codec.parse_chunk(bytes(damaged))


_NUMBERS = st.integers(-1, 200)
_SCALARS = st.one_of(_NUMBERS, st.binary(max_size=9), st.none())
_FIELDS = st.recursive(_SCALARS, lambda inner: st.lists(inner, max_size=8))
_CODECS = (
    (codec.parse_chunk, codec.write_chunk),
    (codec.parse_delta, codec.write_delta),
    (codec.parse_manifest, codec.write_manifest),
)


@settings(derandomize=True, deadline=None)
@given(_FIELDS)
def test_fields_of_any_form_parse_fully_or_are_a_chunk_fault(fields):
    """Guards against an unexpected exception from a peer's bytes."""
    body = bodies.write_body(fields)
    for parse, write in _CODECS:
        try:
            parsed = parse(body)
        except ChunkFault:
            continue
        assert parse(write(parsed)) == parsed


def test_bytes_without_a_valid_body_raise_chunk_fault():
    """Guards against an unexpected exception from a foreign object."""
    other_format = msgpack.packb((2, b'', b''))
    for body in (b'', b'\xc1', msgpack.packb(7), other_format):
        with pytest.raises(ChunkFault):
            codec.parse_chunk(body)


def test_a_body_that_decompresses_too_large_is_refused(monkeypatch):
    """Guards against a small body that exhausts the memory."""
    body = bodies.write_body(bytes(10_000))
    monkeypatch.setattr(bodies, '_MAX_DECOMPRESSED_BYTES', 9_000)
    with pytest.raises(ChunkFault, match='more than'):
        codec.parse_chunk(body)


def test_a_body_over_the_limit_is_not_written(monkeypatch):
    """Guards against an object that the platform refuses."""
    monkeypatch.setattr(bodies, 'MAX_BODY_BYTES', 30)
    with pytest.raises(ChunkFault, match='over 30'):
        bodies.write_body(bytes(range(100)))


def test_a_delta_with_a_gap_is_refused(make_block):
    """Guards against a change that is silently skipped."""
    network = make_block('10.0.0.0/8').network
    changes = (BlockChange(4, network, (1,)), BlockChange(6, network, None))
    with pytest.raises(ChunkFault, match='numbered'):
        codec.parse_delta(write_delta(Delta(1, 0, 3, changes)))


def test_a_manifest_names_the_range_of_each_chunk():
    """Guards against a block that is written to another family's chunk."""
    middle = 5 << 24
    manifest = Manifest(1, ((32, 0), (32, middle), (128, 0)))
    assert codec.parse_manifest(codec.write_manifest(manifest)) == manifest
    assert manifest.get_range(0) == (32, 0, middle)
    assert manifest.get_range(1) == (32, middle, 1 << 32)
    assert manifest.get_range(2) == (128, 0, 1 << 128)
    assert manifest.find_chunk(32, (1 << 32) - 1) == 1
    assert manifest.find_chunk(128, 0) == 2
