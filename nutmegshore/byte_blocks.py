"""Bytes that are kept as they arrive."""

import collections
from collections.abc import Iterator

__all__ = ('BLOCK_BYTES', 'ByteBlocks')

#: Size up to which pieces share a block.
BLOCK_BYTES = 16_384


class ByteBlocks:
    """A queue of bytes in blocks of about one size.

    Small pieces share a block, so that no object is kept for each. The memory
    of a block fits later ones, however much each queue holds.

        blocks = ByteBlocks()
        blocks.append(piece)
        while blocks:
            send(blocks.pop())
    """

    def __init__(self) -> None:
        """Start empty; `size` is the number of bytes."""
        self.size = 0
        self._blocks: collections.deque[bytearray] = collections.deque()

    def __bool__(self) -> bool:
        """Whether anything is kept."""
        return bool(self._blocks)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over copies of the blocks, which stay."""
        return map(bytes, self._blocks)

    def append(self, piece: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(piece)
        if self._has_room(len(piece)):
            self._blocks[-1] += piece
        elif piece:
            self._blocks.append(bytearray(piece))

    def pop(self) -> bytes:
        """Remove the first block."""
        block = bytes(self._blocks.popleft())
        self.size -= len(block)
        return block

    def clear(self) -> None:
        """Remove everything."""
        self._blocks.clear()
        self.size = 0

    def first(self, count: int) -> bytes:
        """Return a copy of the first bytes, `count` or all if fewer."""
        found = bytearray()
        for block in self._blocks:
            if len(found) >= count:
                break
            found += block
        return bytes(found[:count])

    def _has_room(self, count: int) -> bool:
        """Whether so many bytes fit into the last block."""
        if not self._blocks:
            return False
        return len(self._blocks[-1]) + count <= BLOCK_BYTES
