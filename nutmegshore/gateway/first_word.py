"""Wait of a gateway that starts for what another one knows."""

import asyncio
import contextlib

__all__ = ('FirstWord',)

#: Seconds after which a view of the store is that of a gateway which was cut
#: off: others list what they have not heard of for less than their bounds.
_MAX_AGE_S = 10


class FirstWord:
    """Lets another gateway tell of a kind before the store is listed.

    A store that was restored a moment ago lacks what the other gateways keep in
    use until its owners have written it again.

        word = FirstWord(within_s=0.8)
        await word.wait()  # until word.arrive() is called, or the time is over
    """

    def __init__(self, within_s: float) -> None:
        """Wait for at most `within_s` seconds; 0 does without."""
        self._within_s = within_s
        self._has_arrived = asyncio.Event()
        if not within_s:
            self._has_arrived.set()

    def refuses(self, age_s: float) -> bool:
        """Whether a view of this age is worth less than a listing."""
        return not self._has_arrived.is_set() and age_s > _MAX_AGE_S

    def arrive(self) -> None:
        """End the wait: another gateway has told what it knows."""
        self._has_arrived.set()

    async def wait(self) -> None:
        """Wait for another gateway, once."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._within_s):
                await self._has_arrived.wait()
        self._has_arrived.set()
