"""The right to send the request of one idempotency key."""

import asyncio
import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError, VersionConflict
from nutmegshore.once.record import (
    OnceRecord,
    RecordedAnswer,
    RecordState,
    parse_record,
    write_record,
)
from nutmegshore.store import (
    make_operation,
    Expected,
    Platform,
    StoredObject,
    write_resolved,
)

__all__ = ('Claim', 'RecordWriter')

_FIRST_RETRY_S = 0.2
_LAST_RETRY_S = 30


class RecordWriter:
    """Writes the ends of claims in the background until they are stored."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Write through a platform client; `rng` draws operation ids."""
        self._rng = rng
        self._platform = platform
        self._clock = clock
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    def write_later(self, stored: StoredObject, record: OnceRecord) -> None:
        """Store a record over the one that was read, however long it takes."""
        task = asyncio.create_task(self._write(stored, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def flush(self, seconds: float) -> None:
        """Wait for the writes that are under way, at most this long."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    async def stop(self) -> None:
        """Give up the writes that are still under way."""
        pending = set(self._tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _write(self, stored: StoredObject, record: OnceRecord) -> None:
        delay_s = _FIRST_RETRY_S
        while not await self._is_written(stored, record):
            await self._clock.sleep(delay_s)
            delay_s = min(delay_s * 2, _LAST_RETRY_S)

    async def _is_written(
        self,
        stored: StoredObject,
        record: OnceRecord,
    ) -> bool:
        try:
            await write_resolved(
                self._platform,
                stored.key,
                write_record(record),
                Expected.of(stored),
                make_operation(self._rng),
            )
        except VersionConflict:
            # An earlier try took effect, or the record was taken over after
            # it was released; in both cases there is nothing left to write.
            return True
        except PlatformError as failure:
            reason = failure.kind.value
            self._counters.add('once_write_retries', reason=reason)
            return False
        return True


@attrs.define
class Claim:
    """The right of this process, and of no other, to send a request.

    Exactly one of `finish` and `release` is called; neither is called when
    the outcome is unknown, so that the record stays `started` for ever.
    """

    stored: StoredObject
    writer: RecordWriter
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    record: OnceRecord | None = None

    def finish(self, answer: RecordedAnswer) -> None:
        """Record the upstream's answer for repeats."""
        self._end(RecordState.DONE, answer)

    def release(self) -> None:
        """Record that the request did not run, so that a repeat may."""
        self._end(RecordState.NOT_RUN, None)

    def abandon(self) -> None:
        """Leave the outcome unknown."""
        self.ended.set()

    def _end(self, state: RecordState, answer: RecordedAnswer | None) -> None:
        started = parse_record(self.stored.body)
        self.record = attrs.evolve(started, state=state, answer=answer)
        self.writer.write_later(self.stored, self.record)
        self.ended.set()
