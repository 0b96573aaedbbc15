"""One attempt to send a request to an upstream."""

import math
from types import MappingProxyType

from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Choice,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.errors import (
    ConnectionClosed,
    ErrorKind,
    Outcome,
    RequestError,
)
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.overdue_timer import OverdueTimer
from nutmegshore.gateway.request import AttemptRecord, RoutedRequest
from nutmegshore.gateway.upstream_events import UpstreamColdUsed, UpstreamJudged
from nutmegshore.listener import RequestHead
from nutmegshore.listener.headers import upstream_headers
from nutmegshore.platform.dialect import (
    write_caller_headers,
    write_customer_headers,
    write_expected_instance,
)
from nutmegshore.upstreams import AnswerHead, Headers, UpstreamRequest

__all__ = ('Attempt',)

#: Connect timeout in seconds, on top of the round trips. Upstreams accept in
#: about 1 ms; a machine that is down never answers.
_CONNECT_TIMEOUT_S = 0.25
_CONNECT_ROUND_TRIPS = 2
#: Least round trip in seconds that a connect timeout allows for: a path may
#: have become longer since its round trip was measured.
_LEAST_ROUND_TRIP_S = 0.06
#: An attempt of a safe request is overdue after this multiple of its worst
#: expected time, and again whenever its age has doubled.
_OVERDUE_FACTOR = 2.5
_MIN_OVERDUE_S = 0.3
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

    `timer` tells when the attempt is overdue, `is_overdue` whether it has been,
    and `is_beaten` whether another attempt has given the answer. An upstream
    that is overdue and beaten counts as silent.

    attempt = Attempt(context, routed, choice, routing_request, answer)
    attempt.begin()
    head = await attempt.run()
    attempt.close()
    """

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        choice: Choice,
        routing_request: RoutingRequest,
        answer: BufferedAnswer,
    ) -> None:
        """Prepare an attempt that fills `answer`; `run` sends it."""
        self.answer = answer
        self.is_overdue = False
        self.is_beaten = False
        self._context = context
        self._routed = routed
        self._choice = choice
        self._routing_request = routing_request
        self._in_flight: InFlightRequest | None = None
        self.timer = OverdueTimer(context.clock, self._get_overdue_s())

    @property
    def upstream(self) -> str:
        """Instance name of the upstream."""
        return self._choice.upstream.instance

    @property
    def expected_s(self) -> float:
        """Seconds within which the answer was expected."""
        return self._choice.candidate.expected_s

    def begin(self) -> None:
        """Count the request at its upstream, before the next one chooses."""
        in_flight = self._context.balancer.begin(
            self._routing_request, self._choice
        )
        self._in_flight = in_flight
        if in_flight.is_cold:
            with self._context.log.faults.contain(_PART):
                self._record_cold(is_first=in_flight.is_first_cold)

    async def run(self) -> AnswerHead:
        """Send the request; raise `RequestError` without a complete answer."""
        try:
            head = await self._send()
        except RequestError as failure:
            if failure.answer.outcome is Outcome.NOT_RUN:
                self._routed.possible_runs -= 1
            self._end(self._judge(failure), failure.kind.value)
            raise
        self._end(AttemptOutcome.ANSWERED, str(head.status))
        return head

    def close(self) -> None:
        """Record the end of an attempt that was cancelled or met a fault."""
        if self._in_flight is None:
            return
        if self.is_overdue and self.is_beaten:
            self._end(AttemptOutcome.SILENT, ErrorKind.UPSTREAM_SILENT.value)
        else:
            self._end(AttemptOutcome.ABANDONED, 'abandoned')

    def _judge(self, failure: RequestError) -> AttemptOutcome:
        if isinstance(failure, ConnectionClosed):
            self._routed.allow_again(self.upstream)
            return AttemptOutcome.CLOSED
        return _OUTCOME_BY_KIND.get(failure.kind, AttemptOutcome.ABANDONED)

    def _end(self, outcome: AttemptOutcome, result: str) -> None:
        in_flight = self._in_flight
        self._in_flight = None
        took_s = self.timer.age_s
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

    async def _send(self) -> AnswerHead:
        upstream = self._choice.upstream
        upstream_request = self._upstream_request()
        self._routed.possible_runs += 1
        return await self._context.upstreams.send(
            upstream.instance,
            upstream,
            upstream_request,
            self.answer,
        )

    def _get_overdue_s(self) -> float:
        """Seconds until the attempt is overdue, infinite if it never is."""
        if not self._routed.route.is_safe:
            return math.inf
        route_latency = self._context.balancer.candidate_builder.route_latency(
            self._routing_request
        )
        if not route_latency.is_known:
            return math.inf
        candidate = self._choice.candidate
        worst_s = route_latency.cold_s + candidate.wait_s + candidate.delay_s
        return max(_OVERDUE_FACTOR * worst_s, _MIN_OVERDUE_S)

    def _upstream_request(self) -> UpstreamRequest:
        head = self._routed.incoming.head
        upstream = self._choice.upstream
        headers = (
            ('Host', head.get('host')),
            *self._caller_headers(head),
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
            needs_new_connection=self._routed.needs_new_connection,
            body=self._routed.body,
            connect_timeout_s=_CONNECT_TIMEOUT_S
            + _CONNECT_ROUND_TRIPS
            * max(self._choice.candidate.delay_s, _LEAST_ROUND_TRIP_S),
        )

    def _caller_headers(self, head: RequestHead) -> Headers:
        headers = write_caller_headers(upstream_headers(head.headers))
        if self._routed.configuration.customers.is_enabled:
            return write_customer_headers(headers, self._routed.customer_name)
        return headers

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
