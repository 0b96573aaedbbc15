"""One caller's connection: its requests, answered in their order."""

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamClosedError

from nutmegshore.listener.answer import abort_stream
from nutmegshore.listener.caller_activity import CallerActivity
from nutmegshore.listener.context import ListenerContext
from nutmegshore.listener.pipeline import Pipeline
from nutmegshore.listener.reader import CallerReader
from nutmegshore.listener.request_reader import RequestReader

__all__ = ('CallerConnection',)


#: Least seconds for which a request is awaited at once. Bytes that arrive as
#: the idle time ends are read within it.
_MIN_WAIT_S = 0.01


class CallerConnection:
    """Reads, answers and ends the requests of one connection.

    Further requests are read while earlier ones are being answered; the
    pipeline decides when each of them runs.

    await CallerConnection(stream, context).run()
    """

    def __init__(self, stream: IOStream, context: ListenerContext) -> None:
        """Wait for `run`."""
        self.is_leaving = False
        self._stream = stream
        self._context = context
        self.is_closed = stream.closed
        self.activity = CallerActivity()
        self._reader = CallerReader(stream, self.activity)
        self._requests = RequestReader(
            self._reader, stream, context, self.activity
        )
        self._pipeline = Pipeline(context.counters, context.budget)
        self._is_reading = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._pipeline.is_empty and not self._is_reading

    @property
    def waited_s(self) -> float:
        """Seconds since the caller last sent or took anything.

        0 while an answer is due that its upstream has not given.
        """
        if self.is_idle:
            return self._pipeline.idle_s
        return self.activity.waited_s

    async def run(self) -> None:
        """Serve until the caller or `close_when_idle` ends it."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.close)
            stack.enter_context(self._context.faults.contain('listener'))
            stack.enter_context(contextlib.suppress(StreamClosedError))
            await self._serve()
            if self._pipeline.is_answered and not self._stream.closed():
                await self._linger()

    def leave(self) -> None:
        """Close after the next answer that can announce it."""
        self.is_leaving = True
        self._pipeline.announce_close()

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

    async def _serve(self) -> None:
        """Read and answer requests until no further one can follow."""
        reading = asyncio.ensure_future(self._read_requests())
        ending = asyncio.ensure_future(self._pipeline.wait_end())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._pipeline.cancel)
            stack.push_async_callback(_cancel, reading, ending)
            self._stream.set_close_callback(self._pipeline.end)
            stack.callback(self._stream.set_close_callback, None)
            await asyncio.wait(
                (reading, ending), return_when=asyncio.FIRST_COMPLETED
            )
        if not reading.cancelled():
            reading.result()

    async def _read_requests(self) -> None:
        """Read until the connection has been idle for too long.

        Behind a request whose answer closes the connection, nothing is read.
        """
        while await self._has_next():
            self._reader.is_reading_ahead = not self._pipeline.is_empty
            exchange = await self._requests.read()
            self._reader.is_reading_ahead = False
            # A stop may have announced the close in the meantime.
            exchange.writer.keeps_alive &= not self.is_leaving
            if not self._pipeline.is_closing:
                self._pipeline.add(exchange)
            self._is_reading = False
            await self._pipeline.wait_room()

    async def _has_next(self) -> bool:
        if self._pipeline.is_closing:
            await self._pipeline.wait_end()
            return False
        while not await self._starts_in_time():
            if self._idle_left_s() <= 0 and not self.has_waiting():
                self._context.counters.add(
                    'idle_connections_closed', reason='idle_time'
                )
                return False
        self._is_reading = True
        return True

    async def _starts_in_time(self) -> bool:
        left_s = max(self._idle_left_s(), _MIN_WAIT_S)
        try:
            async with asyncio.timeout(left_s):
                await self._reader.wait_start()
        except TimeoutError:
            return False
        return True

    def _idle_left_s(self) -> float:
        """Seconds until the connection has been idle for too long."""
        return self._context.limits.idle_s - self._pipeline.idle_s

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


async def _cancel(*tasks: asyncio.Future) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
