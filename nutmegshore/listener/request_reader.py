"""Reading of the requests of a caller's connection."""

import asyncio

from tornado.iostream import IOStream, StreamClosedError

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener.answer import AnswerWriter
from nutmegshore.listener.body import CallerBody
from nutmegshore.listener.caller_activity import CallerActivity
from nutmegshore.listener.context import ListenerContext
from nutmegshore.listener.exchange import Exchange
from nutmegshore.listener.headers import (
    RequestHead,
    parse_head,
    read_body_length,
)
from nutmegshore.listener.reader import CallerReader

__all__ = ('RequestReader',)


class RequestReader:
    """Reads heads, and builds what answers each of them.

    exchange = await RequestReader(reader, stream, context, activity).read()
    """

    def __init__(
        self,
        reader: CallerReader,
        stream: IOStream,
        context: ListenerContext,
        activity: CallerActivity,
    ) -> None:
        """Read with the reader of a connection; answers go to its stream."""
        self._activity = activity
        self._reader = reader
        self._stream = stream
        self._context = context

    async def read(self) -> Exchange:
        """Read a head; its failure is answered as the exchange runs.

        Raise tornado's `StreamClosedError` when the caller is gone.
        """
        writer = AnswerWriter(self._stream, activity=self._activity)
        failure = None
        try:
            writer.request = await self._read_head()
        except StreamClosedError:
            raise
        except Exception as fault:
            failure = fault
        writer.keeps_alive = failure is None and writer.request.keeps_alive
        return self._make_exchange(writer, failure)

    async def _read_head(self) -> RequestHead:
        limits = self._context.limits
        try:
            async with asyncio.timeout(limits.head_s):
                raw = await self._reader.read_head(limits.head_bytes)
        except TimeoutError as failure:
            raise RequestError(ErrorKind.SLOW_SENDER, 'head') from failure
        return parse_head(raw)

    def _make_exchange(
        self, writer: AnswerWriter, failure: Exception | None
    ) -> Exchange:
        responder = None
        try:
            responder = self._context.make_responder(writer)
            if failure is None:
                responder.body = self._make_body(writer)
        except Exception as fault:
            failure = fault
        return Exchange(self._context, writer, responder, failure)

    def _make_body(self, writer: AnswerWriter) -> CallerBody:
        limits = self._context.limits
        return CallerBody(
            self._reader,
            read_body_length(writer.request),
            limits.body_s,
            writer.write_continue,
            limits.body_bytes,
            self._context.turns,
        )
