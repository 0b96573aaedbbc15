"""Storage of statuses on the platform, with one writer per region."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import (
    PlatformError,
    PlatformUnavailable,
)
from nutmegshore.operators.status import (
    STATUS_PREFIX,
    ObjectStatus,
    StatusBoard,
    status_key,
)
from nutmegshore.store import (
    Expected,
    Platform,
    StoredObject,
    make_operation,
    write_resolved,
)

__all__ = ('StatusWriter', 'read_statuses')

#: One round per interval with this many writes bounds a region to 4 writes/s,
#: 12 writes/s for three regions of the 50 that the whole system may use.
_INTERVAL_S = 5
_WRITES_PER_ROUND = 20
#: Counts change with every request, so a change of counts alone is written
#: only this often.
_COUNTS_INTERVAL_S = 60
_COUNT_FIELDS = frozenset(('done', 'progress'))
_SINCE = 'in_force_since'


@attrs.frozen
class _WrittenStatus:
    """A status as stored, and the local time of its last write, in seconds."""

    expected: Expected
    fields: dict[str, Any]
    at: float


class StatusWriter:
    """Writes the statuses of a region while `is_writer()` says so.

    Only this class writes keys below status/, so a status write never
    conflicts with an operator's write. If two instances both act as the
    writer, the conditional write of one fails and it reads the store again.

        writer = StatusWriter(platform, board, clock, is_lowest, counters)
        writer.start()
        ...
        await writer.stop()
    """

    def __init__(
        self,
        platform: Platform,
        board: StatusBoard,
        clock: Clock,
        is_writer: Callable[[], bool],
        counters: Counters,
        rng: random.Random | None = None,
    ) -> None:
        """Write through a platform client, from `start` on."""
        self._platform = platform
        self._board = board
        self._clock = clock
        self._is_writer = is_writer
        self._counters = counters
        self._rng = rng or random.SystemRandom()
        self._by_key: dict[str, _WrittenStatus] | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that writes one round per interval."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the task; raises the error that ended it, if any."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def write_round(self) -> int:
        """Write changed statuses, up to the bound of a round.

        Returns the number of writes. A platform error is counted, and the
        statuses are written in a later round.
        """
        if not self._is_writer():
            self._by_key = None
            return 0
        try:
            return await self._write_due()
        except PlatformError as failure:
            reason = failure.kind.value
            self._counters.add('status_write_failures', reason=reason)
            if not isinstance(failure, PlatformUnavailable):
                # Another instance may have written: read the store again.
                self._by_key = None
            return 0

    async def _run(self) -> None:
        while True:
            await self.write_round()
            await self._clock.sleep(_INTERVAL_S)

    async def _write_due(self) -> int:
        if self._by_key is None:
            self._by_key = await self._load()
        statuses = {
            status_key(status): attrs.asdict(status)
            for status in self._board.iter_statuses()
        }
        removed = sorted(set(self._by_key) - set(statuses))[:_WRITES_PER_ROUND]
        due = self._list_due_keys(statuses)[: _WRITES_PER_ROUND - len(removed)]
        pending = [*removed, *due]
        while pending:
            key = pending.pop(0)
            await self._write_one(key, statuses.get(key))
            self._counters.add('status_writes')
        return len(removed) + len(due)

    async def _load(self) -> dict[str, _WrittenStatus]:
        region = self._board.region
        listed = await self._platform.iter_objects(STATUS_PREFIX)
        return {
            stored.key: _WrittenStatus(
                Expected.of(stored), _parse(stored), float(0)
            )
            for stored in listed
            if stored.key.endswith(f'/{region}')
        }

    def _list_due_keys(self, statuses: dict[str, dict[str, Any]]) -> list[str]:
        """Keys to write: changed states, then counts, oldest write first."""
        states = []
        counts = []
        for key, fields in statuses.items():
            written = self._by_key.get(key)
            if written is None or _state(written.fields) != _state(fields):
                states.append(key)
            elif self._are_counts_due(written, fields):
                counts.append((written.at, key))
        return states + [oldest for _, oldest in sorted(counts)]

    def _are_counts_due(
        self,
        written: _WrittenStatus,
        fields: dict[str, Any],
    ) -> bool:
        if _counts(written.fields) == _counts(fields):
            return False
        return self._clock.now() - written.at >= _COUNTS_INTERVAL_S

    async def _write_one(self, key: str, fields: dict[str, Any] | None) -> None:
        written = self._by_key.get(key)
        if fields is None:
            await self._platform.remove(key, written.expected)
            self._by_key.pop(key)
            return
        fields = _keep_earlier_since(fields, written)
        stored = await write_resolved(
            self._platform,
            key,
            json.dumps(fields, sort_keys=True).encode(),
            written.expected if written else None,
            make_operation(self._rng),
        )
        self._by_key[key] = _WrittenStatus(
            Expected.of(stored),
            fields,
            self._clock.now(),
        )


async def read_statuses(
    platform: Platform,
    kind: str = '',
    name: str = '',
) -> list[ObjectStatus]:
    """Statuses of all regions as their writers stored them.

    '' stands for every kind or name. Raises `PlatformError`.
    """
    prefix = STATUS_PREFIX
    if kind:
        prefix = f'{prefix}{kind}/'
    if kind and name:
        prefix = f'{prefix}{name}/'
    listed = await platform.iter_objects(prefix)
    parsed = [_parse(stored) for stored in listed]
    return [ObjectStatus(**fields) for fields in parsed if fields]


def _parse(stored: StoredObject) -> dict[str, Any]:
    """Fields of a stored status; empty for any other object."""
    try:
        raw = json.loads(stored.body)
    except (ValueError, RecursionError):
        return {}
    known = {field.name for field in attrs.fields(ObjectStatus)}
    if not isinstance(raw, dict) or set(raw) != known:
        return {}
    return raw


def _state(fields: dict[str, Any]) -> str:
    """The fields whose change is written in the next round, as JSON."""
    skipped = {_SINCE, *_COUNT_FIELDS}
    kept = {key: value for key, value in fields.items() if key not in skipped}
    # Changes of progress wait with the counts; completion is written in the
    # next round.
    kept['is_complete'] = fields.get('progress') == 1
    return json.dumps(kept, sort_keys=True)


def _counts(fields: dict[str, Any]) -> list[Any]:
    return [fields.get(field) for field in sorted(_COUNT_FIELDS)]


def _keep_earlier_since(
    fields: dict[str, Any],
    written: _WrittenStatus | None,
) -> dict[str, Any]:
    """Keep the earlier `in_force_since` when another writer takes over.

    Applies only while the generation is the same.
    """
    previous = written.fields if written else {}
    if previous.get('generation') != fields['generation']:
        return fields
    since = min(previous.get(_SINCE, fields[_SINCE]), fields[_SINCE])
    return {**fields, _SINCE: since}
