"""HTTP pipelining: the requests of a connection that are not answered yet."""

import asyncio
import collections
import functools

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.counters import Counters
from nutmegshore.listener.exchange import Exchange

__all__ = ('MAX_READ_AHEAD', 'Pipeline')

#: Requests of a connection that may be under way behind the one whose answer is
#: next. A gateway buffers at most 256 KiB of each answer, so that a connection
#: holds at most 2.25 MiB of answers.
MAX_READ_AHEAD = 8
#: Bytes that a request which runs ahead counts as holding, beside its answer:
#: its tasks, its transfer and what libcurl buffers.
_AHEAD_BYTES = 65_536


class Pipeline:
    """Runs requests at the same time, and lets them answer in their order.

    A request that may not run ahead starts when all answers ahead of it are
    written. An answer that closes the connection cancels those behind it, which
    the caller sends again.

        pipeline.add(exchange)
        await pipeline.wait_room()
    """

    def __init__(self, counters: Counters, budget: ByteBudget) -> None:
        """Start without requests; those that run ahead count in `budget`."""
        self._counters = counters
        self._budget = budget
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._changed = asyncio.Event()
        self._is_ended = False
        self._idle_since = asyncio.get_running_loop().time()

    @property
    def is_empty(self) -> bool:
        """Whether all requests are answered."""
        return not self._exchanges

    @property
    def idle_s(self) -> float:
        """Seconds since the last answer, 0 while one is outstanding."""
        if not self.is_empty:
            return 0
        return asyncio.get_running_loop().time() - self._idle_since

    @property
    def is_closing(self) -> bool:
        """Whether no further request may be added."""
        return self._is_ended or any(
            not exchange.writer.keeps_alive for exchange in self._exchanges
        )

    @property
    def is_answered(self) -> bool:
        """Whether the answer that closes the connection was written."""
        return bool(self._exchanges) and self._exchanges[0].is_answered

    def add(self, exchange: Exchange) -> None:
        """Add the request that was read last, and start it if it may run."""
        writer = exchange.writer
        writer.turn = asyncio.Event()
        writer.before_close = functools.partial(self._withdraw_behind, exchange)
        self._exchanges.append(exchange)
        if len(self._exchanges) == 1:
            self._give_turn()
        elif exchange.may_run_ahead and not self._budget.is_short:
            self._counters.add('requests_run_ahead')
            exchange.start(self._finish)
            _hold_until_end(self._budget, exchange)

    def announce_close(self) -> None:
        """Let the last answer close the connection, unless it has begun."""
        if self._exchanges and not self._exchanges[-1].writer.has_begun:
            self._exchanges[-1].writer.keeps_alive = False

    def end(self) -> None:
        """Give no further request its turn."""
        self._is_ended = True
        self._notify()

    async def wait_room(self) -> None:
        """Wait until a further request may be read."""
        while self._is_full():
            await self._changed.wait()

    async def wait_end(self) -> None:
        """Wait until an answer has closed the connection, or `end`."""
        while not self._is_ended:
            await self._changed.wait()

    async def cancel(self) -> None:
        """Cancel all requests, and wait for their end."""
        self.end()
        for exchange in self._exchanges:
            exchange.cancel()
        tasks = [one.task for one in self._exchanges if one.task is not None]
        if tasks:
            await asyncio.wait(tasks)

    def _is_full(self) -> bool:
        if self.is_empty:
            return False
        is_held = self._exchanges[-1].holds_reader
        return is_held or len(self._exchanges) > MAX_READ_AHEAD

    def _give_turn(self) -> None:
        first = self._exchanges[0]
        first.writer.turn.set()
        if first.task is None:
            first.start(self._finish)

    def _finish(self, exchange: Exchange) -> None:
        """Go on to the next request, or end behind an answer that closes."""
        exchange.writer.before_close = None
        if self._is_ended or exchange.writer.is_withdrawn:
            return
        if not exchange.is_kept:
            self.end()
            return
        self._exchanges.remove(exchange)
        if self._exchanges:
            self._give_turn()
        else:
            self._idle_since = asyncio.get_running_loop().time()
        self._notify()

    def _withdraw_behind(self, last: Exchange) -> None:
        """Cancel the requests behind an answer that closes the connection."""
        last.writer.before_close = None
        for exchange in reversed(self._exchanges):
            if exchange is last:
                return
            exchange.withdraw()
            self._counters.add('requests_withdrawn')

    def _notify(self) -> None:
        # Each waiter checks its own condition again.
        self._changed.set()
        self._changed = asyncio.Event()


def _hold_until_end(budget: ByteBudget, exchange: Exchange) -> None:
    """Count what a request that runs ahead holds.

    Many callers that send requests ahead would exhaust the memory by what their
    requests hold before there is any answer.
    """
    held = budget.hold()
    held.add(_AHEAD_BYTES)
    exchange.task.add_done_callback(lambda _: held.close())
