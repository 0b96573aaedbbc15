"""Records of what became of the attempts at one request."""

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import RequestOverdue, RequestRetried
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.retries import Retries
from nutmegshore.gateway.running_attempts import EndedAttempt

__all__ = ('AttemptRecorder',)

_DIGITS = 3
#: Name of this part in reports of faults.
_PART = 'forward'


class AttemptRecorder:
    """Logs attempts, and tells the fleet of upstreams that failed.

    A fault in any of it is reported and costs the request nothing.

    recorder = AttemptRecorder(context, routed)
    recorder.record_end(ended)
    """

    def __init__(self, context: GatewayContext, routed: RoutedRequest) -> None:
        """Record the attempts at one request."""
        self._context = context
        self._routed = routed
        self._retries = Retries(context)

    def record_end(self, ended: EndedAttempt) -> None:
        """Record what ended an attempt without an answer."""
        failure = ended.failure
        faults = self._context.log.faults
        if isinstance(failure, RequestError):
            self._routed.runs -= ended.is_not_run
            with faults.contain(_PART):
                self._record_upstream_failure(failure, ended.attempt)
        elif failure is not None:
            faults.report(_PART, failure)

    def record_retry(self, failed: Attempt, reason: ErrorKind) -> None:
        """Log that another attempt follows one that failed."""
        with self._context.log.faults.contain(_PART):
            self._context.log.write(
                RequestRetried(
                    self._routed.request_id,
                    self._routed.route.name,
                    failed.upstream,
                    reason.value,
                    self._retries.remaining(self._routed),
                ),
            )

    def record_overdue(self, overdue: Attempt, hedge: str) -> None:
        """Log that another attempt joins one that is overdue, or why none."""
        self._context.log.write(
            RequestOverdue(
                self._routed.request_id,
                self._routed.route.name,
                overdue.upstream,
                round(overdue.timer.age_s, _DIGITS),
                round(overdue.expected_s, _DIGITS),
                hedge,
                '' if hedge else self._routed.no_retry,
                self._retries.remaining(self._routed),
            ),
        )

    def _record_upstream_failure(
        self, failure: RequestError, failed: Attempt
    ) -> None:
        upstream = self._context.state.by_id.get(failed.upstream)
        if upstream is None:
            return
        if failure.kind is ErrorKind.UPSTREAM_MOVED:
            self._context.state.mark_moved(upstream)
        elif failure.kind is ErrorKind.UPSTREAM_LOST:
            self._context.crashes.record_loss(self._routed, upstream)
