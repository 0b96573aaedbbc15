"""Adapter from the forwarder's idempotency records to the platform's."""

import hashlib

import attrs

from nutmegshore.callers import (
    CallerRequest,
    IdempotencyClaim,
    IdempotencyRecords,
    ReplayableAnswer,
)
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.once import Claim, KeyedRequest
from nutmegshore.once import OnceRecords as PlatformRecords
from nutmegshore.once import RecordedAnswer as StoredAnswer
from nutmegshore.upstreams import AnswerHead

__all__ = ('KeyedRecords',)

_AUTHORIZATION = 'authorization'
_DIGEST_BYTES = 16


class KeyedRecords(IdempotencyRecords):
    """Claims requests with an idempotency key on the platform."""

    def __init__(self, records: PlatformRecords) -> None:
        """Use the at-most-once records of this entry."""
        self._records = records

    async def begin(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> IdempotencyClaim | ReplayableAnswer:
        """Claim the request or return the answer of its earlier run."""
        claim_or_answer = await self._records.begin(
            KeyedRequest(
                service=request.service,
                caller=_caller_digest(request),
                idempotency_key=request.idempotency_key,
                request_digest=_request_digest(request),
                deadline=deadline,
            ),
        )
        if isinstance(claim_or_answer, Claim):
            return _KeyedClaim(claim_or_answer)
        if claim_or_answer.body is None:
            raise RequestError(ErrorKind.ANSWER_NOT_KEPT, request.service)
        head = AnswerHead(claim_or_answer.status, claim_or_answer.headers)
        return ReplayableAnswer(head, claim_or_answer.body)


@attrs.frozen
class _KeyedClaim(IdempotencyClaim):
    claim: Claim

    async def finish(self, head: AnswerHead, body: bytes | None) -> None:
        """Record the answer; `body` is None if it was too large to store."""
        self.claim.finish(StoredAnswer(head.status, head.headers, body))

    async def release(self) -> None:
        """Record that the request certainly did not run."""
        self.claim.release()

    async def lose(self) -> None:
        """Leave the record as started, since the outcome is unknown."""
        self.claim.abandon()


def _caller_digest(request: CallerRequest) -> str:
    credentials = [
        value
        for name, value in request.headers
        if name.lower() == _AUTHORIZATION
    ]
    return _digest(*(value.encode() for value in credentials))


def _request_digest(request: CallerRequest) -> str:
    length = -1
    if request.body is not None and request.body.length is not None:
        length = request.body.length
    return _digest(
        request.method.encode(),
        request.target.encode(),
        str(length).encode(),
        request.body_start,
    )


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
