"""One caller's connection: its requests, one after the other."""

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamClosedError

from nutmegshore.errors import ErrorKind, NutmegshoreError, RequestError
from nutmegshore.listener.answer import AnswerWriter, abort_stream
from nutmegshore.listener.body import CallerBody
from nutmegshore.listener.caller_activity import CallerActivity
from nutmegshore.listener.context import ListenerContext
from nutmegshore.listener.fault_answer import FaultAnswer
from nutmegshore.listener.headers import (
    RequestHead,
    parse_head,
    read_body_length,
)
from nutmegshore.listener.reader import CallerReader
from nutmegshore.listener.responder import Responder

__all__ = ('CallerConnection',)


class CallerConnection:
    """Reads, answers and ends the requests of one connection.

    await CallerConnection(stream, context).run()
    """

    def __init__(self, stream: IOStream, context: ListenerContext) -> None:
        """Wait for `run`."""
        self.is_idle = True
        self.is_leaving = False
        self._stream = stream
        self._context = context
        self.is_closed = stream.closed
        self.activity = CallerActivity()
        self._reader = CallerReader(stream, self.activity)
        self._writer: AnswerWriter | None = None
        self._responder: Responder | None = None

    async def run(self) -> None:
        """Serve until the caller or `close_when_idle` ends it."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.close)
            stack.enter_context(self._context.faults.contain('listener'))
            stack.enter_context(contextlib.suppress(StreamClosedError))
            while await self._has_next():
                await self._serve_one()

    def leave(self) -> None:
        """Close after the next answer that can announce it."""
        self.is_leaving = True
        if self._writer is not None and not self._writer.has_begun:
            self._writer.keeps_alive = False

    def close_when_idle(self) -> bool:
        """Close now if no request is under way, else after its answer.

        Returns whether it closed the connection now.
        """
        self.leave()
        if self._stream.closed() or not self.is_idle or self.has_waiting():
            return False
        self._context.counters.add('idle_connections_closed', reason='stop')
        self._stream.close()
        return True

    def close(self) -> None:
        """Close now, with a reset if a request is under way."""
        if self.is_idle:
            self._stream.close()
        else:
            abort_stream(self._stream)

    def has_waiting(self) -> bool:
        """Whether a part of a request has arrived."""
        return self._reader.has_held or _has_unread(self._stream)

    async def _has_next(self) -> bool:
        if self._stream.closed():
            return False
        self.is_idle = True
        while not await self._starts_in_time():
            if not self.has_waiting():
                self._context.counters.add(
                    'idle_connections_closed', reason='idle_time'
                )
                return False
        self.is_idle = False
        return True

    async def _starts_in_time(self) -> bool:
        try:
            async with asyncio.timeout(self._context.limits.idle_s):
                await self._reader.wait_start()
        except TimeoutError:
            return False
        return True

    async def _serve_one(self) -> None:
        writer = AnswerWriter(
            self._stream,
            keeps_alive=not self.is_leaving,
            activity=self.activity,
        )
        self._writer = writer
        self._responder = None
        try:
            await self._answer(writer)
        except StreamClosedError:
            raise
        except Exception as fault:
            faults = self._context.faults
            await FaultAnswer(faults, writer, self._responder).send(fault)
        is_kept = writer.keeps_alive and self._has_whole_request()
        if not is_kept and not self._stream.closed():
            await self._linger()

    async def _answer(self, writer: AnswerWriter) -> None:
        responder = self._context.make_responder(writer)
        self._responder = responder
        try:
            await self._read_request(responder)
        except RequestError as error:
            writer.keeps_alive = False
            await responder.refuse(error)
        else:
            await self._while_connected(responder)

    def _has_whole_request(self) -> bool:
        responder = self._responder
        if responder is None or responder.body is None:
            return False
        return responder.body.is_whole

    async def _read_request(self, responder: Responder) -> None:
        head = await self._read_head()
        writer = responder.writer
        writer.request = head
        writer.keeps_alive &= head.keeps_alive
        responder.body = CallerBody(
            self._reader,
            read_body_length(head),
            self._context.limits.body_s,
            writer.write_continue,
            self._context.limits.body_bytes,
        )

    async def _read_head(self) -> RequestHead:
        limits = self._context.limits
        try:
            async with asyncio.timeout(limits.head_s):
                raw = await self._reader.read_head(limits.head_bytes)
        except TimeoutError as failure:
            raise RequestError(ErrorKind.SLOW_SENDER, 'head') from failure
        return parse_head(raw)

    async def _while_connected(self, responder: Responder) -> None:
        """Cancel the work on an answer when its caller disconnects."""
        work = asyncio.ensure_future(responder.run())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(_cancel, work)
            self._stream.set_close_callback(work.cancel)
            stack.callback(self._stream.set_close_callback, None)
            await asyncio.wait((work,))
        if self._stream.closed():
            self._context.counters.add('caller_disconnects')
        elif work.cancelled():
            raise RuntimeError('the work on an answer was cancelled')
        failure = None if work.cancelled() else work.exception()
        if isinstance(failure, NutmegshoreError):
            self._abort(failure)
        elif failure is not None:
            raise failure

    def _abort(self, failure: NutmegshoreError) -> None:
        """End a connection whose answer cannot be made whole."""
        if self._stream.closed():
            return
        abort_stream(self._stream)
        self._context.counters.add('answers_aborted', reason=failure.kind.value)

    async def _linger(self) -> None:
        """Close so that the caller can still read the last answer.

        Closing while unread bytes of the request wait sends a reset, and the
        reset may overtake the answer.
        """
        with contextlib.suppress(OSError, TimeoutError):
            self._stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(self._context.limits.linger_s):
                await self._reader.discard(self._context.limits.linger_bytes)
        self._stream.close()


def _has_unread(stream: IOStream) -> bool:
    """Whether bytes have arrived that the loop has not read yet."""
    if stream.closed():
        return False
    try:
        # `recv` of a TLS socket takes no flags; the encrypted bytes will do.
        return bool(socket.socket.recv(stream.socket, 1, socket.MSG_PEEK))
    except OSError:
        return False


async def _cancel(work: asyncio.Future) -> None:
    work.cancel()
    await asyncio.wait((work,))
