"""Reading of the declared objects from the platform."""

import asyncio
import random
from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.configuration.problems import ProblemKind, Problems
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.store import Changes, Platform, StoredObject
from nutmegshore.resources import Envelope, InvalidObject, parse_envelope

__all__ = ('PlatformWatcher',)

_CONFIG_PREFIX = 'config/'
#: A watch that brings nothing is asked anew, since a connection to a store
#: that died says nothing.
_WATCH_S = 30
#: Listings find what a watch lost.
_LISTING_S = 120
#: A change that looks older than a peer's, which came while the watch waited,
#: is settled by a listing after this time.
_DOUBT_S = 2


class PlatformWatcher:
    """Lists and watches the store, and merges what passes the checks.

    What fails its checks, lowers a generation or vanishes changes nothing
    and is kept as a problem.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        platform: Platform,
        problems: Problems,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Read into a table, and keep problems."""
        self.has_listing = False
        self._table = table
        self._platform = platform
        self._problems = problems
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._list_at = float(0)
        self._position = 0

    async def read_listing(self) -> None:
        """List all objects; raises `PlatformError`."""
        # The position is read before the listing, so that no change falls
        # between the two. The generations are those from before the call: an
        # object that a peer brings meanwhile is neither older nor gone.
        before = self._generations()
        self._position = await self._platform.read_position()
        listing = await self._platform.iter_objects(_CONFIG_PREFIX)
        self._take(listing, before)
        listed = {stored.key for stored in listing}
        for key in set(before) - listed:
            self._record(key, ProblemKind.VANISHED, 'no tombstone')
        self.has_listing = True
        wait_s = _LISTING_S * (1 + self._rng.random()) / 2
        self._list_at = self._clock.now() + wait_s

    async def watch_once(self) -> None:
        """Wait for changes once; raises `PlatformError`."""
        if self._clock.now() >= self._list_at:
            await self.read_listing()
        before = self._generations()
        changes = await self._watch()
        if changes is None:
            return
        self._position = changes.position
        last = {change.key: change.stored for change in changes.changes}
        self._take([stored for stored in last.values() if stored], before)
        for key, stored in last.items():
            if stored is None:
                self._record_removal(key, before)

    def _record_removal(self, key: str, before: dict[str, int]) -> None:
        if key in before:
            self._record(key, ProblemKind.VANISHED, 'no tombstone')
        else:
            self._doubt()

    def _doubt(self) -> None:
        self._list_at = min(self._list_at, self._clock.now() + _DOUBT_S)

    async def _watch(self) -> Changes | None:
        watch = asyncio.ensure_future(
            self._platform.watch(_CONFIG_PREFIX, self._position),
        )
        wait_s = min(max(self._list_at - self._clock.now(), 0), _WATCH_S)
        limit = asyncio.ensure_future(self._clock.sleep(wait_s))
        both = {watch, limit}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            await _cancel(both)
            raise
        if watch.done():
            await _cancel({limit})
            return watch.result()
        await _cancel(both)
        return None

    def _take(
        self,
        found: Iterable[StoredObject],
        before: dict[str, int],
    ) -> None:
        sound = []
        for stored in found:
            envelope = self._check(stored, before)
            if envelope is not None:
                sound.append(envelope)
        self._table.merge(sound)

    def _check(
        self,
        stored: StoredObject,
        before: dict[str, int],
    ) -> Envelope | None:
        key = stored.key
        try:
            envelope = parse_envelope(stored.body)
        except InvalidObject as failure:
            self._record(key, ProblemKind.REJECTED, str(failure))
            return None
        if envelope.key != key:
            self._record(key, ProblemKind.REJECTED, f'names {envelope.key}')
            return None
        in_force = before.get(key, 0)
        if envelope.generation < in_force:
            detail = f'{envelope.generation}, in force {in_force}'
            self._record(key, ProblemKind.OLDER, detail)
            return None
        self._compare(envelope)
        return envelope

    def _compare(self, envelope: Envelope) -> None:
        present = self._table.get(envelope.key)
        if present is None or present.generation < envelope.generation:
            self._problems.clear(envelope.key)
        elif present.generation > envelope.generation:
            self._doubt()
        elif present.operation == envelope.operation:
            self._problems.clear(envelope.key)
        else:
            detail = f'generation {envelope.generation} twice'
            self._record(envelope.key, ProblemKind.CONFLICTING, detail)

    def _record(self, key: str, kind: ProblemKind, detail: str) -> None:
        if self._problems.set_kind(key, kind, detail):
            self._counters.add('configuration_rejected', source=kind.value)

    def _generations(self) -> dict[str, int]:
        return {
            envelope.key: envelope.generation
            for envelope in self._table.iter_all()
        }


async def _cancel(tasks: Iterable[asyncio.Future]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
