"""The attempts at one request, from the first one to an answer."""

import functools
from http import HTTPStatus

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.attempt import Attempt
from nutmegshore.gateway.attempt_chooser import AttemptChooser
from nutmegshore.gateway.attempt_recorder import AttemptRecorder
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.running_attempts import EndedAttempt, RunningAttempts

__all__ = ('AttemptLoop',)

_SILENT = ErrorKind.UPSTREAM_SILENT
#: Statuses below 500 with which another upstream may not answer.
_PASSING_ERRORS = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
)
#: Name of this part in reports of faults.
_PART = 'forward'


class AttemptLoop:
    """Sends one request to upstreams until one of them answers it.

    After a failure the request is retried, where that is allowed. If an
    attempt is overdue, the request is hedged: another upstream that admits it
    gets it as well. The first whole answer counts, and only then are the other
    attempts cancelled, since a slow upstream may still be the first. An answer
    that is an error of its upstream counts only if no other attempt runs.

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
        self._recorder = AttemptRecorder(context, routed)
        self._running = RunningAttempts()
        # The attempt whose whole answer the caller gets, unless another one
        # that still runs has a better one.
        self._answered: Attempt | None = None

    async def run(self) -> None:
        """Fill the answer, or raise `RequestError`."""
        async with self._running:
            await self._context.crashes.wait_for_check(self._routed)
            self._start(self._chooser.choose())
            self._answered = await self._wait_answer()
            for ended in self._running.take_ended():
                self._recorder.record_end(ended)
            self._running.keep_only(self._answered)
        self.take_answer()
        with self._context.log.faults.contain(_PART):
            self._context.crashes.record_answer(self._routed)

    def take_answer(self) -> bool:
        """Fill the answer with a whole one that has come, if there is any."""
        if self._answered is not None:
            self._answer.adopt(self._answered.answer)
        return self._answered is not None

    async def _wait_answer(self) -> Attempt:
        answered = None
        while answered is None:
            ended = await self._running.wait(self._running.due_s)
            if ended is None:
                self._check_overdue()
            elif ended.failure is None:
                answered = self._weigh_answer(ended.attempt)
            else:
                answered = await self._handle_failure(ended)
        return answered

    def _weigh_answer(self, attempt: Attempt) -> Attempt | None:
        """Return the attempt, or None if a better answer may come."""
        if not (self._running and _is_error(attempt)):
            return attempt
        self._answered = attempt
        self._hedge()
        return None

    async def _handle_failure(self, ended: EndedAttempt) -> Attempt | None:
        """Return the attempt to take the answer from, None if one may come.

        Raise the error if there is no answer and none may come.
        """
        failure = ended.failure
        is_last = not self._running and self._answered is None
        if is_last and not isinstance(failure, RequestError):
            raise failure
        self._recorder.record_end(ended)
        if is_last:
            await self._retry(failure, ended.attempt)
        elif self._running and ended.is_not_run:
            self._hedge()
        return None if self._running else self._answered

    async def _retry(self, failure: RequestError, failed: Attempt) -> None:
        """Start the attempt that follows the failure of the last one."""
        self._check_retry(failure, failed)
        await self._context.crashes.wait_for_check(self._routed)
        self._check_retry(failure, failed)
        self._start_again(self._chooser.choose(failure.kind), failure)
        self._recorder.record_retry(failed, failure.kind)

    def _check_retry(self, failure: RequestError, failed: Attempt) -> None:
        obstacle = self._chooser.obstacle_to_retry(failure, failed)
        if obstacle:
            self._chooser.refuse(failure.kind, obstacle)
            raise self._chooser.final_error(failure)

    def _check_overdue(self) -> None:
        due = [one for one in self._running.attempts if not one.timer.due_s]
        for attempt in due:
            attempt.is_overdue = True
            attempt.timer.postpone()
        if due:
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
            self._recorder.record_overdue(running[-1], hedge)

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
        self._start(attempt)
        with self._context.log.faults.contain(_PART):
            self._chooser.spend(failure)

    def _start(self, attempt: Attempt) -> None:
        handle_streaming = functools.partial(self._handle_streaming, attempt)
        attempt.answer.call_before_streaming(handle_streaming)
        self._running.start(attempt)

    def _handle_streaming(self, attempt: Attempt) -> None:
        """Let an attempt stream its answer, and end the others.

        Raise `RequestError` if it is an error and a better answer may come.
        """
        if len(self._running.attempts) > 1 and _is_error(attempt):
            raise RequestError(ErrorKind.UPSTREAM_SPOILED, 'long error')
        attempt.timer.stop()
        self._answered = None
        self._running.keep_only(attempt)


def _is_error(attempt: Attempt) -> bool:
    status = attempt.answer.head.status
    is_passing = status in _PASSING_ERRORS
    return is_passing or status >= HTTPStatus.INTERNAL_SERVER_ERROR
