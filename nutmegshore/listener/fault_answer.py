"""Answers to requests that a fault of our own code has interrupted."""

from tornado.iostream import StreamClosedError

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.faults import Faults
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.listener.responder import Responder

__all__ = ('FaultAnswer',)

_PART = 'listener'


class FaultAnswer:
    """Reports a fault, and answers the request if nothing was written yet.

    The answer says that the request has not run, unless an upstream may have
    received it. An answer that has begun is cut by a reset, a whole one is left
    alone.

        await FaultAnswer(faults, writer, responder).send(fault)
    """

    def __init__(
        self,
        faults: Faults,
        writer: AnswerWriter,
        responder: Responder | None,
    ) -> None:
        """Answer through the writer; there may be no responder yet."""
        self._faults = faults
        self._writer = writer
        self._responder = responder

    async def send(self, fault: Exception) -> None:
        """Report the fault and end the request."""
        self._report(fault)
        if self._writer.is_complete:
            return
        if self._writer.has_begun:
            self._writer.abort()
            return
        self._writer.keeps_alive = False
        error = self._error(fault)
        if self._responder is not None:
            await self._refuse(self._responder, error)
        if not self._writer.has_begun:
            await self._writer.write_error(error)

    async def _refuse(self, responder: Responder, error: RequestError) -> None:
        try:
            await responder.refuse(error)
        except StreamClosedError:
            raise
        except Exception as fault:
            self._report(fault)

    def _error(self, fault: Exception) -> RequestError:
        kind = ErrorKind.FAULT_BEFORE_SEND
        if self._responder is not None and self._responder.may_have_run:
            kind = ErrorKind.FAULT_AFTER_SEND
        return RequestError(kind, type(fault).__name__)

    def _report(self, fault: Exception) -> None:
        request_id = ''
        # The fault may lie in what reads the id.
        with self._faults.contain(_PART):
            request_id = self._responder.request_id if self._responder else ''
        self._faults.report(_PART, fault, request_id)
