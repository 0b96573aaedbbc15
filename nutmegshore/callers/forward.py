"""Forwarding of callers' requests to upstreams."""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable

import attrs

from nutmegshore.callers.attempts import Attempts
from nutmegshore.callers.gate import OpenGate, RequestGate
from nutmegshore.callers.record import (
    IdempotencyClaim,
    IdempotencyRecords,
    NoIdempotencyRecords,
    ReplayableAnswer,
)
from nutmegshore.callers.request import CallerRequest
from nutmegshore.callers.retry import RetryFreely, RetryPolicy
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ConnectionClosed, ErrorKind, RequestError
from nutmegshore.faults import Faults
from nutmegshore.listener.body import KEPT_BYTES, KeptBody
from nutmegshore.resources import Service
from nutmegshore.steering import Permit, RouteRequest, Steering
from nutmegshore.upstreams import (
    AnswerHead,
    AnswerReceiver,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ('ForwardHooks', 'CallerForwarder')

_MS_PER_S = 1000
#: Name of this part in reports of faults.
_PART = 'forward'
#: What is recorded of an attempt that says nothing of its upstream.
_NO_FAILURE_OF_UPSTREAM = ErrorKind.CALLER_STALLED


def _always_ready() -> None:
    """Accept every request."""


@attrs.frozen
class ForwardHooks:
    """The checks and records that each request passes besides steering.

    `check_ready` raises `RequestError` while no request may be forwarded.
    """

    gate: RequestGate = attrs.field(factory=OpenGate)
    records: IdempotencyRecords = attrs.field(factory=NoIdempotencyRecords)
    retries: RetryPolicy = attrs.field(factory=RetryFreely)
    check_ready: Callable[[], None] = _always_ready


class CallerForwarder:
    """Sends callers' requests through steering to upstreams.

    A request passes the gate, then the at-most-once record if it has a key and
    its service is not idempotent. Then each attempt goes to another upstream
    until one answers or a failure rules out a retry.
    """

    def __init__(
        self,
        steering: Steering,
        upstreams: UpstreamClient,
        clock: Clock,
        counters: Counters,
        hooks: ForwardHooks | None = None,
    ) -> None:
        """Create a forwarder; without hooks every request passes."""
        self.in_flight = 0
        self._steering = steering
        self._upstreams = upstreams
        self._clock = clock
        self._counters = counters
        self._faults = Faults(counters)
        self._hooks = hooks or ForwardHooks()
        self._drained = asyncio.Event()

    async def forward(
        self,
        request: CallerRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Run the request, or raise `RequestError` with its outcome."""
        with contextlib.ExitStack() as stack:
            self.in_flight += 1
            stack.callback(self._finish_one)
            service, ready = await self._check(request, stack)
            if ready.idempotency_key and not service.idempotent:
                return await self._run_recorded(ready, service, receiver)
            attempts = self._attempts(ready, service, receiver)
            return await self._run(ready, attempts)

    async def drain(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._drained.clear()
            await self._drained.wait()

    def _finish_one(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._drained.set()

    async def _check(
        self,
        request: CallerRequest,
        ends: contextlib.ExitStack,
    ) -> tuple[Service, CallerRequest]:
        """Check a request before its at-most-once record is read.

        An earlier request with the same key may have run, so a keyed request
        that is refused here has an unknown outcome.
        """
        try:
            self._hooks.check_ready()
            service = self._service(request)
            ready = await self._prepare(request, service, ends)
            self._hooks.gate.check(ready)
        except RequestError as refusal:
            refusal.is_outcome_unknown = bool(request.idempotency_key)
            raise
        return service, ready

    def _service(self, request: CallerRequest) -> Service:
        service = self._steering.plan.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, request.service)
        return service

    async def _prepare(
        self,
        request: CallerRequest,
        service: Service,
        ends: contextlib.ExitStack,
    ) -> CallerRequest:
        """Set the deadline and read the start of the body before it.

        What is kept of the body is dropped as `ends` closes.
        """
        deadline = request.deadline
        if deadline is None:
            deadline = self._clock.now() + service.deadline_ms / _MS_PER_S
        ready = attrs.evolve(request, deadline=deadline)
        self._check_deadline(ready)
        if request.body is None:
            return ready
        body = KeptBody(request.body, held=request.held)
        ends.callback(body.close)
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                await body.read_start()
        except TimeoutError as failure:
            raise RequestError(ErrorKind.SLOW_SENDER, 'body') from failure
        start = body.first(KEPT_BYTES)
        request.held.add(len(start))
        return attrs.evolve(ready, body=body, body_start=start)

    def _check_deadline(self, request: CallerRequest) -> None:
        if self._clock.now() >= request.deadline:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_SEND, request.service)

    def _attempts(
        self,
        request: CallerRequest,
        service: Service,
        receiver: AnswerReceiver,
    ) -> Attempts:
        return Attempts(
            outgoing=_outgoing(request, service),
            receiver=receiver,
            policy=self._hooks.retries,
            counters=self._counters,
        )

    async def _run_recorded(
        self,
        request: CallerRequest,
        service: Service,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        found = await self._hooks.records.begin(request, request.deadline)
        if isinstance(found, ReplayableAnswer):
            self._counters.add('answers_from_record', service=request.service)
            await receiver.begin(found.head)
            await receiver.receive(found.body)
            return found.head
        attempts = self._attempts(request, service, receiver)
        try:
            head = await self._run(request, attempts)
        except BaseException:
            await self._end_claim(found, _settle_claim(found, attempts))
            raise
        kept_body = attempts.tracked.kept_body
        await self._end_claim(found, found.finish(head, kept_body))
        return head

    async def _end_claim(
        self, claim: IdempotencyClaim, end: Awaitable[None]
    ) -> None:
        """End a claim; after a fault, its record stays as started."""
        with self._faults.contain(_PART):
            await end
            return
        with self._faults.contain(_PART):
            await claim.lose()

    async def _run(
        self,
        request: CallerRequest,
        attempts: Attempts,
    ) -> AnswerHead:
        while True:
            permit = await self._acquire(request, attempts)
            try:
                return await self._send(request, permit, attempts)
            except RequestError as failure:
                attempts.check_retry(failure, self._clock.now())

    async def _acquire(
        self,
        request: CallerRequest,
        attempts: Attempts,
    ) -> Permit:
        routing = RouteRequest(
            request.service,
            request.deadline,
            frozenset(attempts.excluded),
            functools.partial(self._hooks.gate.allows, request),
            attempts.failed_with,
            _body_bytes(request),
            attempts.count,
        )
        try:
            self._check_deadline(request)
            return await self._steering.acquire(routing)
        except RequestError as refusal:
            raise attempts.final_error(refusal) from refusal

    async def _send(
        self,
        request: CallerRequest,
        permit: Permit,
        attempts: Attempts,
    ) -> AnswerHead:
        self._hooks.gate.started(request, permit.name)
        try:
            head = await self._upstreams.send(
                permit.name,
                permit.upstream,
                attempts.begin(permit.name),
                attempts.tracked,
            )
        except RequestError as failure:
            self._finish_attempt(request, permit, _upstream_failure(failure))
            raise
        except BaseException:
            # The caller disconnected or this process failed.
            self._finish_attempt(request, permit, _NO_FAILURE_OF_UPSTREAM)
            raise
        self._finish_attempt(request, permit, None)
        return head

    def _finish_attempt(
        self,
        request: CallerRequest,
        permit: Permit,
        failure: ErrorKind | None,
    ) -> None:
        with self._faults.contain(_PART):
            self._hooks.gate.finished(request, permit.name, failure)
        with self._faults.contain(_PART):
            permit.release(failure)


async def _settle_claim(claim: IdempotencyClaim, attempts: Attempts) -> None:
    if attempts.may_have_run:
        await claim.lose()
    else:
        await claim.release()


def _upstream_failure(failure: RequestError) -> ErrorKind:
    """What a failed attempt says of its upstream and its request."""
    if isinstance(failure, ConnectionClosed):
        return _NO_FAILURE_OF_UPSTREAM
    return failure.kind


def _body_bytes(request: CallerRequest) -> int:
    """Length of the body in bytes if it is known, else 0."""
    length = request.body.length if request.body else None
    return length or 0


def _outgoing(request: CallerRequest, service: Service) -> UpstreamRequest:
    return UpstreamRequest(
        request_id=request.request_id,
        service=request.service,
        method=request.method,
        target=request.target,
        headers=request.headers,
        deadline=request.deadline,
        may_run_twice=service.idempotent,
        body=request.body,
    )
