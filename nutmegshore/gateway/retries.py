"""Rules that decide whether a request may be retried."""

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import RoutedRequest

__all__ = ('Retries',)

#: Refused attempts do not count towards the route's maximum, but they add at
#: most this many sends to it.
_EXTRA_ATTEMPTS = 2
#: Fraction of the route's target latency that must remain for a retry.
_MIN_TARGET_FRACTION = 0.15


class Retries:
    """Decides on retries and charges them to the retry budget.

    A request that must not run twice is retried only if no attempt may have
    run it. Each request stays within its route's attempts, its deadline and
    the budget that all gateways share.
    """

    def __init__(self, context: GatewayContext) -> None:
        """Use the retry budget of the context."""
        self._context = context

    def obstacle(
        self,
        routed: RoutedRequest,
        failure: RequestError | None,
        *,
        has_begun: bool,
        remaining_s: float,
    ) -> str:
        """Why the request gets no further attempt; empty if it may.

        `failure` is what the attempt would follow, None if it would run beside
        one that is overdue.
        """
        route = routed.route
        may_repeat = route.is_safe or not routed.may_have_run
        max_sends = route.max_attempts + _EXTRA_ATTEMPTS
        obstacles = (
            ('answer_begun', has_begun),
            ('may_have_run', not may_repeat),
            ('body_used', _is_body_consumed(routed)),
            ('attempts', routed.runs >= route.max_attempts),
            ('sends', len(routed.tried) >= max_sends),
            (
                'deadline',
                remaining_s < _MIN_TARGET_FRACTION * route.target_latency_s,
            ),
            ('budget', not self._is_affordable(routed, failure)),
        )
        return next((name for name, is_met in obstacles if is_met), '')

    def spend(
        self, routed: RoutedRequest, failure: RequestError | None
    ) -> None:
        """Charge a further attempt to the budget."""
        if not _is_free(failure):
            self._context.budget.record_retry(routed.service)

    def remaining(self, routed: RoutedRequest) -> float:
        """Retries that this gateway may still send to the service."""
        members = self._context.count_gateways()
        return round(self._context.budget.remaining(routed.service, members), 1)

    def _is_affordable(
        self,
        routed: RoutedRequest,
        failure: RequestError | None,
    ) -> bool:
        if _is_free(failure):
            return True
        members = self._context.count_gateways()
        return self._context.budget.may_retry(routed.service, members)


def _is_free(failure: RequestError | None) -> bool:
    """Whether the attempt reached no upstream, so its retry costs nothing."""
    if failure is None:
        return False
    return failure.kind is ErrorKind.UPSTREAM_UNREACHABLE


def _is_body_consumed(routed: RoutedRequest) -> bool:
    body = routed.body
    return bool(body and body.is_started and not body.can_replay)
