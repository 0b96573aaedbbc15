"""Owners of at-most-once records and what they tell each other."""

import asyncio
import collections

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.once.claim import Claim, RecordWriter
from nutmegshore.once.messages import OnceAnswer, OnceQuery
from nutmegshore.once.record import OnceRecord, RecordState, write_record
from nutmegshore.peers import Member, Peers, process_of
from nutmegshore.store import StoredObject

__all__ = ('ASK_AGAIN_S', 'Owners')

#: Seconds after which a question to an owner is repeated.
ASK_AGAIN_S = 0.25
#: Claims whose end is remembered for peers; the records of older ones have
#: been written by then.
_CLAIMS_KEPT = 10_000
#: State in an answer of a process that does not know the key.
_UNKNOWN = 'unknown'


class Owners:
    """The claims of this process, and questions about those of others."""

    def __init__(self, peers: Peers) -> None:
        """Answer the questions of peers about own claims."""
        self._peers = peers
        self._claims: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        self._answers: dict[str, asyncio.Future[OnceAnswer]] = {}
        peers.subscribe(OnceQuery, self._answer_query)
        peers.subscribe(OnceAnswer, self._take_answer)

    def claim(self, stored: StoredObject, writer: RecordWriter) -> Claim:
        """Take the ownership of a record that this process has written."""
        claim = Claim(stored, writer)
        self._claims[stored.key] = claim
        self._claims.move_to_end(stored.key)
        while len(self._claims) > _CLAIMS_KEPT:
            self._claims.popitem(last=False)
        return claim

    async def ask(self, key: str, record: OnceRecord) -> OnceAnswer:
        """Ask the owner once; raises `OUTCOME_UNKNOWN` if it is gone."""
        if record.owner == self._peers.local.name:
            return await self._own_answer(key)
        owner = self._peers.live().get(record.owner)
        if owner is None or not _is_same_process(owner, record):
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        future = self._answers.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._answers[key] = future
        self._peers.send(record.owner, OnceQuery(key))
        return await self._next_answer(key, future)

    async def _next_answer(
        self,
        key: str,
        future: asyncio.Future[OnceAnswer],
    ) -> OnceAnswer:
        await asyncio.wait((future,), timeout=ASK_AGAIN_S)
        if not future.done():
            return OnceAnswer(key, RecordState.STARTED.value)
        answer = future.result()
        if answer.state == _UNKNOWN:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        return answer

    async def _own_answer(self, key: str) -> OnceAnswer:
        claim = self._claims.get(key)
        if claim is not None and not claim.ended.is_set():
            await _wait_briefly(claim.ended)
        answer = _answer_of(key, claim)
        if answer.state == _UNKNOWN:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, key)
        return answer

    def _answer_query(self, sender: str, query: OnceQuery) -> None:
        claim = self._claims.get(query.key)
        self._peers.send(sender, _answer_of(query.key, claim))

    def _take_answer(self, sender: str, answer: OnceAnswer) -> None:
        if answer.state == RecordState.STARTED.value:
            return
        future = self._answers.pop(answer.key, None)
        if future is None or future.done():
            return
        future.set_result(answer)


def _is_same_process(owner: Member, record: OnceRecord) -> bool:
    """Whether the member is still the process that owns the record."""
    return process_of(owner.incarnation) == process_of(record.incarnation)


def _answer_of(key: str, claim: Claim | None) -> OnceAnswer:
    # Without a claim, an earlier process of this name owned the record.
    if claim is None:
        return OnceAnswer(key, _UNKNOWN)
    if not claim.ended.is_set():
        return OnceAnswer(key, RecordState.STARTED.value)
    if claim.record is None:
        return OnceAnswer(key, _UNKNOWN)
    encoded = write_record(claim.record)
    return OnceAnswer(key, claim.record.state.value, encoded)


async def _wait_briefly(ended: asyncio.Event) -> None:
    try:
        await asyncio.wait_for(ended.wait(), ASK_AGAIN_S)
    except TimeoutError:
        return
