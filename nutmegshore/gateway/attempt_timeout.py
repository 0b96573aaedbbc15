"""Timeouts of attempts at upstreams that do not answer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ('AttemptTimeout',)


class AttemptTimeout:
    """Limits the duration of attempts until the gateway shuts down.

    While the gateway serves, a safe request is better retried elsewhere than
    left with an upstream that does not answer. During a shutdown no attempt
    is interrupted that an upstream may be working on.

        async with attempt_timeout.limit(0.7):
            await answer
    """

    def __init__(self) -> None:
        """Apply limits until `lift` is called."""
        self._is_lifted = False
        self._active: set[asyncio.Timeout] = set()

    def lift(self) -> None:
        """Remove all limits, also those of running attempts."""
        self._is_lifted = True
        for timeout in self._active:
            timeout.reschedule(None)

    @contextlib.asynccontextmanager
    async def limit(
        self, seconds: float | None
    ) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` in the body after the seconds; None: never.

        The body may reschedule the timeout that it gets.
        """
        async with asyncio.timeout(
            None if self._is_lifted else seconds
        ) as time_limit:
            self._active.add(time_limit)
            try:
                yield time_limit
            finally:
                self._active.discard(time_limit)
