"""One attempt to have a request answered by an upstream."""

from types import MappingProxyType

from nutmegshore.balancing import (
    AttemptOutcome,
    AttemptResult,
    Choice,
    RoutingRequest,
)
from nutmegshore.balancing.balancer import InFlightRequest
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.answer import HeldAnswer
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import UpstreamJudged
from nutmegshore.gateway.request import RoutedRequest, TriedUpstream
from nutmegshore.listener.headers import upstream_headers
from nutmegshore.platform.dialect import (
    write_caller_headers,
    write_expected_instance,
)
from nutmegshore.upstreams import AnswerHead, UpstreamRequest

__all__ = ('Attempt',)

#: Seconds for a connection to open beside the way there and back. Upstreams
#: take about 1 ms; one whose machine is dark never answers.
_CONNECT_S = 0.25
_CONNECT_TRIPS = 2
#: A safe request is given up on a silent upstream after this multiple of the
#: time that it would take there at worst, if another upstream could still
#: answer it.
_PATIENCE = 2.5
_LEAST_PATIENCE_S = 0.3

_OUTCOMES = MappingProxyType(
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
    """Sends a request to a chosen upstream and records how that ended.

    await Attempt(parts, routed, choice).run(answer)
    """

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        choice: Choice,
        wanted: RoutingRequest,
    ) -> None:
        """Wait for `run`."""
        self._context = context
        self._routed = routed
        self._choice = choice
        self._wanted = wanted
        self._started_at = float(0)

    async def run(self, answer: HeldAnswer, *, is_last: bool) -> AnswerHead:
        """Send it; raises `RequestError` if there is no whole answer."""
        self._started_at = self._context.clock.now()
        sent = self._context.balancer.begin(self._wanted, self._choice)
        try:
            head = await self._send(answer, is_last=is_last)
        except RequestError as failure:
            outcome = _OUTCOMES.get(failure.kind, AttemptOutcome.ABANDONED)
            self._end(sent, outcome, failure.kind.value)
            raise
        except BaseException:
            # The caller has gone, its time is up, or our own side failed.
            self._end(sent, AttemptOutcome.ABANDONED, 'abandoned')
            raise
        self._end(sent, AttemptOutcome.ANSWERED, str(head.status))
        return head

    def _end(
        self, sent: InFlightRequest, outcome: AttemptOutcome, result: str
    ) -> None:
        took_s = self._context.clock.now() - self._started_at
        avoided_s = self._context.balancer.end(
            sent, AttemptResult(outcome, took_s)
        )
        self._record(took_s, result)
        if avoided_s:
            self._report(avoided_s)

    async def _send(self, answer: HeldAnswer, *, is_last: bool) -> AnswerHead:
        patience_s = self._patience_s(is_last=is_last)
        upstream = self._choice.upstream
        try:
            async with self._context.attempt_timeout.limit(patience_s):
                return await self._context.upstreams.send(
                    upstream.instance,
                    upstream,
                    self._outgoing(),
                    answer,
                )
        except TimeoutError as failure:
            raise RequestError(
                ErrorKind.UPSTREAM_SILENT,
                upstream.instance,
            ) from failure

    def _patience_s(self, *, is_last: bool) -> float | None:
        """Seconds until a silent upstream is given up, or None."""
        if is_last or not self._routed.route.is_safe:
            return None
        route_latency = self._context.balancer.candidate_builder.route_latency(
            self._wanted
        )
        if not route_latency.is_known:
            return None
        candidate = self._choice.candidate
        worst_s = route_latency.cold_s + candidate.wait_s + candidate.delay_s
        return max(_PATIENCE * worst_s, _LEAST_PATIENCE_S)

    def _outgoing(self) -> UpstreamRequest:
        head = self._routed.incoming.head
        upstream = self._choice.upstream
        headers = (
            ('Host', head.get('host')),
            *write_caller_headers(upstream_headers(head.headers)),
            *write_expected_instance(upstream.instance),
        )
        return UpstreamRequest(
            request_id=self._routed.request_id,
            service=self._wanted.service,
            method=head.method,
            target=head.target,
            headers=headers,
            deadline=self._routed.deadline,
            may_run_twice=self._routed.route.is_safe,
            body=self._routed.body,
            connect_timeout_s=_CONNECT_S
            + _CONNECT_TRIPS * self._choice.candidate.delay_s,
        )

    def _record(self, took_s: float, result: str) -> None:
        tried = TriedUpstream.of(self._choice, took_s, result)
        self._routed.attempts.append(tried)
        self._context.counters.add(
            'attempts',
            service=self._wanted.service,
            result=result,
            reason=self._choice.reason,
        )

    def _report(self, avoided_s: float) -> None:
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
