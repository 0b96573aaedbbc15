"""One attempt to send a request to an upstream."""

from types import MappingProxyType

from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Choice,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.errors import ErrorKind, Outcome, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import AttemptRecord, RoutedRequest
from nutmegshore.gateway.timeout_group import lift
from nutmegshore.gateway.upstream_events import UpstreamColdUsed, UpstreamJudged
from nutmegshore.listener.headers import upstream_headers
from nutmegshore.platform.dialect import (
    write_caller_headers,
    write_expected_instance,
)
from nutmegshore.upstreams import AnswerHead, UpstreamRequest

__all__ = ('Attempt',)

#: Connect timeout in seconds, on top of the round trips. Upstreams accept in
#: about 1 ms; a machine that is down never answers.
_CONNECT_TIMEOUT_S = 0.25
_CONNECT_ROUND_TRIPS = 2
#: Least round trip in seconds that a connect timeout allows for: a path may
#: have become longer since its round trip was measured.
_LEAST_ROUND_TRIP_S = 0.06
#: An attempt of a safe request times out after this multiple of its worst
#: expected time, as long as another upstream could still answer it.
_TIMEOUT_FACTOR = 2.5
_MIN_TIMEOUT_S = 0.3
#: Name of this part in reports of faults.
_PART = 'attempt'

_OUTCOME_BY_KIND = MappingProxyType(
    {
        ErrorKind.UPSTREAM_UNREACHABLE: AttemptOutcome.UNREACHABLE,
        ErrorKind.UPSTREAM_REFUSED: AttemptOutcome.REFUSED,
        ErrorKind.UPSTREAM_MOVED: AttemptOutcome.REFUSED,
        ErrorKind.UPSTREAM_LOST: AttemptOutcome.LOST,
        ErrorKind.UPSTREAM_SPOILED: AttemptOutcome.LOST,
        ErrorKind.UPSTREAM_SILENT: AttemptOutcome.SILENT,
        ErrorKind.DEADLINE_AFTER_SEND: AttemptOutcome.SILENT,
    }
)


class Attempt:
    """Sends a request to a chosen upstream and records the outcome.

    attempt = Attempt(context, routed, choice, routing_request)
    head = await attempt.run(answer, is_last=False)
    """

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        choice: Choice,
        routing_request: RoutingRequest,
    ) -> None:
        """Prepare an attempt; `run` sends it."""
        self._context = context
        self._routed = routed
        self._choice = choice
        self._routing_request = routing_request
        self._started_at = float(0)

    async def run(self, answer: BufferedAnswer, *, is_last: bool) -> AnswerHead:
        """Send the request; raise `RequestError` without a complete answer."""
        self._started_at = self._context.clock.now()
        in_flight = self._context.balancer.begin(
            self._routing_request, self._choice
        )
        if in_flight.is_cold:
            with self._context.log.faults.contain(_PART):
                self._record_cold(is_first=in_flight.is_first_cold)
        may_have_run = self._routed.may_have_run
        try:
            head = await self._send(answer, is_last=is_last)
        except RequestError as failure:
            if failure.answer.outcome is Outcome.NOT_RUN:
                self._routed.may_have_run = may_have_run
            outcome = _OUTCOME_BY_KIND.get(
                failure.kind, AttemptOutcome.ABANDONED
            )
            self._end(in_flight, outcome, failure.kind.value)
            raise
        except BaseException:
            # Caller disconnected, deadline passed, or gateway fault.
            self._end(in_flight, AttemptOutcome.ABANDONED, 'abandoned')
            raise
        self._end(in_flight, AttemptOutcome.ANSWERED, str(head.status))
        return head

    def _end(
        self, in_flight: InFlightRequest, outcome: AttemptOutcome, result: str
    ) -> None:
        took_s = self._context.clock.now() - self._started_at
        faults = self._context.log.faults
        with faults.contain(_PART):
            attempt = AttemptRecord.of(self._choice, took_s, result)
            self._routed.attempts.append(attempt)
        with faults.contain(_PART):
            self._record(result)
        with faults.contain(_PART):
            avoided_s = self._context.balancer.end(
                in_flight, AttemptResult(outcome, took_s)
            )
            if avoided_s:
                self._log_avoided(avoided_s)

    async def _send(
        self, answer: BufferedAnswer, *, is_last: bool
    ) -> AnswerHead:
        timeout_s = self._timeout_s(is_last=is_last)
        upstream = self._choice.upstream
        upstream_request = self._upstream_request()
        try:
            limit = self._context.attempt_timeout.limit(timeout_s)
            async with limit as time_limit:
                # A long answer takes as long as its caller does to read it.
                answer.call_on_streaming(lambda: lift(time_limit))
                self._routed.may_have_run = True
                return await self._context.upstreams.send(
                    upstream.instance,
                    upstream,
                    upstream_request,
                    answer,
                )
        except TimeoutError as failure:
            raise RequestError(
                ErrorKind.UPSTREAM_SILENT,
                upstream.instance,
            ) from failure

    def _timeout_s(self, *, is_last: bool) -> float | None:
        """Seconds until an attempt without an answer times out, or None."""
        if is_last or not self._routed.route.is_safe:
            return None
        route_latency = self._context.balancer.candidate_builder.route_latency(
            self._routing_request
        )
        if not route_latency.is_known:
            return None
        candidate = self._choice.candidate
        worst_s = route_latency.cold_s + candidate.wait_s + candidate.delay_s
        return max(_TIMEOUT_FACTOR * worst_s, _MIN_TIMEOUT_S)

    def _upstream_request(self) -> UpstreamRequest:
        head = self._routed.incoming.head
        upstream = self._choice.upstream
        headers = (
            ('Host', head.get('host')),
            *write_caller_headers(upstream_headers(head.headers)),
            *write_expected_instance(upstream.instance),
        )
        return UpstreamRequest(
            request_id=self._routed.request_id,
            service=self._routing_request.service,
            method=head.method,
            target=head.target,
            headers=headers,
            deadline=self._routed.deadline,
            may_run_twice=self._routed.route.is_safe,
            body=self._routed.body,
            connect_timeout_s=_CONNECT_TIMEOUT_S
            + _CONNECT_ROUND_TRIPS
            * max(self._choice.candidate.delay_s, _LEAST_ROUND_TRIP_S),
        )

    def _record(self, result: str) -> None:
        self._context.counters.add(
            'attempts',
            service=self._routing_request.service,
            result=result,
            reason=self._choice.reason,
        )

    def _record_cold(self, *, is_first: bool) -> None:
        upstream = self._choice.upstream
        service = self._routing_request.service
        self._context.counters.add('cold_requests', service=service)
        if not is_first:
            return
        candidate_builder = self._context.balancer.candidate_builder
        members = candidate_builder.members
        region = members.sender_region(upstream.region)
        left_s = self._context.state.cold_left_s(upstream.instance)
        event = UpstreamColdUsed(
            upstream.instance,
            service,
            round(left_s, 3),
            candidate_builder.cold_rate(service),
            len(members.names(region)),
            members.count(region),
        )
        self._context.log.write(event)

    def _log_avoided(self, avoided_s: float) -> None:
        upstream = self._choice.upstream
        health = self._context.balancer.candidate_builder.health
        failures = health.by_id[upstream.instance].failures
        self._context.log.write(
            UpstreamJudged(
                upstream.instance,
                upstream.service,
                'avoided',
                failures,
                round(avoided_s, 3),
            ),
        )
