"""Chunks queued between a task and libcurl's callbacks."""

import asyncio
import collections

from nutmegshore.byte_budget import HeldBytes

__all__ = ('BUFFER_BYTES', 'READ_BYTES', 'Buffer', 'Change')

#: Bytes buffered per direction; the sender is paused before another
#: `READ_BYTES` could exceed this limit. While the budget is short, it is paused
#: as soon as anything is buffered.
BUFFER_BYTES = 262_144
#: Bytes that libcurl reads from a socket, or from the request's body, in one
#: call. It keeps as much for each paused direction of a transfer.
READ_BYTES = 16_384


class Change:
    """Wakes the reader of the answer and the writer of the body.

    Both wake on every change, and check their own condition again.
    """

    def __init__(self) -> None:
        """Start without a change."""
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake those that wait."""
        self._event.set()

    async def wait(self) -> None:
        """Wait for the next change."""
        if self._event.is_set():
            self._event = asyncio.Event()
        await self._event.wait()


class Buffer:
    """Chunks of one direction of a transfer.

    `size` bytes are queued, of `total` that were added. `is_paused` says that
    libcurl waits for a change, `is_ended` that no chunk follows.
    """

    def __init__(self, held: HeldBytes) -> None:
        """Count what is queued as held."""
        self.size = 0
        self.total = 0
        self.is_paused = False
        self.is_ended = False
        self._held = held
        self._chunks: collections.deque[memoryview] = collections.deque()

    @property
    def is_full(self) -> bool:
        """Whether the sender has to wait."""
        if self._held.budget.is_short:
            return self.size > 0
        return self.size + READ_BYTES > BUFFER_BYTES

    def append(self, chunk: bytes) -> None:
        """Add a chunk at the end."""
        self._chunks.append(memoryview(chunk))
        self._resize(len(chunk))
        self.total += len(chunk)

    def pop(self, size: int) -> bytes:
        """Return at most `size` bytes from the start."""
        # Views of the chunk, as copies of the rest would add up.
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._resize(-len(chunk))
        return bytes(chunk)

    def pop_all(self) -> bytes:
        """Return all that is queued."""
        joined = b''.join(self._chunks)
        self.clear()
        return joined

    def clear(self) -> None:
        """Drop all that is queued."""
        self._chunks.clear()
        self._resize(-self.size)

    def _resize(self, change: int) -> None:
        self.size += change
        self._held.add(change)
