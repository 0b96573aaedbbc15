"""Claims of this process and outcome queries between record owners."""

import asyncio
import collections

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.once.claim import Claim, RecordWriter
from nutmegshore.once.messages import OnceAnswer, OnceQuery
from nutmegshore.once.record import OnceRecord, RecordState, write_record
from nutmegshore.peers import Member, Peers, process_of
from nutmegshore.store import StoredObject

__all__ = ('QUERY_INTERVAL_S', 'ClaimRegistry')

#: Seconds between two queries to the owner of a record.
QUERY_INTERVAL_S = 0.25
#: Latest claims whose outcome this process can report to peers. Older
#: claims have their records on the platform by then.
_MAX_REMEMBERED_CLAIMS = 10_000
#: State in the answer of a process that does not know the outcome.
_UNKNOWN = 'unknown'


class ClaimRegistry:
    """The claims of this process, and queries about the claims of others."""

    def __init__(self, peers: Peers) -> None:
        """Answer the queries of peers about this process's claims."""
        self._peers = peers
        self._claims: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        self._pending_answers: dict[str, asyncio.Future[OnceAnswer]] = {}
        peers.subscribe(OnceQuery, self._handle_query)
        peers.subscribe(OnceAnswer, self._handle_answer)

    def claim(self, stored: StoredObject, writer: RecordWriter) -> Claim:
        """Register the claim on a record that this process has written."""
        claim = Claim(stored, writer)
        self._claims[stored.key] = claim
        self._claims.move_to_end(stored.key)
        while len(self._claims) > _MAX_REMEMBERED_CLAIMS:
            self._claims.popitem(last=False)
        return claim

    async def query(self, key: str, record: OnceRecord) -> OnceAnswer:
        """Ask the owner once, and wait up to `QUERY_INTERVAL_S`.

        Raises `RequestError` with `OUTCOME_UNKNOWN` if the owning process is
        gone or does not know the outcome.
        """
        if record.owner == self._peers.local.name:
            return await self._local_answer(key)
        owner = self._peers.live().get(record.owner)
        if owner is None or not _is_same_process(owner, record):
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        future = self._pending_answers.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending_answers[key] = future
        self._peers.send(record.owner, OnceQuery(key))
        return await self._await_answer(key, future)

    async def _await_answer(
        self,
        key: str,
        future: asyncio.Future[OnceAnswer],
    ) -> OnceAnswer:
        await asyncio.wait((future,), timeout=QUERY_INTERVAL_S)
        if not future.done():
            return OnceAnswer(key, RecordState.STARTED.value)
        answer = future.result()
        if answer.state == _UNKNOWN:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        return answer

    async def _local_answer(self, key: str) -> OnceAnswer:
        claim = self._claims.get(key)
        if claim is not None and not claim.ended.is_set():
            await _wait_for_end(claim.ended)
        answer = _answer_of(key, claim)
        if answer.state == _UNKNOWN:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        return answer

    def _handle_query(self, sender: str, query: OnceQuery) -> None:
        claim = self._claims.get(query.key)
        self._peers.send(sender, _answer_of(query.key, claim))

    def _handle_answer(self, sender: str, answer: OnceAnswer) -> None:
        if answer.state == RecordState.STARTED.value:
            return
        future = self._pending_answers.pop(answer.key, None)
        if future is None or future.done():
            return
        future.set_result(answer)


def _is_same_process(owner: Member, record: OnceRecord) -> bool:
    """Whether the live member is the process that created the record."""
    return process_of(owner.incarnation) == process_of(record.incarnation)


def _answer_of(key: str, claim: Claim | None) -> OnceAnswer:
    # Without a claim, the owner was an earlier process of this name.
    if claim is None:
        return OnceAnswer(key, _UNKNOWN)
    if not claim.ended.is_set():
        return OnceAnswer(key, RecordState.STARTED.value)
    if claim.record is None:
        return OnceAnswer(key, _UNKNOWN)
    encoded = write_record(claim.record)
    return OnceAnswer(key, claim.record.state.value, encoded)


async def _wait_for_end(ended: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(ended.wait(), QUERY_INTERVAL_S)
    except TimeoutError:
        return
