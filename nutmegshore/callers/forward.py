"""Forwarding of one caller's request to an upstream."""

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Service
from nutmegshore.steering import Permit, RouteRequest, Steering
from nutmegshore.upstreams import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ('CallerRequest', 'Forwarder')

#: Failures after which the request has certainly not run.
_NOT_RUN = frozenset(
    (
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.UPSTREAM_REFUSED,
    )
)
_MAX_ATTEMPTS = 3


@attrs.frozen
class CallerRequest:
    """A checked request of a caller.

    `deadline` is a reading of the clock, or None for the service's default.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: BodySource | None = None
    deadline: float | None = None
    idempotency_key: str = ''


class Forwarder:
    """Sends callers' requests through steering to upstreams."""

    def __init__(
        self,
        steering: Steering,
        upstreams: UpstreamClient,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Join the parts that a request passes."""
        self._steering = steering
        self._upstreams = upstreams
        self._clock = clock
        self._counters = counters

    async def forward(
        self,
        request: CallerRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Run the request, or raise `RequestError` with its outcome."""
        service = self._steering.plan.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, request.service)
        outgoing = self._outgoing(request, service)
        excluded: frozenset[str] = frozenset()
        while True:
            permit = await self._steering.acquire(
                RouteRequest(request.service, outgoing.deadline, excluded),
            )
            try:
                return await self._send(permit, outgoing, receiver)
            except RequestError as failure:
                excluded = excluded | {permit.name}
                self._check_retry(failure, outgoing, excluded)

    async def _send(
        self,
        permit: Permit,
        outgoing: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        try:
            head = await self._upstreams.send(
                permit.name,
                permit.upstream,
                outgoing,
                receiver,
            )
        except RequestError as failure:
            permit.release(failure.kind)
            raise
        except BaseException:
            permit.release(ErrorKind.UPSTREAM_LOST)
            raise
        permit.release()
        return head

    def _check_retry(
        self,
        failure: RequestError,
        outgoing: UpstreamRequest,
        tried: frozenset[str],
    ) -> None:
        is_repeatable = failure.kind in _NOT_RUN or outgoing.may_run_twice
        is_started = outgoing.body is not None and outgoing.body.is_started
        is_last = len(tried) >= _MAX_ATTEMPTS
        if is_started or is_last or not is_repeatable:
            raise failure
        self._counters.add('retries', reason=failure.kind.value)

    def _outgoing(
        self,
        request: CallerRequest,
        service: Service,
    ) -> UpstreamRequest:
        deadline = request.deadline
        if deadline is None:
            deadline = self._clock.now() + service.deadline_ms / 1000
        return UpstreamRequest(
            request_id=request.request_id,
            service=request.service,
            method=request.method,
            target=request.target,
            headers=request.headers,
            deadline=deadline,
            may_run_twice=service.idempotent,
            body=request.body,
        )
