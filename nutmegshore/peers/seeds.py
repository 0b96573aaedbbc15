"""Reading of seed members from the platform's list."""

from collections.abc import Awaitable, Callable

from nutmegshore.errors import PlatformError
from nutmegshore.peers.components import MeshComponents

__all__ = ('SeedReader', 'SeedSource')

#: Reads the platform's list as peer address by name.
SeedSource = Callable[[], Awaitable[dict[str, str]]]

#: Seconds between reads while there is no link, and at most.
_FIRST_WAIT_S = 2
_MAX_WAIT_S = 60
#: First reads of the list per second while the whole cluster boots.
_READS_PER_S = 60


class SeedReader:
    """Reads the list at the start and while this member has no link.

    A member with a link receives the records of all others over it, whatever
    the list contains.
    """

    def __init__(
        self,
        components: MeshComponents,
        source: SeedSource,
        size_hint: int,
    ) -> None:
        """Spread the first reads of `size_hint` members."""
        self.has_read = False
        self._components = components
        self._source = source
        self._spread_s = size_hint / _READS_PER_S

    async def run(self) -> None:
        """Read the list, and again while there is no link."""
        await self._components.clock.sleep(
            self._spread_s * self._components.rng.random()
        )
        wait_s: float = _FIRST_WAIT_S
        while True:
            await self._read()
            await self._components.clock.sleep(wait_s * self._jitter())
            wait_s = min(2 * wait_s, _MAX_WAIT_S)
            while self._components.router.links:
                wait_s = _FIRST_WAIT_S
                await self._components.clock.sleep(_MAX_WAIT_S * self._jitter())

    async def _read(self) -> None:
        try:
            self._components.dialler.seeds = await self._source()
        except PlatformError:
            self._components.counters.add('seed_reads_failed')
        # A failed read counts too: a member must reach its peers, and report
        # itself settled, while the platform is down.
        self.has_read = True

    def _jitter(self) -> float:
        return (1 + self._components.rng.random()) / 2
