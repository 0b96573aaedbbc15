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
from nutmegshore.gateway.events import StoreLost, StoreRegained
from nutmegshore.gateway.log import EventLog
from nutmegshore.store import Change, Changes, Listing, Platform, StoredObject

__all__ = ('FollowerParts', 'KindFollower', 'Replica')

#: First and longest pause after a failed call; the pause doubles between.
_FIRST_PAUSE_S = 0.15
_MAX_PAUSE_S = 0.8
#: A watch that returns sooner than this is followed by a pause, so that a
#: burst of changes costs few calls; the bounds on drains and configuration
#: are 2 s and more.
_LEAST_WATCH_S = 0.25
#: Seconds after the store's return in which entries may still be missing.
_RETURN_S = 2.2


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
class FollowerParts:
    """What the followers of one gateway share."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class KindFollower:
    """Lists one kind, then watches it, for as long as the process lives.

    `mark` is the revision of the newest change known; it is the same at all
    gateways that know the same. `position` is where the watch goes on.
    After a failure the watch goes on from its position if the store still
    has the history, else everything is listed again.

        follower = KindFollower('servers/', replica, parts)
        await follower.run()
    """

    def __init__(
        self,
        prefix: str,
        replica: Replica,
        parts: FollowerParts,
    ) -> None:
        """Know nothing yet."""
        self.prefix = prefix
        self.mark = 0
        self.position = 0
        self.is_listed = False
        self.is_in_touch = False
        self.by_key: dict[str, StoredObject] = {}
        self._replica = replica
        self._parts = parts
        self._refresh = asyncio.Event()
        self._failures = 0
        self._lost_at: float | None = None
        self._regained_at = float('-inf')
        self._needs_list = True

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLost:
                self._needs_list = True
                self._parts.counters.add('store_history_lost', kind=self.prefix)
            except PlatformError as failure:
                await self._pause(failure)

    def refresh(self) -> None:
        """List again at once, because a peer knows of a newer change."""
        self._refresh.set()

    def adopt(self, listing: Listing, mark: int) -> bool:
        """Take a listing that a peer read from the store; False if older."""
        if listing.position <= self.position or self.is_in_touch:
            return False
        self._take_listing(listing)
        self.mark = max(self.mark, mark)
        return True

    @property
    def is_after_outage(self) -> bool:
        """Whether the store came back so recently that entries may lack."""
        if self._lost_at is not None:
            return True
        age_s = self._parts.clock.now() - self._regained_at
        return age_s < _RETURN_S

    async def _step(self) -> None:
        if self._needs_list:
            listing = await self._parts.store.read_listing(self.prefix)
            self._parts.counters.add('store_listings', kind=self.prefix)
            self._note_answer()
            if listing.position >= self.position:
                self._take_listing(listing)
            self._needs_list = False
        await self._watch()

    async def _watch(self) -> None:
        started_at = self._parts.clock.now()
        watch = asyncio.ensure_future(
            self._parts.store.watch(self.prefix, self.position),
        )
        refresh = asyncio.ensure_future(self._refresh.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(refresh.cancel)
            stack.callback(watch.cancel)
            await asyncio.wait(
                (watch, refresh),
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not watch.done() or watch.cancelled():
            self._refresh.clear()
            self._needs_list = True
            return
        self._take_changes(watch.result())
        left_s = started_at + _LEAST_WATCH_S - self._parts.clock.now()
        await self._parts.clock.sleep(max(left_s, 0))

    def _take_changes(self, changes: Changes) -> None:
        self._parts.counters.add('store_watches', kind=self.prefix)
        self._note_answer()
        for change in changes.changes:
            self._take_change(change)
        self.position = max(self.position, changes.position)

    def _take_change(self, change: Change) -> None:
        if change.stored is None:
            gone = self.by_key.pop(change.key, None)
            self.mark = max(self.mark, gone.version if gone else 0)
        else:
            known = self.by_key.get(change.key)
            if known is not None and known.version > change.stored.version:
                return
            self.by_key[change.key] = change.stored
            self.mark = max(self.mark, change.stored.version)
        self._replica.change(change, is_after_outage=self.is_after_outage)

    def _take_listing(self, listing: Listing) -> None:
        self.by_key = {stored.key: stored for stored in listing.listed}
        versions = (stored.version for stored in listing.listed)
        self.mark = max(self.mark, *versions, 0)
        self.position = max(self.position, listing.position)
        self._replica.replace(
            listing.listed,
            is_after_outage=self.is_after_outage,
        )
        self.is_listed = True

    def _note_answer(self) -> None:
        self.is_in_touch = True
        self._failures = 0
        if self._lost_at is None:
            return
        now = self._parts.clock.now()
        away_s = now - self._lost_at
        self._lost_at = None
        self._regained_at = now
        self._parts.log.write(StoreRegained(self.prefix, round(away_s, 3)))

    async def _pause(self, failure: PlatformError) -> None:
        self.is_in_touch = False
        self._failures += 1
        kind = failure.kind.value
        self._parts.counters.add('store_failures', kind=self.prefix, why=kind)
        if self._lost_at is None:
            self._lost_at = self._parts.clock.now()
            self._parts.log.write(StoreLost(self.prefix, str(failure)))
        doubled = _FIRST_PAUSE_S * 2 ** min(self._failures - 1, 8)
        jitter = 0.5 + self._parts.rng.random()
        await self._parts.clock.sleep(min(doubled, _MAX_PAUSE_S) * jitter)
