"""Acceptance of callers' requests, their routes and their deadlines."""

import contextlib

from nutmegshore.errors import ErrorKind, RefusedError, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt_loop import AttemptLoop
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import IncomingRequest, RoutedRequest
from nutmegshore.gateway.timeout_group import TimeoutGroup
from nutmegshore.listener import CallerBody, KeptBody

__all__ = ('GatewayForwarder',)

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
        """Find the route and the customer of a request.

        Raise `RequestError` without a route, without a key that it needs, or
        while keys are not believed.
        """
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
        customer = self._context.key_age.authenticate(
            route, incoming.fields.api_key
        )
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
            customer=customer,
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
        remaining_s = routed.remaining_s(self._context.clock.now())
        limit_s = remaining_s + _ANSWER_MARGIN_S / 2
        attempts = AttemptLoop(self._context, routed, answer)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._context.quotas.admit(routed))
            self._context.budget.record_request(routed.service)
            self.in_flight += 1
            stack.callback(self._end_request)
            try:
                async with self._time_limits.limit(limit_s):
                    await self._read_body(routed, body, stack)
                    self._check_accepted(routed)
                    await attempts.run()
            except TimeoutError as failure:
                if not attempts.take_answer():
                    raise self._deadline_error(routed) from failure

    async def _read_body(
        self,
        routed: RoutedRequest,
        body: CallerBody,
        ends: contextlib.ExitStack,
    ) -> None:
        """Read the start of the body, which is dropped as `ends` closes."""
        if body.is_whole:
            return
        kept_body = KeptBody(body, _MAX_KEPT_BODY_BYTES, routed.held)
        ends.callback(kept_body.close)
        await kept_body.read_start()
        routed.body = kept_body

    def _check_accepted(self, routed: RoutedRequest) -> None:
        if self._refuses_new:
            raise RequestError(ErrorKind.STOPPING, routed.service)

    def _deadline_error(self, routed: RoutedRequest) -> RequestError:
        """The error for a request whose deadline has passed."""
        kind = ErrorKind.DEADLINE_BEFORE_SEND
        if routed.may_have_run or routed.runs:
            kind = ErrorKind.DEADLINE_AFTER_SEND
        return RequestError(kind, routed.route.name)

    def _end_request(self) -> None:
        self.in_flight -= 1


def _answer_margin_s(time_limit_s: float) -> float:
    """Seconds of a caller's time that are reserved to deliver an error."""
    return min(_ANSWER_MARGIN_S, _ANSWER_MARGIN_FRACTION * time_limit_s)
