"""Tests of bytes that are kept in blocks."""

import pytest

from nutmegshore.byte_blocks import BLOCK_BYTES, ByteBlocks


@pytest.mark.parametrize('piece_bytes', [1, 1000, BLOCK_BYTES, 40_000])
def test_bytes_come_out_as_they_went_in(piece_bytes):
    """Guards against lost, doubled or reordered bytes where blocks meet."""
    sent = bytes(range(256)) * 400
    blocks = ByteBlocks()
    for at in range(0, len(sent), piece_bytes):
        end = at + piece_bytes
        blocks.append(sent[at:end])
    assert blocks.size == len(sent)
    assert b''.join(blocks) == sent
    assert blocks.first(70_000) == sent[:70_000]
    found = b''
    while blocks:
        found += blocks.pop()
    assert (found, blocks.size) == (sent, 0)


def test_small_pieces_share_a_block():
    """Guards against an object for each byte that a caller sends by itself,
    which takes many times the memory that is counted."""
    blocks = ByteBlocks()
    for _ in range(BLOCK_BYTES * 2):
        blocks.append(b'x')
    assert len(list(blocks)) == 2


def test_nothing_is_no_block():
    """Guards against an empty block, which ends a body that is sent."""
    blocks = ByteBlocks()
    blocks.append(b'')
    assert not blocks
    assert blocks.first(10) == b''
