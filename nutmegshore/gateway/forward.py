"""Forwarding of one caller's request to the upstreams of its route."""

import contextlib

from nutmegshore.balancing import RoutingRequest
from nutmegshore.errors import (
    ErrorKind,
    Outcome,
    RefusedError,
    RequestError,
)
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import RequestRetried
from nutmegshore.gateway.request import IncomingRequest, RoutedRequest
from nutmegshore.gateway.retries import Retries
from nutmegshore.gateway.timeout_group import TimeoutGroup
from nutmegshore.listener import CallerBody, KeptBody

__all__ = ('GatewayForwarder',)

_DIGITS = 3
_MS_PER_S = 1000
#: Attempts end this many seconds before the caller's deadline, so that the
#: gateway's error reaches the caller in time; at most this fraction of the
#: time. Each attempt times out by itself, before the timeout around all of
#: them, so that the missing answer counts against its upstream.
_ANSWER_MARGIN_S = 0.05
_ANSWER_MARGIN_FRACTION = 0.1
#: Retry-After in seconds while the gateway has not yet loaded its state.
_NOT_READY_RETRY_S = 0.5
#: Bytes of a body that are read before the first attempt. A slow body thus
#: occupies no slot, and a refused request can be retried elsewhere.
_MAX_KEPT_BODY_BYTES = 1_048_576
#: Name of this part in reports of faults.
_PART = 'forward'


class GatewayForwarder:
    """Routes requests, sends them to upstreams and retries where allowed.

    routed = forwarder.route(incoming)
    await forwarder.run(routed, body, answer)
    """

    def __init__(self, context: GatewayContext) -> None:
        """Forward requests in the context of one gateway."""
        self.in_flight = 0
        self._refuses_new = False
        self._time_limits = TimeoutGroup()
        self._context = context
        self._retries = Retries(context)
        self._crashes = context.crashes

    def refuse_new(self) -> None:
        """Refuse the requests that have not reached any upstream yet.

        A stopping gateway would have to cut them at the end of its grace
        period; other gateways can still serve them.
        """
        self._refuses_new = True

    def end_requests(self) -> None:
        """Let the time of all requests end now, so that they get an answer."""
        self._time_limits.expire_all()

    def route(self, incoming: IncomingRequest) -> RoutedRequest:
        """Find the route of a request; raise `RequestError` without one."""
        missing = self._context.state.missing
        if missing:
            raise RefusedError(
                ErrorKind.NOT_READY,
                f'not known yet: {missing}',
                _NOT_READY_RETRY_S,
            )
        configuration = self._context.state.configuration
        head = incoming.head
        host = head.get('host')
        route = configuration.match(host, head.target)
        if route is None:
            raise RequestError(ErrorKind.NO_ROUTE, f'{host}{head.target}')
        time_limit_s = route.timeout_s
        if incoming.fields.remaining_ms is not None:
            time_limit_s = min(
                time_limit_s, incoming.fields.remaining_ms / _MS_PER_S
            )
        service = self._context.splits.pick(route)
        return RoutedRequest(
            incoming,
            configuration,
            route,
            service,
            incoming.arrived_at + time_limit_s - _answer_margin_s(time_limit_s),
        )

    async def run(
        self,
        routed: RoutedRequest,
        body: CallerBody,
        answer: BufferedAnswer,
    ) -> None:
        """Send the request until it is answered, or raise `RequestError`.

        The caller of this method has to finish the answer.
        """
        self._context.budget.record_request(routed.service)
        limit_s = self._remaining_s(routed) + _ANSWER_MARGIN_S / 2
        with contextlib.ExitStack() as stack:
            self.in_flight += 1
            stack.callback(self._end_request)
            try:
                async with self._time_limits.limit(limit_s):
                    await self._read_body(routed, body)
                    await self._run_attempts(routed, answer)
            except TimeoutError as failure:
                raise self._deadline_error(routed) from failure

    async def _read_body(
        self,
        routed: RoutedRequest,
        body: CallerBody,
    ) -> None:
        if body.is_whole:
            return
        kept_body = KeptBody(body, _MAX_KEPT_BODY_BYTES)
        await kept_body.read_start()
        routed.body = kept_body

    async def _run_attempts(
        self,
        routed: RoutedRequest,
        answer: BufferedAnswer,
    ) -> None:
        while True:
            await self._crashes.wait_for_check(routed)
            attempt = self._next_attempt(routed)
            is_last = not self._retries.can_retry(routed)
            try:
                await attempt.run(answer, is_last=is_last)
            except RequestError as failure:
                self._record_failure(routed, failure, answer)
            else:
                with self._context.log.faults.contain(_PART):
                    self._crashes.record_answer(routed)
                return

    def _next_attempt(self, routed: RoutedRequest) -> Attempt:
        if self._refuses_new and not routed.tried:
            raise RequestError(ErrorKind.STOPPING, routed.service)
        routing_request = RoutingRequest(
            routed.route,
            routed.service,
            routed.incoming.fields.affinity_key,
            self._remaining_s(routed),
            frozenset(routed.tried),
            self._crashes.assigned(routed),
        )
        try:
            self._crashes.check(routed)
            choice = self._context.balancer.choose(routing_request)
        except RefusedError as refusal:
            routed.limited = refusal.limited
            routed.paused = refusal.paused
            if routed.tried:
                routed.no_retry = refusal.kind.value
            raise self._final_error(routed, refusal) from refusal
        view = self._context.state.upstreams_view
        routed.upstreams_age_s = round(view.age_s, _DIGITS)
        routed.upstreams_from = view.source
        routed.limited = choice.limited
        routed.paused = choice.paused
        routed.tried.add(choice.upstream.instance)
        routed.last_region = choice.upstream.region
        routed.runs += 1
        return Attempt(self._context, routed, choice, routing_request)

    def _record_failure(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        answer: BufferedAnswer,
    ) -> None:
        """Return if the request may be retried, else raise the final error."""
        if failure.answer.outcome is Outcome.NOT_RUN:
            routed.runs -= 1
        with self._context.log.faults.contain(_PART):
            self._record_upstream_failure(routed, failure)
        obstacle = self._retries.obstacle(
            routed,
            failure,
            has_begun=answer.has_begun,
            remaining_s=self._remaining_s(routed),
        )
        reason = failure.kind.value
        if obstacle:
            routed.no_retry = obstacle
            self._context.counters.add(
                'retries_refused',
                reason=reason,
                obstacle=obstacle,
            )
            raise self._final_error(routed, failure)
        self._context.counters.add('retries', reason=reason)
        self._retries.spend(routed, failure)
        with self._context.log.faults.contain(_PART):
            self._log_retry(routed, reason)

    def _log_retry(self, routed: RoutedRequest, reason: str) -> None:
        self._context.log.write(
            RequestRetried(
                routed.request_id,
                routed.route.name,
                routed.attempts[-1].upstream,
                reason,
                self._retries.remaining(routed),
            ),
        )

    def _record_upstream_failure(
        self,
        routed: RoutedRequest,
        failure: RequestError,
    ) -> None:
        """Record a failure against the upstream of the last attempt."""
        upstream = self._context.state.by_id.get(routed.attempts[-1].upstream)
        if upstream is None:
            return
        if failure.kind is ErrorKind.UPSTREAM_MOVED:
            self._context.state.mark_moved(upstream)
        elif failure.kind is ErrorKind.UPSTREAM_LOST:
            self._crashes.record_loss(routed, upstream)

    def _final_error(
        self,
        routed: RoutedRequest,
        latest: RequestError,
    ) -> RequestError:
        """The error for the caller; an unknown outcome outweighs "not run"."""
        if routed.may_have_run and latest.answer.outcome is Outcome.NOT_RUN:
            return RequestError(ErrorKind.UPSTREAM_LOST, str(latest))
        return latest

    def _deadline_error(self, routed: RoutedRequest) -> RequestError:
        """The error for a request whose deadline has passed."""
        kind = ErrorKind.DEADLINE_BEFORE_SEND
        if routed.may_have_run or routed.runs:
            kind = ErrorKind.DEADLINE_AFTER_SEND
        return RequestError(kind, routed.route.name)

    def _remaining_s(self, routed: RoutedRequest) -> float:
        return max(routed.deadline - self._context.clock.now(), 0)

    def _end_request(self) -> None:
        self.in_flight -= 1


def _answer_margin_s(time_limit_s: float) -> float:
    """Seconds of a caller's time that are reserved to deliver an error."""
    return min(_ANSWER_MARGIN_S, _ANSWER_MARGIN_FRACTION * time_limit_s)
