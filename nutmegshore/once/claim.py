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

_INITIAL_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 30


class RecordWriter:
    """Writes the results of claims in the background until they are stored."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Write through a platform client; `rng` draws the operation ids."""
        self._rng = rng
        self._platform = platform
        self._clock = clock
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    def write_later(self, stored: StoredObject, record: OnceRecord) -> None:
        """Replace a stored record in the background, retrying without limit."""
        task = asyncio.create_task(self._write(stored, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def flush(self, seconds: float) -> None:
        """Wait up to `seconds` for the pending writes."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    async def stop(self) -> None:
        """Cancel the pending writes."""
        pending = set(self._tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _write(self, stored: StoredObject, record: OnceRecord) -> None:
        delay_s = _INITIAL_RETRY_DELAY_S
        while not await self._try_write(stored, record):
            await self._clock.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)

    async def _try_write(
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
            # An earlier attempt took effect, or another process took the
            # record over after its release: nothing remains to be written.
            return True
        except PlatformError as failure:
            reason = failure.kind.value
            self._counters.add('once_write_retries', reason=reason)
            return False
        return True


@attrs.define
class Claim:
    """The exclusive right of this process to send a request.

    The holder calls `finish` or `release` exactly once. When the outcome is
    unknown it calls neither, so that the record stays `started` until the
    sweep removes it.
    """

    stored: StoredObject
    writer: RecordWriter
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    record: OnceRecord | None = None

    def finish(self, answer: RecordedAnswer) -> None:
        """Record the upstream's answer, which repeats then receive."""
        self._end(RecordState.DONE, answer)

    def release(self) -> None:
        """Record that the request did not run, so that a repeat may run."""
        self._end(RecordState.NOT_RUN, None)

    def abandon(self) -> None:
        """End the claim with an unknown outcome; the stored record stays."""
        self.ended.set()

    def _end(self, state: RecordState, answer: RecordedAnswer | None) -> None:
        started = parse_record(self.stored.body)
        self.record = attrs.evolve(started, state=state, answer=answer)
        self.writer.write_later(self.stored, self.record)
        self.ended.set()
