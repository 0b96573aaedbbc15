"""The attempts at one request, from the first one to an answer."""

from http import HTTPStatus

from nutmegshore.errors import ErrorKind, Outcome, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.attempt_chooser import AttemptChooser
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.events import RequestOverdue, RequestRetried
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.running_attempts import EndedAttempt, RunningAttempts

__all__ = ('AttemptLoop',)

_DIGITS = 3
_SILENT = ErrorKind.UPSTREAM_SILENT
#: Name of this part in reports of faults.
_PART = 'forward'


class AttemptLoop:
    """Sends one request to upstreams until one of them answers it.

    After a failure the request is retried, where that is allowed. If an
    attempt is overdue, the request is hedged: another upstream that admits it
    gets it as well. The first whole answer counts, and only then are the other
    attempts cancelled, since a slow upstream may still be the first.

    await AttemptLoop(context, routed, answer).run()
    """

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        answer: BufferedAnswer,
    ) -> None:
        """Prepare the attempts; nothing is sent before `run`."""
        self._context = context
        self._routed = routed
        self._answer = answer
        self._chooser = AttemptChooser(context, routed, answer)
        self._running = RunningAttempts()
        # An error that an upstream answered while other attempts ran.
        self._fallback: Attempt | None = None

    async def run(self) -> None:
        """Return with a whole answer, or raise `RequestError`."""
        async with self._running:
            await self._context.crashes.wait_for_check(self._routed)
            self._running.start(self._chooser.choose())
            answered = await self._wait_answer()
            self._answer.adopt(answered.answer)
        with self._context.log.faults.contain(_PART):
            self._context.crashes.record_answer(self._routed)

    async def _wait_answer(self) -> Attempt:
        answered = None
        while answered is None:
            ended = await self._running.wait(self._running.due_s)
            if ended is None:
                self._check_overdue()
            elif ended.failure is None:
                answered = self._take_answer(ended.attempt)
            else:
                answered = await self._handle_failure(ended)
        return answered

    def _take_answer(self, attempt: Attempt) -> Attempt | None:
        """Return the attempt, or None if a better answer may come."""
        if not (self._running and _is_server_error(attempt)):
            return attempt
        self._fallback = attempt
        return None

    async def _handle_failure(self, ended: EndedAttempt) -> Attempt | None:
        """Return an answer that came before, or None if one may still come.

        Raise the final error if nothing runs and no retry is allowed.
        """
        failure = ended.failure
        if not isinstance(failure, RequestError):
            return self._handle_fault(failure)
        is_not_run = failure.answer.outcome is Outcome.NOT_RUN
        if is_not_run:
            self._routed.runs -= 1
        with self._context.log.faults.contain(_PART):
            self._record_upstream_failure(failure, ended.attempt)
        if self._running:
            if is_not_run:
                self._hedge()
            return None
        if self._fallback is None:
            await self._retry(failure, ended.attempt)
        return self._fallback

    def _handle_fault(self, fault: BaseException) -> Attempt | None:
        """Report a fault in an attempt if the caller may get an answer."""
        if not self._running and self._fallback is None:
            raise fault
        self._context.log.faults.report(_PART, fault)
        return None if self._running else self._fallback

    async def _retry(self, failure: RequestError, failed: Attempt) -> None:
        """Start the attempt that follows the failure of the last one."""
        obstacle = self._chooser.obstacle_to_retry(failure, failed)
        if obstacle:
            self._chooser.refuse(failure.kind, obstacle)
            raise self._chooser.final_error(failure)
        await self._context.crashes.wait_for_check(self._routed)
        self._start_again(self._chooser.choose(failure.kind), failure)
        with self._context.log.faults.contain(_PART):
            self._log_retry(failed, failure.kind.value)

    def _check_overdue(self) -> None:
        for attempt in self._running.attempts:
            if not attempt.overdue.due_s:
                with self._context.log.faults.contain(_PART):
                    attempt.record_overdue()
        self._hedge()

    def _hedge(self) -> None:
        """Send the request to one more upstream if all attempts are overdue.

        Without one that admits it the attempts that run just go on.
        """
        running = self._running.attempts
        if not all(attempt.is_overdue for attempt in running):
            return
        with self._context.log.faults.contain(_PART):
            hedge = self._start_hedge(running)
            self._log_overdue(running[-1], hedge)

    def _start_hedge(self, running: tuple[Attempt, ...]) -> str:
        """Return the upstream of a further attempt, '' if none was started."""
        obstacle = self._chooser.obstacle_to_hedge(running)
        if obstacle:
            self._chooser.refuse(_SILENT, obstacle)
            return ''
        try:
            hedge = self._chooser.choose(_SILENT)
        except RequestError:
            return ''
        self._start_again(hedge, None)
        return hedge.upstream

    def _start_again(
        self, attempt: Attempt, failure: RequestError | None
    ) -> None:
        """Start an attempt beyond the first, and charge it to the budget."""
        self._running.start(attempt)
        reason = failure.kind if failure else _SILENT
        with self._context.log.faults.contain(_PART):
            self._chooser.spend(failure)
            self._context.counters.add('retries', reason=reason.value)

    def _record_upstream_failure(
        self, failure: RequestError, failed: Attempt
    ) -> None:
        """Record a failure against the upstream of an attempt."""
        upstream = self._context.state.by_id.get(failed.upstream)
        if upstream is None:
            return
        if failure.kind is ErrorKind.UPSTREAM_MOVED:
            self._context.state.mark_moved(upstream)
        elif failure.kind is ErrorKind.UPSTREAM_LOST:
            self._context.crashes.record_loss(self._routed, upstream)

    def _log_retry(self, failed: Attempt, reason: str) -> None:
        self._context.log.write(
            RequestRetried(
                self._routed.request_id,
                self._routed.route.name,
                failed.upstream,
                reason,
                self._chooser.budget_left,
            ),
        )

    def _log_overdue(self, overdue: Attempt, hedge: str) -> None:
        self._context.log.write(
            RequestOverdue(
                self._routed.request_id,
                self._routed.route.name,
                overdue.upstream,
                round(overdue.overdue.age_s, _DIGITS),
                round(overdue.expected_s, _DIGITS),
                hedge,
                '' if hedge else self._routed.no_retry,
                self._chooser.budget_left,
            ),
        )


def _is_server_error(attempt: Attempt) -> bool:
    status = attempt.answer.head.status
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR
