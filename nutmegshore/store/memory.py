"""A platform in memory, with the faults of the real one."""

import asyncio
import collections
import itertools

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.store.base import (
    WATCH_WAIT_S,
    Change,
    Changes,
    Expected,
    ListedInstance,
    Platform,
    StoredObject,
)

__all__ = ('Faults', 'MemoryPlatform', 'MemoryStore')

#: A watch answers with at most this many changes; the next goes on.
_MAX_CHANGES = 1000

_Listing = tuple[float, list[ListedInstance]]


class MemoryStore:
    """The objects that several `MemoryPlatform` clients share.

    `call_counts` counts reads, writes and watches; a waiting watch counts
    once. `faults` holds for every client; a client has faults of its own.
    """

    def __init__(self) -> None:
        """Start empty and reachable."""
        self.by_key: dict[str, StoredObject] = {}
        self._listings: list[_Listing] = [(0, [])]
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.faults = Faults()
        self._log: list[Change] = []
        self._history_from = 0
        self._next_uid = 0
        self._changed = asyncio.Event()

    @property
    def position(self) -> int:
        """Position of the last change."""
        return len(self._log)

    @property
    def instances(self) -> list[ListedInstance]:
        """The instances as they are; assign a new list for each change."""
        return self._listings[-1][1]

    @instances.setter
    def instances(self, listed: list[ListedInstance]) -> None:
        self._listings.append((_loop_s(), listed))

    def instances_before(self, lag_s: float) -> list[ListedInstance]:
        """The list as it was this many seconds ago."""
        limit = _loop_s() - lag_s
        known = [listed for at, listed in self._listings if at <= limit]
        return known[-1] if known else self._listings[0][1]

    def apply(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write conditionally, or raise `VersionConflict`."""
        self._check(key, expected)
        stored = StoredObject(
            key=key,
            body=body,
            uid=expected.uid if expected else self._new_uid(),
            version=expected.version + 1 if expected else 1,
            operation=operation,
        )
        self.by_key[key] = stored
        self._record(Change(key, stored))
        return stored

    def discard(self, key: str, expected: Expected) -> None:
        """Remove conditionally, or raise `VersionConflict`."""
        self._check(key, expected)
        self.by_key.pop(key)
        self._record(Change(key, None))

    def compact(self) -> None:
        """Drop the history; watches from before raise `HistoryLost`."""
        self._history_from = self.position
        self._wake()

    def check_history(self, after: int) -> None:
        """Raise `HistoryLost` where the changes since then are dropped."""
        if after < self._history_from:
            raise HistoryLost(f'position {after}')

    def page_after(self, prefix: str, after: int, limit: int) -> Changes:
        """Up to `limit` changes, and the position of the last one looked at.

        A position beyond the log comes from before the store was emptied;
        all changes of the new log follow it.
        """
        start = after if after <= self.position else 0
        numbered = enumerate(self._log[start:], start + 1)
        found = (
            (number, change)
            for number, change in numbered
            if change.key.startswith(prefix)
        )
        page = list(itertools.islice(found, limit))
        is_full = len(page) == limit
        position = page[-1][0] if is_full else self.position
        return Changes(position, tuple(change for _, change in page))

    async def wait_for_change(self, position: int) -> None:
        """Return once the log is longer, or its history was dropped."""
        kept_from = self._history_from
        while self.position <= position and self._history_from == kept_from:
            await self._changed.wait()

    def _check(self, key: str, expected: Expected | None) -> None:
        present = self.by_key.get(key)
        found = Expected.of(present) if present else None
        if found != expected:
            raise VersionConflict(
                f'{key}: expected {expected}, found {found}',
                present,
            )

    def _new_uid(self) -> str:
        self._next_uid += 1
        return f'uid-{self._next_uid}'

    def _record(self, change: Change) -> None:
        self._log.append(change)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@attrs.define
class Faults:
    """Faults of a platform or of one client's way to it.

    `delay_s` is added to each call, and `lost_answers` is the number of the
    next writes that take effect but whose answer is lost. `list_lag_s` is the
    age of the instance list that is answered.
    """

    is_down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    list_lag_s: float = 0

    def consume_lost_answer(self) -> bool:
        """Use up one lost answer, if any is left."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True


class MemoryPlatform(Platform):
    """One process's client of a `MemoryStore`.

    store = MemoryStore()
    platform = MemoryPlatform(store, clock)
    store.faults.is_down = True  # every client
    platform.faults.is_down = True  # this client only
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        """Connect a client with its process's clock."""
        self._store = store
        self._clock = clock
        self.faults = Faults()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None where there is none."""
        await self._begin('read')
        found = self._store.by_key.get(key)
        await self._finish()
        return found

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix."""
        await self._begin('read')
        found = [
            stored
            for key, stored in sorted(self._store.by_key.items())
            if key.startswith(prefix)
        ]
        await self._finish()
        return found

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None: it must not exist."""
        await self._begin('write')
        stored = self._store.apply(key, body, expected, operation)
        await self._finish_write(key)
        return stored

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""
        await self._begin('write')
        self._store.discard(key, expected)
        await self._finish_write(key)

    async def read_position(self) -> int:
        """Read the position of the store's last change."""
        await self._begin('read')
        position = self._store.position
        await self._finish()
        return position

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait for changes below the prefix after a position, for ever."""
        await self._begin('watch')
        self._store.check_history(after)
        changes = self._store.page_after(prefix, after, _MAX_CHANGES)
        while changes.position == after or not changes.changes:
            await self._store.wait_for_change(self._store.position)
            self._store.check_history(after)
            changes = self._store.page_after(prefix, after, _MAX_CHANGES)
        await self._finish()
        return changes

    async def read_instances(self) -> list[ListedInstance]:
        """Read the lagging list of live and leaving instances."""
        await self._begin('read')
        lag_s = self.faults.list_lag_s + self._store.faults.list_lag_s
        listed = list(self._store.instances_before(lag_s))
        await self._finish()
        return listed

    async def _begin(self, call: str) -> None:
        self._store.call_counts[call] += 1
        await self._clock.sleep(self._delay_s / 2)
        self._check_reachable()

    async def _finish(self) -> None:
        await self._clock.sleep(self._delay_s / 2)
        self._check_reachable()

    async def _finish_write(self, key: str) -> None:
        await self._clock.sleep(self._delay_s / 2)
        is_lost = self.faults.consume_lost_answer()
        is_lost = is_lost or self._store.faults.consume_lost_answer()
        if is_lost or self._is_down:
            raise PlatformAnswerLost(f'{key}: answer lost after the write')

    def _check_reachable(self) -> None:
        if self._is_down:
            raise PlatformUnavailable('platform is down')

    @property
    def _is_down(self) -> bool:
        return self.faults.is_down or self._store.faults.is_down

    @property
    def _delay_s(self) -> float:
        return self.faults.delay_s + self._store.faults.delay_s


def _loop_s() -> float:
    """Time of the running loop; 0 before a loop runs."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0
