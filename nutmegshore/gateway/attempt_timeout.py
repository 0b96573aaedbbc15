"""Timeouts of attempts at upstreams that do not answer."""

import asyncio
import contextlib

from nutmegshore.gateway.timeout_group import TimeoutGroup

__all__ = ('AttemptTimeout',)


class AttemptTimeout(TimeoutGroup):
    """Limits the duration of attempts until the gateway shuts down.

    While the gateway serves, a safe request is better retried elsewhere than
    left with an upstream that does not answer. During a shutdown no attempt
    is interrupted that an upstream may be working on.

        async with attempt_timeout.limit(0.7):
            await answer
    """

    def __init__(self) -> None:
        """Apply limits until `lift` is called."""
        super().__init__()
        self._is_lifted = False

    def lift(self) -> None:
        """Remove all limits, also those of running attempts."""
        self._is_lifted = True
        self.lift_all()

    def limit(
        self, seconds: float | None
    ) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
        """Raise `TimeoutError` in the body after the seconds; None: never."""
        return super().limit(None if self._is_lifted else seconds)
