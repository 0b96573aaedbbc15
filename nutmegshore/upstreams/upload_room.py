"""Room for the bodies of requests on their way to each upstream."""

import asyncio
import collections
import contextlib
from collections.abc import Callable

from nutmegshore.byte_budget import SMALL_BYTES

__all__ = ('UPLOAD_BYTES', 'UploadRoom')

#: Bytes of bodies that one process has on their way to one upstream; four
#: bodies of the largest legal size. An upstream whose requests exceed its
#: memory crashes, and how much that is, is not known.
UPLOAD_BYTES = 268_435_456
#: Seconds after which a waiting upload makes room again.
_RETRY_S = 0.2


class UploadRoom:
    """Bounds the sum of the bodies in flight to each upstream.

    A body that does not fit waits, before anything of it is sent, and calls
    `check_wait`, which closes a stalled connection, and raises `RefusedError`
    if the body may not wait. A body alone always fits, and small ones do not
    count. A body of unknown length is not bounded: it
    counts as one byte more than a small one, whatever its size.

        with await room.take('10.0.0.1:80', body.length):
            ...
    """

    def __init__(
        self, check_wait: Callable[[], None], limit: int = UPLOAD_BYTES
    ) -> None:
        """Start without bodies in flight."""
        self._check_wait = check_wait
        self._limit = limit
        self._used: collections.Counter[str] = collections.Counter()
        self._changed = asyncio.Event()

    async def take(
        self, address: str, length: int | None
    ) -> contextlib.AbstractContextManager:
        """Wait for room for a body; leaving the result gives it back."""
        size = SMALL_BYTES + 1 if length is None else length
        room = contextlib.ExitStack()
        if size > SMALL_BYTES:
            while not self._has_room(address, size):
                await self._wait()
            self._used[address] += size
            room.callback(self._release, address, size)
        return room

    def _has_room(self, address: str, size: int) -> bool:
        used = self._used[address]
        return not used or used + size <= self._limit

    def _release(self, address: str, size: int) -> None:
        self._used[address] -= size
        if not self._used[address]:
            self._used.pop(address)
        self._changed.set()

    async def _wait(self) -> None:
        self._check_wait()
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RETRY_S):
                await self._changed.wait()
