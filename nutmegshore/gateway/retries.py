"""Whether a request may be sent once more."""

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import RoutedRequest

__all__ = ('Retries',)

#: Attempts that an upstream refused do not count as attempts of the route,
#: but there are at most this many more of them.
_EXTRA_ATTEMPTS = 2
#: Least part of the route's target that must be left for another attempt.
_LEAST_LEFT_PART = 0.15


class Retries:
    """Rules for another attempt, and the budget that it draws on.

    A request that may run once is sent again only if no attempt may have run
    it. Any request stays within its route's attempts, its deadline and the
    budget that all gateways share.
    """

    def __init__(self, context: GatewayContext) -> None:
        """Judge with the budget of the parts."""
        self._context = context

    def could_follow(self, routed: RoutedRequest) -> bool:
        """Whether a lost attempt could be followed by another."""
        has_attempts = routed.runs < routed.route.max_attempts
        return has_attempts and self._has_budget(routed)

    def obstacle(
        self,
        routed: RoutedRequest,
        failure: RequestError,
        *,
        has_begun: bool,
        remaining_s: float,
    ) -> str:
        """Why there is no further attempt; empty if there is one."""
        route = routed.route
        may_repeat = route.is_safe or not routed.may_have_run
        most = route.max_attempts + _EXTRA_ATTEMPTS
        obstacles = (
            ('answer_begun', has_begun),
            ('may_have_run', not may_repeat),
            ('body_used', _is_used_up(routed)),
            ('attempts', routed.runs >= route.max_attempts),
            ('sends', len(routed.tried) >= most),
            (
                'deadline',
                remaining_s < _LEAST_LEFT_PART * route.target_latency_s,
            ),
            ('budget', not self._is_affordable(routed, failure)),
        )
        return next((name for name, is_met in obstacles if is_met), '')

    def spend(self, routed: RoutedRequest, failure: RequestError) -> None:
        """Count the attempt that follows a failure."""
        if not _is_free(failure):
            self._context.budget.record_retry(routed.service)

    def remaining(self, routed: RoutedRequest) -> float:
        """Retries that this gateway may still send to the service."""
        members = self._context.count_gateways()
        return round(self._context.budget.remaining(routed.service, members), 1)

    def _is_affordable(
        self,
        routed: RoutedRequest,
        failure: RequestError,
    ) -> bool:
        return _is_free(failure) or self._has_budget(routed)

    def _has_budget(self, routed: RoutedRequest) -> bool:
        members = self._context.count_gateways()
        return self._context.budget.may_retry(routed.service, members)


def _is_free(failure: RequestError) -> bool:
    """Whether the failed attempt never arrived, so that the next is first."""
    return failure.kind is ErrorKind.UPSTREAM_UNREACHABLE


def _is_used_up(routed: RoutedRequest) -> bool:
    body = routed.body
    return bool(body and body.is_started and not body.can_replay)
