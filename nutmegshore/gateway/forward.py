"""Forwarding of one caller's request to the upstreams of its route."""

import asyncio
import contextlib

from nutmegshore.balancing import RoutingRequest
from nutmegshore.errors import (
    ErrorKind,
    Outcome,
    RefusedError,
    RequestError,
)
from nutmegshore.gateway.answer import HeldAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import RequestRetried
from nutmegshore.gateway.request import Incoming, RoutedRequest
from nutmegshore.gateway.retries import Retries
from nutmegshore.listener import CallerBody, KeptBody

__all__ = ('GatewayForwarder',)

_MS_PER_S = 1000
#: Seconds before the caller's deadline at which attempts end, so that our own
#: answer reaches the caller while it still listens; at most the given part of
#: its time. Attempts end by themselves, so that the silence counts against
#: their upstream.
_ANSWER_S = 0.05
_ANSWER_PART = 0.1
#: Seconds after which a caller is asked back while nothing is known yet.
_NOT_READY_RETRY_S = 0.5
#: Bytes of a body that are read before it is sent anywhere. Meanwhile it holds
#: no slot, and a refused request can go elsewhere.
_KEPT_BYTES = 1_048_576


class GatewayForwarder:
    """Routes requests, sends them to upstreams, and retries what may be.

    routed = forwarder.route(incoming)
    await forwarder.run(routed, body, answer)
    """

    def __init__(self, context: GatewayContext) -> None:
        """Join the parts that a request passes."""
        self.in_flight = 0
        self._context = context
        self._retries = Retries(context)
        self._crashes = context.crashes

    def route(self, incoming: Incoming) -> RoutedRequest:
        """Find the route of a request, or raise why there is none."""
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
        wait_s = route.timeout_s
        if incoming.fields.remaining_ms is not None:
            wait_s = min(wait_s, incoming.fields.remaining_ms / _MS_PER_S)
        service = self._context.splits.pick(route)
        return RoutedRequest(
            incoming,
            configuration,
            route,
            service,
            incoming.arrived_at + wait_s - _answer_s(wait_s),
        )

    async def run(
        self,
        routed: RoutedRequest,
        body: CallerBody,
        answer: HeldAnswer,
    ) -> None:
        """Have the request answered; raises `RequestError` if it is not.

        What the answer holds by then is left to the caller of this method.
        """
        self._context.budget.record_request(routed.service)
        limit_s = self._remaining_s(routed) + _ANSWER_S / 2
        with contextlib.ExitStack() as stack:
            self.in_flight += 1
            stack.callback(self._leave)
            try:
                async with asyncio.timeout(limit_s):
                    await self._read_body(routed, body)
                    await self._attempt_all(routed, answer)
            except TimeoutError as failure:
                raise self._late(routed) from failure

    async def _read_body(
        self,
        routed: RoutedRequest,
        body: CallerBody,
    ) -> None:
        if body.is_whole:
            return
        kept = KeptBody(body, _KEPT_BYTES)
        await kept.read_start()
        routed.body = kept

    async def _attempt_all(
        self,
        routed: RoutedRequest,
        answer: HeldAnswer,
    ) -> None:
        while True:
            await self._crashes.settle(routed)
            attempt = self._next_attempt(routed)
            is_last = not self._retries.could_follow(routed)
            try:
                await attempt.run(answer, is_last=is_last)
            except RequestError as failure:
                self._record_failure(routed, failure, answer)
            else:
                self._crashes.record_answer(routed)
                return

    def _next_attempt(self, routed: RoutedRequest) -> Attempt:
        wanted = RoutingRequest(
            routed.route,
            routed.service,
            routed.incoming.fields.affinity_key,
            self._remaining_s(routed),
            frozenset(routed.tried),
            self._crashes.assigned(routed),
        )
        try:
            self._crashes.check(routed)
            choice = self._context.balancer.choose(wanted)
        except RefusedError as refusal:
            raise self._final(routed, refusal) from refusal
        routed.tried.add(choice.upstream.instance)
        routed.last_region = choice.upstream.region
        routed.runs += 1
        return Attempt(self._context, routed, choice, wanted)

    def _record_failure(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        answer: HeldAnswer,
    ) -> None:
        """Return if another attempt is allowed, else raise the answer."""
        is_unknown = failure.answer.outcome is not Outcome.NOT_RUN
        if is_unknown:
            routed.may_have_run = True
        else:
            routed.runs -= 1
        self._record_upstream(routed, failure)
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
            raise self._final(routed, failure)
        self._context.counters.add('retries', reason=reason)
        self._retries.spend(routed, failure)
        self._context.log.write(
            RequestRetried(
                routed.request_id,
                routed.route.name,
                routed.attempts[-1].upstream,
                reason,
                self._retries.remaining(routed),
            ),
        )

    def _record_upstream(
        self,
        routed: RoutedRequest,
        failure: RequestError,
    ) -> None:
        """Note what a failure says of the upstream that was asked last."""
        upstream = self._context.state.by_id.get(routed.attempts[-1].upstream)
        if upstream is None:
            return
        if failure.kind is ErrorKind.UPSTREAM_MOVED:
            self._context.state.mark_moved(upstream)
        elif failure.kind is ErrorKind.UPSTREAM_LOST:
            self._crashes.record_loss(routed, upstream)

    def _final(
        self,
        routed: RoutedRequest,
        latest: RequestError,
    ) -> RequestError:
        """The error for the caller; an unknown outcome outweighs "not run"."""
        if routed.may_have_run and latest.answer.outcome is Outcome.NOT_RUN:
            return RequestError(ErrorKind.UPSTREAM_LOST, str(latest))
        return latest

    def _late(self, routed: RoutedRequest) -> RequestError:
        """The error for a request whose time is up."""
        kind = ErrorKind.DEADLINE_BEFORE_SEND
        if routed.may_have_run or routed.runs:
            kind = ErrorKind.DEADLINE_AFTER_SEND
        return RequestError(kind, routed.route.name)

    def _remaining_s(self, routed: RoutedRequest) -> float:
        return max(routed.deadline - self._context.clock.now(), 0)

    def _leave(self) -> None:
        self.in_flight -= 1


def _answer_s(wait_s: float) -> float:
    """Seconds of a caller's time that are kept for the way of the answer."""
    return min(_ANSWER_S, _ANSWER_PART * wait_s)
