"""Following of one kind of objects in the platform's store."""

import abc
import asyncio
import contextlib
import random
from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import HistoryLost, PlatformError
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.gateway.store_health import StoreHealth
from nutmegshore.store import Change, Changes, Listing, Platform, StoredObject
from nutmegshore.store.base import WATCH_WAIT_S

__all__ = ('FollowerContext', 'KindFollower', 'Replica')

#: Seconds after a check that failed before the next one.
_CHECK_PAUSE_S = 0.15
#: A watch that returns sooner than this is followed by a pause, so that a
#: burst of changes costs few calls; the bounds on drains and configuration
#: are 2 s and more.
_LEAST_WATCH_S = 0.5
#: Seconds beyond its time after which a watch is taken for silent.
_SILENT_S = 1


class Replica(abc.ABC):
    """What a follower keeps up to date."""

    @abc.abstractmethod
    def replace(
        self,
        listed: Iterable[StoredObject],
        *,
        is_after_outage: bool,
    ) -> None:
        """Take a whole listing in place of what was known."""

    @abc.abstractmethod
    def change(self, change: Change, *, is_after_outage: bool) -> None:
        """Take one change."""


@attrs.frozen
class FollowerContext:
    """What the followers of one gateway share."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class KindFollower:
    """Lists one kind, then watches it, for as long as the process lives.

    `known` holds the objects; the watch goes on from their position. Of two
    gateways with different digests, the one with the lower position lacks
    something.
    `bound_s` is the time within which a change has to be in force. After a
    failure everything is listed again.

    While it is relayed, an aggregator's changes are adopted and the store is
    not called; the watch goes on from the position reached when that ends.

        follower = KindFollower('servers/', replica, context, bound_s=2)
        await asyncio.gather(follower.run(), follower.run_checks())
    """

    def __init__(
        self,
        prefix: str,
        replica: Replica,
        context: FollowerContext,
        bound_s: float,
    ) -> None:
        """Know nothing yet."""
        self.prefix = prefix
        self.bound_s = bound_s
        self.known = KnownObjects()
        self.is_listed = False
        self._health = StoreHealth(prefix, context.clock, context.log)
        self._replica = replica
        self._context = context
        self._wanted = asyncio.Event()
        self._restart = asyncio.Event()
        self._follows_store = asyncio.Event()
        self._follows_store.set()
        self._listed_at = float('-inf')
        self._needs_list = True

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            await self._follows_store.wait()
            try:
                if self._needs_list:
                    await self._list()
                    self._needs_list = False
                await self._watch()
            except HistoryLost:
                self._needs_list = True
                self._context.counters.add(
                    'store_history_lost', kind=self.prefix
                )
            except PlatformError as failure:
                self._needs_list = True
                await self._pause(failure)

    async def run_checks(self) -> None:
        """List whenever a check is wanted, beside the watch, until cancelled.

        A store that drops its history may have made changes that no watch
        delivers; only a listing shows them.
        """
        while True:
            await self._wanted.wait()
            try:
                await self._list()
            except PlatformError:
                self._health.has_failed_check = True
                self._context.counters.add(
                    'store_checks_failed', kind=self.prefix
                )
                await self._context.clock.sleep(_CHECK_PAUSE_S)
            self._wanted.clear()

    def check(self) -> None:
        """Want a listing beside the watch."""
        if self.is_in_touch and not self._wanted.is_set():
            self._wanted.set()
            self._context.counters.add('store_checks', kind=self.prefix)

    @property
    def age_s(self) -> float:
        """Seconds since the last listing."""
        return self._context.clock.now() - self._listed_at

    @property
    def is_in_touch(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._health.is_in_touch

    @property
    def is_relayed(self) -> bool:
        """Whether an aggregator tells the changes in place of the store."""
        return not self._follows_store.is_set()

    @property
    def is_current(self) -> bool:
        """Whether the store answers this gateway, so that others may rely."""
        if self._health.has_failed_check:
            return False
        return self.is_listed and self.is_in_touch

    def set_relayed(self, *, is_relayed: bool) -> None:
        """Leave the store to an aggregator, or follow it again."""
        if is_relayed == self.is_relayed:
            return
        self._context.counters.add(
            'store_followed_by',
            kind=self.prefix,
            way='aggregator' if is_relayed else 'watch',
        )
        if not is_relayed:
            self._follows_store.set()
            return
        self._follows_store.clear()
        self._health.end_outage()
        self._restart.set()

    def adopt(
        self,
        found: Listing | Changes,
        *,
        is_after_outage: bool = False,
    ) -> bool:
        """Take what a peer knows from the store; False if it is older.

        Changes are those after this follower's position.
        """
        if self.is_relayed:
            is_newer = found.position >= self.known.position
        else:
            is_newer = (
                found.position > self.known.position and not self.is_in_touch
            )
        if not is_newer:
            return False
        if isinstance(found, Listing):
            self._needs_list = False
            self._take_listing(found, is_after_outage=is_after_outage)
        else:
            self._take_changes(found, is_after_outage=is_after_outage)
        return True

    @property
    def is_after_outage(self) -> bool:
        """Whether the store came back so recently that entries may lack."""
        return self._health.is_after_outage

    async def _list(self) -> None:
        listing = await self._context.store.read_listing(self.prefix)
        self._context.counters.add('store_listings', kind=self.prefix)
        self._health.record_answer()
        self._listed_at = self._context.clock.now()
        if listing.position < self.known.position:
            return
        before = self.known.digest
        self._take_listing(listing)
        if self.known.digest != before:
            self._restart.set()

    async def _watch(self) -> None:
        self._restart.clear()
        started_at = self._context.clock.now()
        watch = asyncio.ensure_future(
            self._context.store.watch(self.prefix, self.known.position),
        )
        restart = asyncio.ensure_future(self._restart.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(restart.cancel)
            stack.callback(watch.cancel)
            await asyncio.wait(
                (watch, restart),
                timeout=WATCH_WAIT_S + _SILENT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not watch.done():
            return
        changes = watch.result()
        self._context.counters.add('store_watches', kind=self.prefix)
        self._health.record_answer()
        # A listing beside the watch may have shown all of these and more.
        if changes.position >= self.known.position:
            self._take_changes(changes)
        waited_s = self._context.clock.now() - started_at
        await self._context.clock.sleep(max(_LEAST_WATCH_S - waited_s, 0))

    def _take_changes(
        self,
        changes: Changes,
        *,
        is_after_outage: bool = False,
    ) -> None:
        is_recent = is_after_outage or self.is_after_outage
        for change in self.known.apply(changes):
            self._replica.change(change, is_after_outage=is_recent)

    def _take_listing(
        self,
        listing: Listing,
        *,
        is_after_outage: bool = False,
    ) -> None:
        self.known.replace(listing)
        self._replica.replace(
            listing.listed,
            is_after_outage=is_after_outage or self.is_after_outage,
        )
        self.is_listed = True

    async def _pause(self, failure: PlatformError) -> None:
        self._health.record_failure(failure)
        kind = failure.kind.value
        self._context.counters.add('store_failures', kind=self.prefix, why=kind)
        await self._context.clock.sleep(self._health.pause_s(self._context.rng))
