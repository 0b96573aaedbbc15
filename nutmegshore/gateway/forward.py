"""Forwarding of one caller's request to the upstreams of its route."""

import asyncio
import contextlib

from nutmegshore.balancing import Wanted
from nutmegshore.errors import (
    ErrorKind,
    Outcome,
    RefusedError,
    RequestError,
)
from nutmegshore.gateway.answer import HeldAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.events import RequestRetried
from nutmegshore.gateway.parts import GatewayParts
from nutmegshore.gateway.request import Incoming, RoutedRequest
from nutmegshore.listener import AnswerWriter, CallerBody, KeptBody

__all__ = ('Forwarder',)

_MS_PER_S = 1000
#: Seconds after which a caller is asked back while nothing is known yet.
_NOT_READY_RETRY_S = 0.5
#: Bytes of a body that are read before it is sent anywhere. Meanwhile it holds
#: no slot, and a refused request can go elsewhere.
_KEPT_BYTES = 1_048_576
#: Attempts that an upstream refused do not count as attempts of the route,
#: but there are at most this many more of them.
_EXTRA_ATTEMPTS = 2
#: Least part of the route's target that must be left for another attempt.
_LEAST_LEFT_PART = 0.15


class Forwarder:
    """Routes requests, sends them to upstreams, and retries what may be.

        routed = forwarder.route(incoming)
        await forwarder.run(routed, body, writer)
    """

    def __init__(self, parts: GatewayParts) -> None:
        """Join the parts that a request passes."""
        self.in_flight = 0
        self._parts = parts

    def route(self, incoming: Incoming) -> RoutedRequest:
        """Find the route of a request, or raise why there is none."""
        configuration = self._parts.state.configuration
        if configuration is None or not self._parts.state.is_complete:
            raise RefusedError(
                ErrorKind.NOT_READY,
                'no configuration yet',
                _NOT_READY_RETRY_S,
            )
        head = incoming.head
        route = configuration.match(head.get('host'), head.target)
        if route is None:
            raise RequestError(ErrorKind.NO_ROUTE, head.target)
        wait_s = route.timeout_s
        if incoming.fields.left_ms is not None:
            wait_s = min(wait_s, incoming.fields.left_ms / _MS_PER_S)
        service = self._parts.splits.pick(route)
        return RoutedRequest(
            incoming,
            configuration,
            route,
            service,
            incoming.arrived_at + wait_s,
        )

    async def run(
        self,
        routed: RoutedRequest,
        body: CallerBody,
        writer: AnswerWriter,
    ) -> int:
        """Answer the request; returns the status, or raises `RequestError`."""
        self._parts.budget.note_request(routed.service)
        answer = HeldAnswer(
            writer,
            self._parts.dialect,
            routed.request_id,
            is_safe=routed.route.is_safe,
        )
        with contextlib.ExitStack() as stack:
            self.in_flight += 1
            stack.callback(self._leave)
            try:
                async with asyncio.timeout(self._left_s(routed)):
                    await self._read_body(routed, body)
                    await self._attempt_all(routed, answer)
            except TimeoutError as failure:
                raise self._late(routed) from failure
        await answer.finish()
        return answer.head.status

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
            attempt = self._next_attempt(routed)
            is_last = not self._could_retry(routed)
            try:
                await attempt.run(answer, is_last=is_last)
            except RequestError as failure:
                self._note_failure(routed, failure, answer)
            else:
                return

    def _next_attempt(self, routed: RoutedRequest) -> Attempt:
        wanted = Wanted(
            routed.route,
            routed.service,
            routed.incoming.fields.affinity_key,
            self._left_s(routed),
            frozenset(routed.tried),
        )
        try:
            choice = self._parts.balancer.choose(wanted)
        except RefusedError as refusal:
            raise self._final(routed, refusal) from refusal
        routed.tried.add(choice.upstream.instance)
        routed.runs += 1
        return Attempt(self._parts, routed, choice, wanted)

    def _could_retry(self, routed: RoutedRequest) -> bool:
        """Whether a lost attempt could be followed by another."""
        return routed.runs < routed.route.max_attempts and self._has_budget(
            routed
        )

    def _has_budget(self, routed: RoutedRequest) -> bool:
        members = self._parts.count_gateways()
        return self._parts.budget.may_retry(routed.service, members)

    def _note_failure(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        answer: HeldAnswer,
    ) -> None:
        """Return if another attempt is allowed, else raise the answer."""
        routed.last_failure = failure
        is_unknown = failure.answer.outcome is not Outcome.NOT_RUN
        if is_unknown:
            routed.may_have_run = True
        else:
            routed.runs -= 1
        self._note_moved(routed, failure, answer)
        obstacle = self._obstacle(routed, failure, answer)
        reason = failure.kind.value
        if obstacle:
            self._parts.counters.add(
                'retries_refused',
                reason=reason,
                obstacle=obstacle,
            )
            raise self._final(routed, failure)
        self._parts.counters.add('retries', reason=reason)
        if failure.kind is not ErrorKind.UPSTREAM_UNREACHABLE:
            self._parts.budget.note_retry(routed.service)
        self._parts.log.write(
            RequestRetried(
                routed.request_id,
                routed.route.name,
                routed.attempts[-1].upstream,
                reason,
                self._budget_left(routed),
            ),
        )

    def _obstacle(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        answer: HeldAnswer,
    ) -> str:
        """Why there is no further attempt; empty if there is one."""
        route = routed.route
        body = routed.body
        may_repeat = route.is_safe or not routed.may_have_run
        is_used_up = body and body.is_started and not body.can_replay
        least_s = _LEAST_LEFT_PART * route.target_latency_s
        most = route.max_attempts + _EXTRA_ATTEMPTS
        obstacles = (
            ('answer_begun', answer.has_begun),
            ('may_have_run', not may_repeat),
            ('body_used', is_used_up),
            ('attempts', routed.runs >= route.max_attempts),
            ('sends', len(routed.tried) >= most),
            ('deadline', self._left_s(routed) < least_s),
            ('budget', not self._is_affordable(routed, failure)),
        )
        return next((name for name, is_met in obstacles if is_met), '')

    def _is_affordable(
        self,
        routed: RoutedRequest,
        failure: RequestError,
    ) -> bool:
        # A request that never arrived is no retry where it goes next.
        is_free = failure.kind is ErrorKind.UPSTREAM_UNREACHABLE
        return is_free or self._has_budget(routed)

    def _note_moved(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        answer: HeldAnswer,
    ) -> None:
        if failure.kind is not ErrorKind.UPSTREAM_MOVED:
            return
        upstream = self._parts.state.by_id.get(routed.attempts[-1].upstream)
        if upstream is not None:
            self._parts.state.mark_moved(upstream)

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

    def _left_s(self, routed: RoutedRequest) -> float:
        return max(routed.deadline - self._parts.clock.now(), 0)

    def _budget_left(self, routed: RoutedRequest) -> float:
        members = self._parts.count_gateways()
        left = self._parts.budget.left(routed.service, members)
        return round(left, 1)

    def _leave(self) -> None:
        self.in_flight -= 1
