"""At-most-once execution of requests with an idempotency key."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import (
    ErrorKind,
    PlatformAnswerLost,
    PlatformError,
    RequestError,
    VersionConflict,
)
from nutmegshore.once.claim import Claim, RecordWriter
from nutmegshore.once.claim_registry import QUERY_INTERVAL_S, ClaimRegistry
from nutmegshore.once.record import (
    OnceRecord,
    RecordedAnswer,
    RecordState,
    parse_record,
    record_key,
    write_record,
)
from nutmegshore.peers import Peers
from nutmegshore.store import (
    make_operation,
    Expected,
    Platform,
    StoredObject,
    write_resolved,
)

__all__ = ('KeyedRequest', 'OnceRecords')

_MAX_TAKEOVERS = 3


@attrs.frozen
class KeyedRequest:
    """Identity and deadline of a request that must run at most once.

    `caller` is a digest of the caller's credentials, empty if there are
    none. `request_digest` covers method, target and body. `deadline` is a
    reading of the process's clock, in seconds.
    """

    service: str
    caller: str
    idempotency_key: str
    request_digest: str
    deadline: float


class OnceRecords:
    """Decides which single process may send a keyed request.

    Before a request is sent, its record is written to the platform by a
    conditional create, so that only the entry that created it sends the
    request. An outcome that cannot be known is refused as
    `OUTCOME_UNKNOWN`.

        found = await records.begin(request)
        if isinstance(found, RecordedAnswer):
            return found
        found.finish(RecordedAnswer(200))
    """

    def __init__(
        self,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Store records on the platform and answer peers' queries.

        `rng` must differ for each process, even one that restarts under the
        same name.
        """
        self._rng = rng
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._writer = RecordWriter(platform, clock, counters, rng)
        self._registry = ClaimRegistry(peers)
        self._abandoned_operations: set[str] = set()

    async def begin(self, request: KeyedRequest) -> Claim | RecordedAnswer:
        """Claim the request, or return the answer of its earlier run.

        Raises `RequestError`: `KEY_REUSED`, `RECORD_UNAVAILABLE` (the
        platform cannot be reached, this call sent nothing),
        `DUPLICATE_IN_FLIGHT` or `OUTCOME_UNKNOWN`.
        """
        key = record_key(
            request.service,
            request.caller,
            request.idempotency_key,
        )
        takeovers = 0
        found = await self._try_begin(key, request)
        while found is None:
            takeovers += 1
            if takeovers == _MAX_TAKEOVERS:
                raise RequestError(ErrorKind.DUPLICATE_IN_FLIGHT, key)
            found = await self._try_begin(key, request)
        return found

    async def stop(self, seconds: float = 0) -> None:
        """Wait up to `seconds` for pending writes, then cancel the rest."""
        await self._writer.flush(seconds)
        await self._writer.stop()

    async def _try_begin(
        self,
        key: str,
        request: KeyedRequest,
    ) -> Claim | RecordedAnswer | None:
        operation = make_operation(self._rng)
        try:
            stored = await self._create(key, request, operation)
        except VersionConflict as conflict:
            return await self._handle_existing(key, request, conflict.present)
        except PlatformError as failure:
            self._record_abandoned(failure, operation)
            raise RequestError(ErrorKind.RECORD_UNAVAILABLE, key) from failure
        return self._registry.claim(stored, self._writer)

    async def _create(
        self,
        key: str,
        request: KeyedRequest,
        operation: str,
    ) -> StoredObject:
        record = self._started_record(request)
        return await write_resolved(
            self._platform,
            key,
            write_record(record),
            None,
            operation,
        )

    def _record_abandoned(self, failure: PlatformError, operation: str) -> None:
        # The platform may have stored the record under this operation, but
        # no request is sent for it, so that a repeat may take it over.
        if isinstance(failure, PlatformAnswerLost):
            self._abandoned_operations.add(operation)

    async def _handle_existing(
        self,
        key: str,
        request: KeyedRequest,
        existing: StoredObject | None,
    ) -> Claim | RecordedAnswer | None:
        """Handle a record that already exists; None asks for a retry."""
        if existing is None:
            return None
        record = parse_record(existing.body)
        if record.request_digest != request.request_digest:
            raise RequestError(ErrorKind.KEY_REUSED, key)
        if record.state is RecordState.DONE:
            return _recorded_answer(record, key)
        if self._may_take_over(existing, record):
            return await self._take_over(existing, request)
        return await self._await_outcome(existing, record, request)

    def _may_take_over(
        self, existing: StoredObject, record: OnceRecord
    ) -> bool:
        if record.state is RecordState.NOT_RUN:
            return True
        return existing.operation in self._abandoned_operations

    async def _take_over(
        self,
        existing: StoredObject,
        request: KeyedRequest,
    ) -> Claim | None:
        operation = make_operation(self._rng)
        try:
            # Two entries can both find the record free. The conditional
            # write lets only one of them succeed.
            stored = await write_resolved(
                self._platform,
                existing.key,
                write_record(self._started_record(request)),
                Expected.of(existing),
                operation,
            )
        except VersionConflict:
            return None
        except PlatformError as failure:
            self._record_abandoned(failure, operation)
            kind = ErrorKind.RECORD_UNAVAILABLE
            raise RequestError(kind, existing.key) from failure
        return self._registry.claim(stored, self._writer)

    async def _await_outcome(
        self,
        existing: StoredObject,
        record: OnceRecord,
        request: KeyedRequest,
    ) -> RecordedAnswer | None:
        """Query the record's owner until the outcome is known."""
        while self._clock.now() < request.deadline:
            answer = await self._registry.query(existing.key, record)
            if answer.state == RecordState.NOT_RUN.value:
                # The record may be taken over only once the platform stores
                # it as not run, and the owner's write may still be pending.
                await self._clock.sleep(QUERY_INTERVAL_S)
                return None
            if answer.state == RecordState.DONE.value:
                return _recorded_answer(
                    parse_record(answer.record), existing.key
                )
        raise RequestError(ErrorKind.DUPLICATE_IN_FLIGHT, existing.key)

    def _started_record(self, request: KeyedRequest) -> OnceRecord:
        return OnceRecord(
            state=RecordState.STARTED,
            owner=self._peers.local.name,
            incarnation=self._peers.local.incarnation,
            request_digest=request.request_digest,
            created_at=self._clock.wall(),
        )


def _recorded_answer(record: OnceRecord, key: str) -> RecordedAnswer:
    if record.answer is None:
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
    return record.answer
