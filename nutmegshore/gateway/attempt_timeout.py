"""How long a silent upstream is waited for."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ('AttemptTimeout',)


class AttemptTimeout:
    """Time limits on attempts, which a stop of the gateway lifts.

    While the gateway serves, a safe request is better sent elsewhere than
    left with a silent upstream. Once it stops, nothing is broken off that an
    upstream may be working on.

        async with patience.limit(0.7):
            await answer
    """

    def __init__(self) -> None:
        """Limit attempts from now on."""
        self._is_lifted = False
        self._open: set[asyncio.Timeout] = set()

    def lift(self) -> None:
        """End all limits, those of open attempts too."""
        self._is_lifted = True
        for timeout in self._open:
            timeout.reschedule(None)

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float | None) -> AsyncIterator[None]:
        """Raise `TimeoutError` in the body after some seconds, if any."""
        async with asyncio.timeout(None if self._is_lifted else seconds) as one:
            self._open.add(one)
            try:
                yield
            finally:
                self._open.discard(one)
