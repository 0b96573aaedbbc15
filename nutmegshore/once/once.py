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
from nutmegshore.once.owners import ASK_AGAIN_S, Owners
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
    """What identifies a request that must run at most once.

    `caller` is a digest of the caller's credentials, empty without any.
    `request_digest` covers method, target and body; `deadline` is a reading
    of the process's clock.
    """

    service: str
    caller: str
    idempotency_key: str
    request_digest: str
    deadline: float


class OnceRecords:
    """Decides which single process may send a keyed request.

    The record is created on the platform by a conditional create before the
    request is sent, so that of all entries only the creator sends it. What
    cannot be known is answered `OUTCOME_UNKNOWN`.

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
        """Keep records on the platform and answer peers about own ones.

        `rng` must differ for each process, also under the same name.
        """
        self._rng = rng
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._writer = RecordWriter(platform, clock, counters, rng)
        self._owners = Owners(peers)
        self._abandoned_operations: set[str] = set()

    async def begin(self, request: KeyedRequest) -> Claim | RecordedAnswer:
        """Claim the request, or give the answer of the one that ran.

        Raises `RequestError`: `KEY_REUSED`, `RECORD_UNAVAILABLE` (the
        platform cannot be reached, nothing ran), `DUPLICATE_IN_FLIGHT` or
        `OUTCOME_UNKNOWN`.
        """
        key = record_key(
            request.service,
            request.caller,
            request.idempotency_key,
        )
        takeovers = 0
        found = await self._begin_once(key, request)
        while found is None:
            takeovers += 1
            if takeovers == _MAX_TAKEOVERS:
                raise RequestError(ErrorKind.DUPLICATE_IN_FLIGHT, key)
            found = await self._begin_once(key, request)
        return found

    async def stop(self, seconds: float = 0) -> None:
        """Give the writes under way some time, then end them."""
        await self._writer.flush(seconds)
        await self._writer.stop()

    async def _begin_once(
        self,
        key: str,
        request: KeyedRequest,
    ) -> Claim | RecordedAnswer | None:
        operation = make_operation(self._rng)
        try:
            stored = await self._create(key, request, operation)
        except VersionConflict as conflict:
            return await self._follow(key, request, conflict.present)
        except PlatformError as failure:
            self._record_unsent(failure, operation)
            raise RequestError(ErrorKind.RECORD_UNAVAILABLE, key) from failure
        return self._owners.claim(stored, self._writer)

    async def _create(
        self,
        key: str,
        request: KeyedRequest,
        operation: str,
    ) -> StoredObject:
        record = self._started(request)
        return await write_resolved(
            self._platform,
            key,
            write_record(record),
            None,
            operation,
        )

    def _record_unsent(self, failure: PlatformError, operation: str) -> None:
        # The record may stand there under this operation, but nothing is
        # sent for it; a repeat may therefore take it over.
        if isinstance(failure, PlatformAnswerLost):
            self._abandoned_operations.add(operation)

    async def _follow(
        self,
        key: str,
        request: KeyedRequest,
        present: StoredObject | None,
    ) -> Claim | RecordedAnswer | None:
        """Act on a record that another operation created; None: try again."""
        if present is None:
            return None
        record = parse_record(present.body)
        if record.request_digest != request.request_digest:
            raise RequestError(ErrorKind.KEY_REUSED, key)
        if record.state is RecordState.DONE:
            return _recorded(record, key)
        if self._is_free(present, record):
            return await self._take_over(present, request)
        return await self._await_owner(present, record, request)

    def _is_free(self, present: StoredObject, record: OnceRecord) -> bool:
        if record.state is RecordState.NOT_RUN:
            return True
        return present.operation in self._abandoned_operations

    async def _take_over(
        self,
        present: StoredObject,
        request: KeyedRequest,
    ) -> Claim | None:
        operation = make_operation(self._rng)
        try:
            # The condition closes the race of two entries that both found
            # the record free: only one of the two writes can match.
            stored = await write_resolved(
                self._platform,
                present.key,
                write_record(self._started(request)),
                Expected.of(present),
                operation,
            )
        except VersionConflict:
            return None
        except PlatformError as failure:
            self._record_unsent(failure, operation)
            kind = ErrorKind.RECORD_UNAVAILABLE
            raise RequestError(kind, present.key) from failure
        return self._owners.claim(stored, self._writer)

    async def _await_owner(
        self,
        present: StoredObject,
        record: OnceRecord,
        request: KeyedRequest,
    ) -> RecordedAnswer | None:
        """Wait for the outcome that the record's owner knows."""
        while self._clock.now() < request.deadline:
            answer = await self._owners.ask(present.key, record)
            if answer.state == RecordState.NOT_RUN.value:
                # Only a record that says so too may be taken over, and
                # the owner's write of it may still be under way.
                await self._clock.sleep(ASK_AGAIN_S)
                return None
            if answer.state == RecordState.DONE.value:
                return _recorded(parse_record(answer.record), present.key)
        raise RequestError(ErrorKind.DUPLICATE_IN_FLIGHT, present.key)

    def _started(self, request: KeyedRequest) -> OnceRecord:
        return OnceRecord(
            state=RecordState.STARTED,
            owner=self._peers.local.name,
            incarnation=self._peers.local.incarnation,
            request_digest=request.request_digest,
            created_at=self._clock.wall(),
        )


def _recorded(record: OnceRecord, key: str) -> RecordedAnswer:
    if record.answer is None:
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
    return record.answer
