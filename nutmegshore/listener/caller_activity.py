"""Since when a connection waits for its caller."""

import asyncio
import contextlib
from collections.abc import Iterator

__all__ = ('CallerActivity',)


class CallerActivity:
    """Tracks how long a connection has been waiting for its caller.

    A connection that waits for an upstream does not wait for its caller.

        with activity.waiting():
            piece = await stream.read_bytes(...)
    """

    def __init__(self) -> None:
        """Start without a wait."""
        self._started: list[float] = []

    @property
    def waited_s(self) -> float:
        """Seconds of the longest wait that goes on, 0 without any."""
        return _now() - min(self._started) if self._started else 0

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for the caller inside of this context."""
        started = _now()
        self._started.append(started)
        try:
            yield
        finally:
            self._started.remove(started)


def _now() -> float:
    return asyncio.get_running_loop().time()
