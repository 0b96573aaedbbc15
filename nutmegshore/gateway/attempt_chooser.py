"""Decisions on the attempts at one request."""

from nutmegshore.balancing import Choice, RoutingRequest
from nutmegshore.errors import ErrorKind, Outcome, RefusedError, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.retries import Retries

__all__ = ('AttemptChooser',)

_DIGITS = 3


class AttemptChooser:
    """Chooses the upstreams of one request, within its limits.

    attempt = chooser.choose()
    """

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        answer: BufferedAnswer,
    ) -> None:
        """Make attempts that each fill a branch of the answer."""
        self._context = context
        self._routed = routed
        self._answer = answer
        self._retries = Retries(context)

    def choose(self, reason: ErrorKind | None = None) -> Attempt:
        """Choose an upstream; raise the final error if none admits.

        `reason` is why a further attempt is needed, None for the first one.
        """
        routed = self._routed
        crashes = self._context.crashes
        self._check_key(reason)
        routing_request = RoutingRequest(
            routed.route,
            routed.service,
            routed.incoming.fields.affinity_key,
            self._remaining_s(),
            frozenset(routed.tried),
            crashes.assigned(routed),
            routed.customer,
            self._context.clock.now() - routed.incoming.arrived_at,
        )
        try:
            crashes.check(routed)
            choice = self._context.balancer.choose(routing_request)
        except RefusedError as refusal:
            routed.limited = refusal.limited
            routed.paused = refusal.paused
            if reason is not None:
                self.refuse(reason, refusal.kind.value)
            raise self.final_error(refusal) from refusal
        self._record(choice)
        answer = self._answer.make_branch()
        return Attempt(self._context, routed, choice, routing_request, answer)

    def obstacle_to_retry(self, failure: RequestError, failed: Attempt) -> str:
        """Why no attempt may follow one that failed; empty if it may."""
        return self._obstacle(failure, has_begun=failed.answer.has_begun)

    def obstacle_to_hedge(self, running: tuple[Attempt, ...]) -> str:
        """Why no attempt may join those that run; empty if it may."""
        if self._context.crashes.may_crash(self._routed):
            return 'may_crash'
        has_begun = any(attempt.answer.has_begun for attempt in running)
        return self._obstacle(None, has_begun=has_begun)

    def spend(self, failure: RequestError | None) -> None:
        """Charge and count a further attempt; None: it joins another."""
        reason = failure.kind if failure else ErrorKind.UPSTREAM_SILENT
        self._retries.spend(self._routed, failure)
        self._context.counters.add('retries', reason=reason.value)

    def refuse(self, reason: ErrorKind, obstacle: str) -> None:
        """Record why there is no further attempt."""
        is_repeated = reason is ErrorKind.UPSTREAM_SILENT
        if is_repeated and self._routed.no_retry == obstacle:
            return
        self._routed.no_retry = obstacle
        self._context.counters.add(
            'retries_refused', reason=reason.value, obstacle=obstacle
        )

    def final_error(self, latest: RequestError) -> RequestError:
        """The error for the caller; an unknown outcome outweighs "not run"."""
        is_not_run = latest.answer.outcome is Outcome.NOT_RUN
        if self._routed.may_have_run and is_not_run:
            return RequestError(ErrorKind.UPSTREAM_LOST, str(latest))
        return latest

    def _check_key(self, reason: ErrorKind | None) -> None:
        """Raise the final error if the request's key is not believed now."""
        routed = self._routed
        api_key = routed.incoming.fields.api_key
        try:
            self._context.key_age.check(routed.route, routed.customer, api_key)
        except RequestError as refusal:
            if reason is not None:
                self.refuse(reason, refusal.kind.value)
            raise self.final_error(refusal) from refusal

    def _record(self, choice: Choice) -> None:
        routed = self._routed
        view = self._context.state.upstreams_view
        routed.upstreams_age_s = round(view.age_s, _DIGITS)
        routed.upstreams_from = view.source
        routed.limited = choice.limited
        routed.paused = choice.paused
        routed.tried.add(choice.upstream.instance)
        routed.last_region = choice.upstream.region
        routed.runs += 1

    def _obstacle(
        self, failure: RequestError | None, *, has_begun: bool
    ) -> str:
        return self._retries.obstacle(
            self._routed,
            failure,
            has_begun=has_begun,
            remaining_s=self._remaining_s(),
        )

    def _remaining_s(self) -> float:
        return self._routed.remaining_s(self._context.clock.now())
