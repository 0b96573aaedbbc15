"""Replicates one kind of object from the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import HistoryLost, PlatformError
from nutmegshore.gateway.history_losses import HistoryLosses
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.replica import Replica, ReplicaFeed
from nutmegshore.gateway.replica_view import ReplicaView, ToldView
from nutmegshore.gateway.store_events import ReplicaChanged
from nutmegshore.gateway.store_health import StoreHealth
from nutmegshore.gateway.store_order import StoreOrder
from nutmegshore.gateway.store_outages import REWRITE_S
from nutmegshore.store import Changes, Listing, Platform
from nutmegshore.store.base import WATCH_WAIT_S

__all__ = (
    'LISTING',
    'WATCH',
    'FollowerContext',
    'KindFollower',
    'Replica',
)

#: Sources of what is known of the store, beside other gateways.
LISTING = 'listing'
WATCH = 'watch'

#: Seconds to wait after a failed check before the next one.
_CHECK_RETRY_S = 0.15
#: Least seconds from one watch to the next, so that a burst of changes costs
#: few calls; the bounds on drains and configuration are 2 s and more.
_MIN_WATCH_S = 0.5
#: Seconds past its wait time after which an unanswered watch is cancelled.
_WATCH_GRACE_S = 1
_DIGITS = 3


@attrs.frozen
class FollowerContext:
    """Dependencies that the followers of one gateway share."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog


class KindFollower:
    """Lists one kind of object and then watches it, until cancelled.

    `known` holds the objects; the watch continues from their position. If
    the digests of two gateways differ, the one with the lower position is
    behind. `bound_s` is the time within which a change must take effect, and
    `has_leases` says whether objects expire.
    After a failure, and after a restore of the store, the follower lists all
    objects again. `on_news` is called after each listing, and when the known
    objects change, with the source: `watch`, `listing`, or another gateway.
    `view` tells how old the known objects are, `order` which answers are older.

    A relayed follower applies the changes that an aggregator sends and does
    not call the store. When relaying ends, the watch continues from the
    position reached.

        follower = KindFollower('servers/', replica, context, bound_s=2)
        await asyncio.gather(follower.run(), follower.run_checks())
    """

    def __init__(
        self,
        prefix: str,
        replica: Replica,
        context: FollowerContext,
        bound_s: float,
        rewrite_s: float = REWRITE_S,
    ) -> None:
        """Start with no objects.

        After a restore of the store the owners of objects get `rewrite_s`
        seconds to write again what it lost.
        """
        self.prefix = prefix
        self.bound_s = bound_s
        self.is_listed = False
        self.on_news: Callable[[str], None] | None = None
        self.view = ReplicaView(context.clock)
        self.feed = ReplicaFeed(replica, context.clock, rewrite_s, self.view)
        self.known = self.feed.known
        self.order = StoreOrder(prefix, self.known, context.store.eras)
        self._health = StoreHealth(prefix, context.clock, context.log)
        self.outages = self._health.outages
        self.has_leases = replica.has_leases
        self._context = context
        self._check_requested = asyncio.Event()
        self._restart = asyncio.Event()
        self._watches_store = asyncio.Event()
        self._watches_store.set()
        self._listed_at = float('-inf')
        self._losses = HistoryLosses(context.clock, context.rng, _MIN_WATCH_S)
        self._needs_listing = True

    async def run(self) -> None:
        """List and watch until cancelled."""
        # A run that failed may have applied only a part of an answer.
        self._needs_listing = True
        while True:
            await self._watches_store.wait()
            called_at = self._context.clock.now()
            try:
                if self._needs_listing:
                    await self._list()
                    self._needs_listing = False
                await self._watch()
            except HistoryLost:
                self._needs_listing = True
                self._context.counters.add(
                    'store_history_lost', kind=self.prefix
                )
                await self._losses.pace()
            except PlatformError as failure:
                listing_s = self._context.clock.now() - called_at
                await self._back_off(
                    failure, listing_s if self._needs_listing else 0
                )

    async def run_checks(self) -> None:
        """List on request, concurrently with the watch, until cancelled.

        A store that drops its history may have made changes that no watch
        delivers; only a listing shows them.
        """
        while True:
            await self._check_requested.wait()
            # Cleared first: a request during the listing is for another one.
            self._check_requested.clear()
            try:
                await self._list()
            except PlatformError as failure:
                self._handle_failed_check(failure)
                await self._context.clock.sleep(_CHECK_RETRY_S)

    def check(self) -> None:
        """Request a listing in addition to the watch."""
        if self.is_store_reachable and not self._check_requested.is_set():
            self._check_requested.set()
            self._context.counters.add('store_checks', kind=self.prefix)

    @property
    def age_s(self) -> float:
        """Seconds since the call of the last listing that was answered."""
        return self._context.clock.now() - self._listed_at

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._health.is_store_reachable

    @property
    def is_relayed(self) -> bool:
        """Whether changes come from an aggregator instead of the store."""
        return not self._watches_store.is_set()

    @property
    def is_current(self) -> bool:
        """Whether the store answers, so that peers may use this replica."""
        if self._health.has_failed_check:
            return False
        return self.is_listed and self.is_store_reachable

    def set_relayed(
        self, *, is_relayed: bool, needs_listing: bool = False
    ) -> None:
        """Switch between following an aggregator and watching the store.

        If what is known is too old, the watch begins with a listing.
        """
        if is_relayed == self.is_relayed:
            return
        self._needs_listing = self._needs_listing or needs_listing
        self._context.counters.add(
            'store_followed_by',
            kind=self.prefix,
            way='aggregator' if is_relayed else 'watch',
        )
        if not is_relayed:
            self._watches_store.set()
            return
        self._watches_store.clear()
        self._health.end_outage()
        self._restart.set()

    def apply_from_peer(
        self,
        found: Listing | Changes,
        sender: str = '',
        told: ToldView | None = None,
    ) -> bool:
        """Apply a peer's listing or changes; False if they are too old.

        Changes must start at this follower's position. A follower that gets
        answers of the store itself accepts no later era from a peer.
        """
        known_at = self.known.position
        if self.order.is_withdrawn(found.era):
            return False
        is_believed = not self.is_store_reachable or found.era == known_at.era
        if self.is_relayed:
            is_newer = found.read_at >= known_at
        else:
            is_newer = is_believed and found.read_at > known_at
        if not is_newer:
            return False
        if self._context.store.eras is not None:
            self._context.store.eras.adopt(found.era)
        self.view.record_peer(sender, told or ToldView())
        self._apply(found, sender)
        # A watch from before would deliver the same changes again.
        self._restart.set()
        return True

    def expire(self) -> None:
        """End what is kept since an outage or a restore for long enough."""
        self.feed.expire(is_after_outage=self.outages.may_lack_entries)

    async def _list(self) -> None:
        called_at = self._context.clock.now()
        listing = await self._context.store.read_listing(self.prefix)
        self._context.counters.add('store_listings', kind=self.prefix)
        self._health.record_answer()
        # The store may have read the objects as soon as it was called.
        self._listed_at = called_at
        if self.order.is_outdated(listing.read_at):
            self._context.counters.add(
                'store_listings_outdated', kind=self.prefix
            )
            self._health.record_outdated(listing.read_at, self.known.position)
            self.order.check_era(listing.era)
            return
        self._health.record_current()
        self.view.record_answer(LISTING, called_at)
        before = (self.known.position.era, self.known.digest)
        self._apply(listing, LISTING)
        if (self.known.position.era, self.known.digest) != before:
            self._restart.set()

    async def _watch(self) -> None:
        self._restart.clear()
        started_at = self._context.clock.now()
        watch = asyncio.ensure_future(
            self._context.store.watch(
                self.prefix, self.known.position.revision
            ),
        )
        restart = asyncio.ensure_future(self._restart.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(restart.cancel)
            stack.callback(watch.cancel)
            await asyncio.wait(
                (watch, restart),
                timeout=WATCH_WAIT_S + _WATCH_GRACE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not watch.done():
            return
        changes = watch.result()
        self._context.counters.add('store_watches', kind=self.prefix)
        waited_s = self._context.clock.now() - started_at
        self._health.record_answer(waited_s)
        self.order.check_era(changes.era)
        # A concurrent listing may already include these changes.
        if changes.read_at >= self.known.position:
            self.view.record_answer(WATCH, started_at)
            self._apply(changes, WATCH)
        await self._context.clock.sleep(max(_MIN_WATCH_S - waited_s, 0))

    def _apply(self, found: Listing | Changes, source: str) -> None:
        is_recent = self.outages.may_lack_entries
        before = (self.known.position.revision, self.known.digest)
        with self.view.updating():
            if isinstance(found, Changes):
                self.feed.apply_changes(found, is_after_outage=is_recent)
            else:
                self.feed.apply_listing(found, is_after_outage=is_recent)
                self.is_listed = True
                self._needs_listing = False
        if self.known.digest != before[-1]:
            event = ReplicaChanged(
                self.prefix,
                source,
                before[0],
                self.known.position.revision,
                may_lack_entries=is_recent,
                age_s=round(self.view.seen_s, _DIGITS),
                hops=self.view.hops,
            )
            self._context.log.write(event)
        is_news = source == LISTING or self.known.digest != before[-1]
        if is_news and self.on_news is not None:
            self.on_news(source)

    def _handle_failed_check(self, failure: PlatformError) -> None:
        """Give up the watch as well, which may wait for a lost answer.

        A connection on which the store fell silent may never answer again.
        """
        self._health.has_failed_check = True
        self._context.counters.add('store_checks_failed', kind=self.prefix)
        if not self.is_relayed:
            self._health.record_failure(failure)
            self._needs_listing = True
            self._restart.set()

    async def _back_off(self, failure: PlatformError, spent_s: float) -> None:
        """List again after a while, less what the failed listing took."""
        self._needs_listing = True
        self._health.record_failure(failure)
        kind = failure.kind.value
        self._context.counters.add('store_failures', kind=self.prefix, why=kind)
        backoff_s = self._health.backoff_s(self._context.rng)
        await self._context.clock.sleep(max(backoff_s - spent_s, 0))
