"""Turns in which bodies with many small chunks are decoded."""

import asyncio

__all__ = ('CHUNKS_PER_TURN', 'ChunkAllowance', 'ChunkTurns')

#: Chunks of a body that may be decoded before it waits for its turn.
CHUNKS_PER_TURN = 256

#: Bytes of data that pay for a chunk, so that a body whose chunks are as large
#: on average never waits.
_BYTES_PER_CHUNK = 64


class ChunkTurns:
    """Spreads the decoding of small chunks over passes of the event loop.

    At most one body has its turn in a pass, in the order in which they asked,
    so that a pass stays short however many callers send small chunks.

        await turns.wait()
    """

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, which ends with the current pass of the loop."""
        async with self._lock:
            await asyncio.sleep(0)


class ChunkAllowance:
    """The chunks of one body that may be decoded now.

    allowance = ChunkAllowance(turns)
    await allowance.wait()
    data, _ = decoder.decode(received, allowance.left)
    allowance.spend(decoder.chunks, len(data))
    """

    def __init__(self, turns: ChunkTurns) -> None:
        """Allow as many chunks as a turn has."""
        self.left = CHUNKS_PER_TURN
        self._turns = turns

    async def wait(self) -> None:
        """Wait for a turn if no chunk may be decoded."""
        if self.left <= 0:
            await self._turns.wait()
            self.left = CHUNKS_PER_TURN

    def spend(self, chunks: int, size: int) -> None:
        """Count decoded chunks, and the bytes of data in them."""
        left = self.left - chunks + size // _BYTES_PER_CHUNK
        self.left = min(left, CHUNKS_PER_TURN)
