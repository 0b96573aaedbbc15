"""Answering and logging of one caller's request."""

import asyncio
import functools
import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import attrs
from tornado.iostream import StreamClosedError

from nutmegshore.errors import (
    ErrorKind,
    NutmegshoreError,
    Outcome,
    RefusedError,
)
from nutmegshore.faults import CURRENT_REQUEST
from nutmegshore.gateway.answer import NOT_RUN_STATUSES, BufferedAnswer
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import (
    AnswerCut,
    RequestAbandoned,
    RequestFailed,
    RequestRefused,
    RequestServed,
)
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.request import IncomingRequest, RoutedRequest
from nutmegshore.listener import (
    AnswerWriter,
    ListenerContext,
    Responder,
)
from nutmegshore.platform.dialect import RETRY_AFTER, read_caller_fields

__all__ = ('GatewayResponder', 'status_of')

#: Retry-After in seconds where the error does not set one.
_DEFAULT_RETRY_AFTER_S = 0.2
_SERVER_ERROR = 500
#: Statuses of refusals that say when to come back.
_RETRYABLE_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_MS_PER_S = 1000


def status_of(error: NutmegshoreError) -> int:
    """HTTP status for an error.

    408, 421, 429 and 503 promise that a request has not run and never will.
    Server errors with that outcome, and refusals with a Retry-After for another
    reason than a quota, are answered with 503, and errors with another outcome
    with none of the four.
    """
    status = error.answer.status
    if isinstance(error, RefusedError):
        is_quota = status == HTTPStatus.TOO_MANY_REQUESTS
        return status if is_quota else HTTPStatus.SERVICE_UNAVAILABLE
    if error.answer.outcome is not Outcome.NOT_RUN:
        is_promise = status in NOT_RUN_STATUSES
        return HTTPStatus.BAD_GATEWAY if is_promise else status
    if status < _SERVER_ERROR:
        return status
    return HTTPStatus.SERVICE_UNAVAILABLE


class GatewayResponder(Responder):
    """Answers one request through the forwarder, and logs the outcome."""

    def __init__(
        self,
        writer: AnswerWriter,
        context: GatewayContext,
        forwarder: GatewayForwarder,
        listener: ListenerContext,
    ) -> None:
        """Answer one request of a connection of the listener."""
        super().__init__(writer)
        self._context = context
        self._forwarder = forwarder
        self._listener = listener
        self._held = listener.budget.hold()
        self._arrived_at = context.clock.now()
        self._routed: RoutedRequest | None = None

    @property
    def request_id(self) -> str:
        """The caller's id of the request, empty before its head is read."""
        head = self.writer.request
        return read_caller_fields(head).request_id if head else ''

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have received the request."""
        return self._routed is not None and self._routed.may_have_run

    @property
    def may_run_ahead(self) -> bool:
        """Whether the route of the request lets it run more than once."""
        configuration = self._context.state.configuration
        if configuration is None:
            return False
        head = self.writer.request
        route = configuration.match(head.get('host'), head.target)
        return route is not None and route.is_safe

    async def run(self) -> None:
        """Answer the request whose head and body are set."""
        CURRENT_REQUEST.set(self.request_id)
        with self._held:
            try:
                answer = await self._forward()
            except asyncio.CancelledError:
                self._record(self._log_abandoned)
                raise
            except NutmegshoreError as error:
                if self.writer.has_begun:
                    self._record(self._log_failure, error, 0)
                    raise
                self.writer.keeps_alive &= self.body.is_whole
                if error.kind is ErrorKind.KEYS_OUTDATED:
                    # Another gateway may serve the caller's next requests.
                    self.writer.keeps_alive = False
                await self.refuse(error)
            else:
                await self._finish(answer)

    async def refuse(self, error: NutmegshoreError) -> None:
        """Answer with the status of an error and log the failure."""
        status = status_of(error)
        headers = [('Content-Type', 'text/plain')]
        if status in _RETRYABLE_STATUSES:
            wait_s = _round_up(_retry_after_s(error))
            headers.append((RETRY_AFTER, str(wait_s)))
        self._record(self._log_failure, error, status)
        kind = error.kind.value
        text = f'{kind}: {error}\n'.encode()
        write = self.writer.write_own
        await self._write_in_turn(
            functools.partial(write, status, tuple(headers), text), status
        )

    def _record(self, record: Callable[..., None], *details: Any) -> None:
        """Log the end of the request, without risk for its answer."""
        with self._context.log.faults.contain('responder'):
            record(*details)

    async def _write_in_turn(
        self, write: Callable[[], Awaitable[None]], status: int
    ) -> None:
        """Write an answer once those ahead of it are written."""
        try:
            await self.writer.wait_turn()
            async with asyncio.timeout(self._listener.limits.write_s):
                await write()
        except TimeoutError as failure:
            self._context.counters.add('answers_not_taken')
            self._record(self._log_cut, status, 'not_taken')
            self.writer.abort()
            raise StreamClosedError from failure
        except (StreamClosedError, asyncio.CancelledError):
            self._record(self._log_cut, status, self.writer.end_reason)
            raise

    async def _forward(self) -> BufferedAnswer:
        head = self.writer.request
        incoming = IncomingRequest(
            head, read_caller_fields(head), self._arrived_at
        )
        self._routed = self._forwarder.route(incoming)
        self._routed.held = self._held
        answer = BufferedAnswer(
            self.writer,
            self._context.dialect,
            self._routed.request_id,
            is_safe=self._routed.route.is_safe,
            held=self._held,
        )
        await self._forwarder.run(self._routed, self.body, answer)
        return answer

    async def _finish(self, answer: BufferedAnswer) -> None:
        status = answer.head.status
        await self._write_in_turn(answer.finish, status)
        self._record(self._log_served, status)

    def _log_served(self, status: int) -> None:
        routed = self._routed
        self._record_latency('served')
        self._context.log.write(
            RequestServed(
                status=status,
                attempts=routed.describe_attempts(),
                limited=routed.limited,
                paused=routed.paused,
                **self._common_fields(),
            ),
        )

    def _log_failure(self, error: NutmegshoreError, status: int) -> None:
        is_refusal = error.answer.outcome is Outcome.NOT_RUN
        name = 'requests_refused' if is_refusal else 'requests_failed'
        self._context.counters.add(name, reason=error.kind.value)
        self._record_latency('refused' if is_refusal else 'failed')
        fields = {
            **self._common_fields(),
            'status': int(status),
            'reason': error.kind.value,
            'detail': str(error),
            'no_retry': self._routed.no_retry if self._routed else '',
            'attempts': _describe_attempts(self._routed),
        }
        if not is_refusal:
            self._context.log.write(RequestFailed(**fields))
            return
        refusal = error if isinstance(error, RefusedError) else _DEFAULT_REFUSAL
        if refusal.contended.cause:
            self._context.counters.add(
                'requests_contended',
                cause=refusal.contended.cause,
                route=fields['route'],
            )
        self._context.log.write(
            RequestRefused(
                **fields,
                **attrs.asdict(refusal.best),
                **attrs.asdict(refusal.remote),
                **attrs.asdict(refusal.contended),
                candidates=refusal.candidates,
                limited=refusal.limited,
                paused=refusal.paused,
                retry_after_s=_round_up(_retry_after_s(error)),
            ),
        )

    def _log_abandoned(self) -> None:
        reason = self.writer.end_reason
        self._context.counters.add('requests_abandoned', reason=reason)
        self._record_latency('abandoned')
        self._context.log.write(
            RequestAbandoned(
                reason=reason,
                attempts=_describe_attempts(self._routed),
                **self._common_fields(),
            ),
        )

    def _log_cut(self, status: int, reason: str) -> None:
        self._context.counters.add('answers_cut', reason=reason)
        self._context.log.write(
            AnswerCut(
                status=int(status),
                reason=reason,
                attempts=_describe_attempts(self._routed),
                **self._common_fields(),
            ),
        )

    def _record_latency(self, outcome: str) -> None:
        """Record how long the caller waited, unless the request has no route.

        The region is that of the last upstream, or empty without an attempt.
        """
        if self._routed is None:
            return
        self._context.counters.record_s(
            'request_seconds',
            self._context.clock.now() - self._arrived_at,
            service=self._routed.service,
            region=self._routed.last_region,
            outcome=outcome,
        )

    def _common_fields(self) -> dict[str, object]:
        """Event fields that describe the request and the configuration."""
        now = self._context.clock.now()
        routed = self._routed
        state = self._context.state
        adopted = state.configuration
        age_s = now - state.configured_at if adopted else 0
        return {
            'request': self.request_id,
            'route': routed.route.name if routed else '',
            'service': routed.service if routed else '',
            'key': routed.incoming.fields.affinity_key if routed else '',
            'customer': routed.customer_name if routed else '',
            'configuration': adopted.version if adopted else 0,
            'configuration_age_s': round(age_s, 3),
            'upstreams_age_s': routed.upstreams_age_s if routed else -1,
            'upstreams_from': routed.upstreams_from if routed else '',
            'took_s': round(now - self._arrived_at, 4),
        }


_DEFAULT_REFUSAL = RefusedError(ErrorKind.NOT_READY, '', _DEFAULT_RETRY_AFTER_S)


def _describe_attempts(routed: RoutedRequest | None) -> list[list]:
    return routed.describe_attempts() if routed else []


def _retry_after_s(error: NutmegshoreError) -> float:
    if isinstance(error, RefusedError):
        return error.retry_after_s
    return _DEFAULT_RETRY_AFTER_S


def _round_up(seconds: float) -> float:
    """Round to milliseconds, so that a caller never comes back too early."""
    return math.ceil(seconds * _MS_PER_S) / _MS_PER_S
