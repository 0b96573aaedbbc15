"""Since when a connection waits for its caller."""

import asyncio
import contextlib
from collections.abc import Iterator

__all__ = ('CallerActivity',)


class CallerActivity:
    """Whether a connection waits for its caller, and for how long.

    A connection that waits for an upstream does not wait for its caller.

        with activity.waiting():
            piece = await stream.read_bytes(...)
    """

    def __init__(self) -> None:
        """Wait for nothing."""
        self._waits = 0
        self._since: float = 0

    @property
    def waited_s(self) -> float:
        """Seconds since the caller last sent or took anything; else 0."""
        return _now() - self._since if self._waits else 0

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for the caller inside of this context."""
        self._waits += 1
        self._since = _now()
        try:
            yield
        finally:
            self._waits -= 1
            self._since = _now()


def _now() -> float:
    return asyncio.get_running_loop().time()
