"""The attempts of one request at different upstreams."""

import attrs

from nutmegshore.callers.retry import RetryPolicy
from nutmegshore.counters import Counters
from nutmegshore.errors import (
    ConnectionClosed,
    ErrorKind,
    Outcome,
    RequestError,
)
from nutmegshore.upstreams import AnswerHead, AnswerReceiver, UpstreamRequest

__all__ = ('Attempts', 'TrackedReceiver')

_MAX_ATTEMPTS = 3
#: Answers up to this size are recorded, to replay them for the same key.
_KEPT_BYTES = 16_384
#: Failures that prove that the upstream did not run the request.
_NOT_RUN = frozenset(
    (ErrorKind.UPSTREAM_UNREACHABLE, ErrorKind.UPSTREAM_REFUSED),
)


@attrs.define
class TrackedReceiver(AnswerReceiver):
    """Passes an answer on, records whether it began and keeps its body."""

    receiver: AnswerReceiver
    has_begun: bool = False
    kept: bytearray = attrs.field(factory=bytearray)
    is_kept_whole: bool = True

    async def begin(self, head: AnswerHead) -> None:
        """Pass the head on."""
        self.has_begun = True
        await self.receiver.begin(head)

    async def receive(self, chunk: bytes) -> None:
        """Pass a chunk on."""
        self._keep(chunk)
        await self.receiver.receive(chunk)

    @property
    def kept_body(self) -> bytes | None:
        """The whole body, or None if it was too large to keep."""
        return bytes(self.kept) if self.is_kept_whole else None

    def _keep(self, chunk: bytes) -> None:
        if len(self.kept) + len(chunk) > _KEPT_BYTES:
            self.is_kept_whole = False
            self.kept.clear()
        elif self.is_kept_whole:
            self.kept += chunk


class Attempts:
    """Decides after each failure whether another attempt is allowed.

    `may_have_run` is true once an attempt began whose outcome is not known to
    be "not run"; no later refusal may then be reported as "not run". `count`
    attempts have begun. The upstreams in `excluded` may not have the request
    again; one that closed a kept connection may, on a new one.
    """

    def __init__(
        self,
        outgoing: UpstreamRequest,
        receiver: AnswerReceiver,
        policy: RetryPolicy,
        counters: Counters,
    ) -> None:
        """Start without an attempt."""
        self.count = 0
        self.excluded: set[str] = set()
        self.failed_with: ErrorKind | None = None
        self.may_have_run = False
        self.tracked = TrackedReceiver(receiver)
        self._outgoing = outgoing
        self._upstream = ''
        self._policy = policy
        self._counters = counters
        self._unknown: RequestError | None = None

    def begin(self, upstream: str) -> UpstreamRequest:
        """Record an attempt; until its failure is known it may have run."""
        self.count += 1
        self.excluded.add(upstream)
        self._upstream = upstream
        self.may_have_run = True
        return self._outgoing

    def check_retry(self, failure: RequestError, now: float) -> None:
        """Return if another attempt is allowed, else raise the failure."""
        self.failed_with = failure.kind
        if failure.answer.outcome is not Outcome.NOT_RUN:
            self._unknown = failure
        self.may_have_run = self._unknown is not None
        if isinstance(failure, ConnectionClosed):
            self._allow_again()
        obstacle = self._obstacle(failure.kind, now)
        if obstacle:
            self._counters.add(
                'retries_refused',
                reason=failure.kind.value,
                obstacle=obstacle,
            )
            raise self.final_error(failure) from failure
        self._counters.add('retries', reason=failure.kind.value)

    def final_error(self, latest: RequestError) -> RequestError:
        """The error to report to the caller.

        An earlier attempt with an unknown outcome takes precedence over a later
        refusal, whose "not run" holds for that later attempt only.
        """
        return self._unknown or latest

    def _allow_again(self) -> None:
        self.excluded.discard(self._upstream)
        self._outgoing = attrs.evolve(self._outgoing, needs_new_connection=True)

    def _obstacle(self, kind: ErrorKind, now: float) -> str:
        """Why no further attempt is allowed; empty if one is."""
        outgoing = self._outgoing
        body = outgoing.body
        is_body_consumed = body and body.is_started and not body.can_replay
        is_safe = kind in _NOT_RUN or (
            kind is ErrorKind.UPSTREAM_LOST and outgoing.may_run_twice
        )
        obstacles = (
            ('answer_begun', self.tracked.has_begun),
            ('may_have_run', not is_safe),
            ('body_used', is_body_consumed),
            ('attempts', self.count >= _MAX_ATTEMPTS),
            ('deadline', now >= outgoing.deadline),
        )
        found = next((name for name, is_met in obstacles if is_met), '')
        if found or self._policy_allows(kind):
            return found
        return 'policy'

    def _policy_allows(self, kind: ErrorKind) -> bool:
        outgoing = self._outgoing
        return self._policy.may_retry(
            kind,
            outgoing.service,
            outgoing.deadline,
        )
