"""An in-memory platform with fault injection."""

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

#: Most changes that one watch returns; the next watch continues.
_MAX_WATCH_CHANGES = 1000

_TimedInstances = tuple[float, list[ListedInstance]]


class MemoryStore:
    """Objects and instances that several `MemoryPlatform` clients share.

    `call_counts` counts reads, writes and watches; a waiting watch counts
    once. `faults` applies to every client, in addition to the faults of the
    client itself.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.by_key: dict[str, StoredObject] = {}
        self._instance_history: list[_TimedInstances] = [(0, [])]
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.faults = Faults()
        self._log: list[Change] = []
        self._dropped_up_to = 0
        self._next_uid = 0
        self._changed = asyncio.Event()

    @property
    def position(self) -> int:
        """Position of the last change."""
        return len(self._log)

    @property
    def instances(self) -> list[ListedInstance]:
        """The current instances; assign a new list to change them."""
        return self._instance_history[-1][1]

    @instances.setter
    def instances(self, listed: list[ListedInstance]) -> None:
        self._instance_history.append((_loop_s(), listed))

    def lagging_instances(self, lag_s: float) -> list[ListedInstance]:
        """The instance list as it was `lag_s` seconds ago."""
        limit = _loop_s() - lag_s
        visible = [
            listed
            for listed_at, listed in self._instance_history
            if listed_at <= limit
        ]
        return visible[-1] if visible else self._instance_history[0][1]

    def apply(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write conditionally, or raise `VersionConflict`."""
        self._check_expected(key, expected)
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
        self._check_expected(key, expected)
        self.by_key.pop(key)
        self._record(Change(key, None))

    def compact(self) -> None:
        """Drop past changes; watches from older positions fail."""
        self._dropped_up_to = self.position
        self._wake_watches()

    def check_history(self, after: int) -> None:
        """Raise `HistoryLost` if changes after the position were dropped."""
        if after < self._dropped_up_to:
            raise HistoryLost(f'changes no longer kept after position {after}')

    def page_after(self, prefix: str, after: int, limit: int) -> Changes:
        """Return up to `limit` changes and the position scanned up to.

        A position beyond the end of the log comes from before the store was
        emptied, so the whole log follows it.
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
        """Wait until the log is longer or its history is dropped."""
        dropped_up_to = self._dropped_up_to
        while (
            self.position <= position and self._dropped_up_to == dropped_up_to
        ):
            await self._changed.wait()

    def _check_expected(self, key: str, expected: Expected | None) -> None:
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
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@attrs.define
class Faults:
    """Faults injected into a platform or into one client's calls.

    `delay_s` is added to each call. The next `lost_answers` writes take
    effect, but their answers are lost. `list_lag_s` is the age of the
    instance list that calls return.
    """

    is_down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    list_lag_s: float = 0

    def consume_lost_answer(self) -> bool:
        """Decrement `lost_answers`; False if it is already 0."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True


class MemoryPlatform(Platform):
    """One process's client of a `MemoryStore`.

    `platform.faults` affects only this client, `store.faults` every client.

    store = MemoryStore()
    platform = MemoryPlatform(store, clock)
    store.faults.is_down = True  # every client
    platform.faults.is_down = True  # this client only
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        """Create a client that sleeps on its process's clock."""
        self._store = store
        self._clock = clock
        self.faults = Faults()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""
        await self._begin_call('read')
        found = self._store.by_key.get(key)
        await self._finish_call()
        return found

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix."""
        await self._begin_call('read')
        found = [
            stored
            for key, stored in sorted(self._store.by_key.items())
            if key.startswith(prefix)
        ]
        await self._finish_call()
        return found

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object matches `expected`; None requires its absence."""
        await self._begin_call('write')
        stored = self._store.apply(key, body, expected, operation)
        await self._finish_write(key)
        return stored

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it matches `expected`."""
        await self._begin_call('write')
        self._store.discard(key, expected)
        await self._finish_write(key)

    async def read_position(self) -> int:
        """Read the position of the store's last change."""
        await self._begin_call('read')
        position = self._store.position
        await self._finish_call()
        return position

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait without limit for changes below the prefix after a position."""
        await self._begin_call('watch')
        self._store.check_history(after)
        changes = self._store.page_after(prefix, after, _MAX_WATCH_CHANGES)
        while changes.position == after or not changes.changes:
            await self._store.wait_for_change(self._store.position)
            self._store.check_history(after)
            changes = self._store.page_after(prefix, after, _MAX_WATCH_CHANGES)
        await self._finish_call()
        return changes

    async def read_instances(self) -> list[ListedInstance]:
        """Read the list of live and leaving instances, which may lag."""
        await self._begin_call('read')
        lag_s = self.faults.list_lag_s + self._store.faults.list_lag_s
        listed = list(self._store.lagging_instances(lag_s))
        await self._finish_call()
        return listed

    async def _begin_call(self, call: str) -> None:
        self._store.call_counts[call] += 1
        await self._clock.sleep(self._delay_s / 2)
        self._check_reachable()

    async def _finish_call(self) -> None:
        await self._clock.sleep(self._delay_s / 2)
        self._check_reachable()

    async def _finish_write(self, key: str) -> None:
        await self._clock.sleep(self._delay_s / 2)
        is_lost = self.faults.consume_lost_answer()
        is_lost = is_lost or self._store.faults.consume_lost_answer()
        if is_lost or self._is_down:
            raise PlatformAnswerLost(f'{key}: lost the answer to the write')

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
    """Time of the running event loop in seconds; 0 without one."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0
