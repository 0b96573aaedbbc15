"""Reads the declared objects from the platform."""

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
#: A watch without changes is renewed after this time, since a connection to
#: a store that died stays silent.
_WATCH_TIMEOUT_S = 30
#: Longest interval of listings, which find changes that a watch lost.
_LISTING_INTERVAL_S = 120
#: Delay of the listing that verifies a change which looks older than one that
#: a peer sent while the watch was waiting.
_VERIFY_DELAY_S = 2


class PlatformWatcher:
    """Lists and watches the store, and merges the valid objects.

    An object that fails its checks, lowers a generation or vanishes leaves
    the table unchanged and is recorded as a problem.
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
        """Merge objects into `table` and record problems in `problems`."""
        self.has_listing = False
        self._table = table
        self._platform = platform
        self._problems = problems
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._next_listing_at = float(0)
        self._position = 0

    async def read_listing(self) -> None:
        """List all objects; raises `PlatformError`."""
        # The position is read before the listing, so that no change is lost
        # between the two. The generations are copied before the calls: an
        # object that a peer sends meanwhile must count as neither older nor
        # vanished.
        known_generations = self._generations()
        self._position = await self._platform.read_position()
        listing = await self._platform.iter_objects(_CONFIG_PREFIX)
        self._merge_stored(listing, known_generations)
        listed = {stored.key for stored in listing}
        for key in set(known_generations) - listed:
            self._record_problem(key, ProblemKind.VANISHED, 'no tombstone')
        self.has_listing = True
        wait_s = _LISTING_INTERVAL_S * (1 + self._rng.random()) / 2
        self._next_listing_at = self._clock.now() + wait_s

    async def watch_once(self) -> None:
        """Wait once for changes and merge them; raises `PlatformError`."""
        if self._clock.now() >= self._next_listing_at:
            await self.read_listing()
        known_generations = self._generations()
        changes = await self._watch()
        if changes is None:
            return
        self._position = changes.position
        latest = {change.key: change.stored for change in changes.changes}
        self._merge_stored(
            [stored for stored in latest.values() if stored], known_generations
        )
        for key, stored in latest.items():
            if stored is None:
                self._record_removal(key, known_generations)

    def _record_removal(
        self, key: str, known_generations: dict[str, int]
    ) -> None:
        if key in known_generations:
            self._record_problem(key, ProblemKind.VANISHED, 'no tombstone')
        else:
            self._schedule_listing()

    def _schedule_listing(self) -> None:
        self._next_listing_at = min(
            self._next_listing_at, self._clock.now() + _VERIFY_DELAY_S
        )

    async def _watch(self) -> Changes | None:
        watch = asyncio.ensure_future(
            self._platform.watch(_CONFIG_PREFIX, self._position),
        )
        wait_s = min(
            max(self._next_listing_at - self._clock.now(), 0), _WATCH_TIMEOUT_S
        )
        timeout = asyncio.ensure_future(self._clock.sleep(wait_s))
        tasks = {watch, timeout}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            await _cancel(tasks)
            raise
        if watch.done():
            await _cancel({timeout})
            return watch.result()
        await _cancel(tasks)
        return None

    def _merge_stored(
        self,
        stored_objects: Iterable[StoredObject],
        known_generations: dict[str, int],
    ) -> None:
        valid = []
        for stored in stored_objects:
            envelope = self._check(stored, known_generations)
            if envelope is not None:
                valid.append(envelope)
        self._table.merge(valid)

    def _check(
        self,
        stored: StoredObject,
        known_generations: dict[str, int],
    ) -> Envelope | None:
        key = stored.key
        try:
            envelope = parse_envelope(stored.body)
        except InvalidObject as failure:
            self._record_problem(key, ProblemKind.REJECTED, str(failure))
            return None
        if envelope.key != key:
            self._record_problem(
                key, ProblemKind.REJECTED, f'names {envelope.key}'
            )
            return None
        in_force = known_generations.get(key, 0)
        if envelope.generation < in_force:
            detail = f'{envelope.generation}, in force {in_force}'
            self._record_problem(key, ProblemKind.OLDER, detail)
            return None
        self._compare(envelope)
        return envelope

    def _compare(self, envelope: Envelope) -> None:
        present = self._table.get(envelope.key)
        if present is None or present.generation < envelope.generation:
            self._problems.clear(envelope.key)
        elif present.generation > envelope.generation:
            self._schedule_listing()
        elif present.operation == envelope.operation:
            self._problems.clear(envelope.key)
        else:
            detail = f'generation {envelope.generation} twice'
            self._record_problem(envelope.key, ProblemKind.CONFLICTING, detail)

    def _record_problem(self, key: str, kind: ProblemKind, detail: str) -> None:
        if self._problems.set_problem(key, kind, detail):
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
