"""One request of a caller's connection and its answer."""

import asyncio
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from nutmegshore.errors import NutmegshoreError, RequestError
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.listener.context import ListenerContext
from nutmegshore.listener.fault_answer import FaultAnswer
from nutmegshore.listener.responder import Responder

__all__ = ('Exchange',)

_PART = 'listener'


class Exchange:
    """Answers one request in a task of its own.

    `failure` is set for a request whose head was not acceptable. There is no
    responder if building it has failed.

        exchange = Exchange(context, writer, responder)
        exchange.start(on_end)
        ...
        exchange.is_kept
    """

    def __init__(
        self,
        context: ListenerContext,
        writer: AnswerWriter,
        responder: Responder | None,
        failure: Exception | None = None,
    ) -> None:
        """Wait for `start`."""
        self.writer = writer
        self.task: asyncio.Task | None = None
        self.is_answered = False
        self._context = context
        self._responder = responder
        self._failure = failure
        self._has_body = self._has_open_body()
        self._is_cancelled = False

    @property
    def may_run_ahead(self) -> bool:
        """Whether it may start while an answer ahead is outstanding."""
        if self._failure is not None or self._has_body:
            return False
        with self._context.faults.contain(_PART):
            return self._responder.may_run_ahead
        return False

    @property
    def holds_reader(self) -> bool:
        """Whether no further request can be read yet.

        The bytes that follow on the connection are the body, or the request
        itself still waits.
        """
        return self._has_body or self.task is None

    @property
    def is_kept(self) -> bool:
        """Whether the answer was sent, and leaves the connection open."""
        if not self.is_answered or self._has_open_body():
            return False
        return self.writer.keeps_alive

    def start(self, on_end: Callable[['Exchange'], None]) -> None:
        """Run the responder, and call a function at its end."""
        self.task = asyncio.ensure_future(self._run())
        self.task.add_done_callback(lambda _: on_end(self))

    def cancel(self) -> None:
        """Cancel the responder, once: a second time would cut its clean-up."""
        if self.task is not None and not self._is_cancelled:
            self._is_cancelled = True
            self.task.cancel()

    def withdraw(self) -> None:
        """Cancel the request, which the caller sends again."""
        self.writer.is_withdrawn = True
        self.cancel()

    async def _run(self) -> None:
        with self._context.faults.contain(_PART):
            try:
                await self._answer()
            except StreamClosedError:
                return
            except Exception as fault:
                await self._send_fault(fault)
            # A responder may end without an answer.
            await self.writer.wait_turn()
            self.is_answered = not self.writer.stream.closed()

    async def _answer(self) -> None:
        if self._failure is None:
            await self._respond()
        elif isinstance(self._failure, RequestError):
            await self._responder.refuse(self._failure)
        else:
            raise self._failure

    async def _respond(self) -> None:
        try:
            await self._run_responder()
        except NutmegshoreError as failure:
            await self.writer.wait_turn()
            self._abort(failure)

    async def _run_responder(self) -> None:
        try:
            await self._responder.run()
        except asyncio.CancelledError as failure:
            if asyncio.current_task().cancelling():
                raise
            raise RuntimeError(
                'the work on an answer was cancelled'
            ) from failure
        finally:
            has_left = self.writer.stream.closed()
            if has_left and not self.writer.is_withdrawn:
                self._context.counters.add('caller_disconnects')

    def _abort(self, failure: NutmegshoreError) -> None:
        """End a connection whose answer cannot be made whole."""
        if self.writer.stream.closed():
            return
        self.writer.abort()
        self._context.counters.add('answers_aborted', reason=failure.kind.value)

    async def _send_fault(self, fault: Exception) -> None:
        answer = FaultAnswer(self._context.faults, self.writer, self._responder)
        try:
            await answer.send(fault)
        except StreamClosedError:
            return

    def _has_open_body(self) -> bool:
        if self._responder is None or self._responder.body is None:
            return False
        return not self._responder.body.is_whole
