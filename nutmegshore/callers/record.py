"""Records that run a request with an idempotency key at most once."""

import abc

import attrs

from nutmegshore.callers.request import CallerRequest
from nutmegshore.upstreams import AnswerHead

__all__ = (
    'NoIdempotencyRecords',
    'IdempotencyClaim',
    'IdempotencyRecords',
    'ReplayableAnswer',
)


@attrs.frozen
class ReplayableAnswer:
    """The answer of an earlier run of the same request."""

    head: AnswerHead
    body: bytes = b''


class IdempotencyClaim:
    """The right to run one request; exactly one method is called, once.

    The methods of this base class do nothing.
    """

    async def finish(self, head: AnswerHead, body: bytes | None) -> None:
        """Record the answer; `body` is None if it was too large to keep."""

    async def release(self) -> None:
        """Record that the request certainly did not run."""

    async def lose(self) -> None:
        """Leave the record as started, because the request may have run."""


class IdempotencyRecords(abc.ABC):
    """Grants at most one claim per key."""

    @abc.abstractmethod
    async def begin(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> IdempotencyClaim | ReplayableAnswer:
        """Claim the request, or return the answer of its earlier run.

        Raises `RequestError`, for instance with `DUPLICATE_IN_FLIGHT`,
        `KEY_REUSED` or `RECORD_UNAVAILABLE`.
        """


class NoIdempotencyRecords(IdempotencyRecords):
    """Claims every request and records nothing."""

    async def begin(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> IdempotencyClaim | ReplayableAnswer:
        """Claim the request."""
        return IdempotencyClaim()
