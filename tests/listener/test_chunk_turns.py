"""Tests of the turns in which small chunks are decoded."""

import asyncio

import pytest

from nutmegshore.listener.chunk_turns import (
    CHUNKS_PER_TURN,
    ChunkAllowance,
    ChunkTurns,
)
from nutmegshore.http1 import ChunkDecoder

_PIECE_BYTES = 16_384


async def _decode(turns, chunk_bytes, pieces, log, name):
    """Decode whole pieces as a body does; logs the passes that it took."""
    allowance = ChunkAllowance(turns)
    decoder = ChunkDecoder()
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    held = chunk * (_PIECE_BYTES // len(chunk)) * pieces
    while held:
        waits = allowance.left <= 0
        await allowance.wait()
        before = decoder.chunks
        data, used = decoder.decode(held[:_PIECE_BYTES], allowance.left)
        allowance.spend(decoder.chunks - before, len(data))
        held = held[used:]
        if waits:
            log.append((name, decoder.chunks - before))


def test_small_chunks_of_many_bodies_take_turns():
    """Guards against a pass of the loop that grows with the callers: others
    run between any two turns, and no body waits for all of another one."""
    log = []

    async def run():
        turns = ChunkTurns()
        tasks = [
            asyncio.ensure_future(_decode(turns, 1, 1, log, name))
            for name in range(8)
        ]
        passes = 0
        while not all(task.done() for task in tasks):
            seen = len(log)
            await asyncio.sleep(0)
            passes += 1
            assert len(log) - seen <= 1
        assert passes >= len(log)

    asyncio.run(run())
    names = [name for name, _ in log]
    assert names[:16] == [*range(8), *range(8)]
    assert all(chunks <= CHUNKS_PER_TURN for _, chunks in log)


@pytest.mark.parametrize('chunk_bytes', [64, 1000, 8000])
def test_larger_chunks_never_wait(chunk_bytes):
    """Guards against ordinary callers that stand in line behind a crowd."""
    log = []
    asyncio.run(_decode(ChunkTurns(), chunk_bytes, 20, log, 'a'))
    assert not log


def test_a_caller_that_leaves_gives_up_its_place():
    """Guards against a turn that is lost with the request that waited."""

    async def run():
        turns = ChunkTurns()
        waiting = [asyncio.ensure_future(turns.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        waiting[1].cancel()
        async with asyncio.timeout(5):
            await waiting[2]

    asyncio.run(run())
