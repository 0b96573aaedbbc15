"""Notices by which news of the store reach other gateways at once."""

import asyncio
import contextlib
from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.gateway.follower import LISTING, WATCH, KindFollower
from nutmegshore.gateway.messages import StateNotice
from nutmegshore.gateway.report_checks import check_notice
from nutmegshore.gateway.state_pushes import StatePushes
from nutmegshore.gateway.state_sync import StateSync
from nutmegshore.peers import Peers

__all__ = ('StateNotices',)

#: Least seconds between two notices, since each one that tells of a change is
#: followed by a request of each gateway that relies on it.
_INTERVAL_S = 0.25
#: Seconds that are too short to wait for.
_MIN_WAIT_S = 0.001


class StateNotices:
    """Sends what is known of the store ahead of the next report.

    The bounds on changes leave no time for a report at each hop. In a small
    fleet, whose gateways all watch the store, a notice goes to all after a
    listing. In a larger one each aggregator sends them to its region, and those
    of other regions get them from the one that the store told, so that notices
    do not go round.

        notices = StateNotices(peers, clock, state_sync, followers)
        await notices.send_until(due_at)
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        state_sync: StateSync,
        followers: Iterable[KindFollower],
    ) -> None:
        """Subscribe to the notices of peers and to the followers' news."""
        self._peers = peers
        self._clock = clock
        self._state_sync = state_sync
        self._pushes = StatePushes(peers, clock, followers)
        self._has_news = asyncio.Event()
        self._is_first_hand = False
        self._is_watched = True
        for follower in followers:
            follower.on_news = self._handle_news
        peers.subscribe(StateNotice, self._handle_notice)

    async def send_until(self, due_at: float) -> None:
        """Send notices as news arrive, until a reading of the clock."""
        left_s = due_at - self._clock.now()
        while left_s > _MIN_WAIT_S:
            await self._wait_news(left_s)
            if self._has_news.is_set():
                self._send()
                await self._clock.sleep(min(_INTERVAL_S, left_s))
            left_s = due_at - self._clock.now()

    async def _wait_news(self, within_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._has_news.wait()
        # A process that was stopped meanwhile goes on here.
        await self._clock.sleep(0)

    def _handle_news(self, source: str) -> None:
        if source != WATCH or self._peers.aggregators():
            self._has_news.set()
        if source in {LISTING, WATCH}:
            self._is_first_hand = True
        if source != WATCH:
            self._is_watched = False

    def _handle_notice(self, sender: str, notice: StateNotice) -> None:
        check_notice(notice)
        transit_s = self._state_sync.transit_times.record(
            sender, notice.sent_at
        )
        self._state_sync.compare(sender, notice, transit_s)
        if self._is_aggregator() and sender not in self._region_members():
            self._has_news.set()

    def _send(self) -> None:
        sent_at = self._clock.now()
        notice = StateNotice(
            self._state_sync.known(),
            self._state_sync.eras(),
            self._state_sync.ages(),
            sent_at,
            self._state_sync.answers(),
            configured=self._state_sync.words.told,
        )
        if self._is_aggregator():
            self._send_as_aggregator(notice)
        else:
            self._pushes.stop()
        if not self._peers.aggregators():
            self._peers.broadcast(notice)
        self._is_first_hand = False
        self._is_watched = True
        self._has_news.clear()

    def _send_as_aggregator(self, notice: StateNotice) -> None:
        self._pushes.send(is_watched=self._is_watched)
        self._peers.send_each(self._region_members(), notice)
        if self._is_first_hand:
            self._send_other_regions(notice)

    def _send_other_regions(self, notice: StateNotice) -> None:
        for region in self._peers.regions():
            if region != self._peers.local.region:
                self._peers.send_each(self._peers.aggregators(region), notice)

    def _is_aggregator(self) -> bool:
        return self._peers.local.name in self._peers.aggregators()

    def _region_members(self) -> list[str]:
        return [
            name
            for name, member in self._peers.live().items()
            if member.region == self._peers.local.region
        ]
