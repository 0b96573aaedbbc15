"""HTTP calls to a store, each of which ends with the task that waits for it."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import attrs
import pycurl

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.faults import Faults
from nutmegshore.store.call_places import CallKind, CallPlaces
from nutmegshore.upstreams import AnswerHead, Headers, MalformedAnswer
from nutmegshore.upstreams.connections import SendGuard
from nutmegshore.upstreams.handles import (
    MS_PER_S,
    add_body,
    make_handle,
    write_headers,
)
from nutmegshore.upstreams.multi import CurlLoop
from nutmegshore.upstreams.transfer import Transfer

__all__ = ('CallFailed', 'CallTimes', 'StoreCall', 'StoreCalls', 'StoreReply')

#: Bytes of an answer's body.
_MAX_BODY_BYTES = 104_857_600


@attrs.frozen
class CallTimes:
    """Timeouts of calls to a store in seconds.

    The kernel closes a connection on which the store acknowledges nothing
    for `silent_s`.
    """

    connect_s: float = 1
    call_s: float = 2
    silent_s: float = 2


@attrs.frozen
class StoreCall:
    """A call to a store, whose answer may take `wait_s` longer than others."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes | None = None
    wait_s: float = 0

    @property
    def kind(self) -> CallKind:
        """What the call waits for."""
        return CallKind.WATCH if self.wait_s else CallKind.SHORT


@attrs.frozen
class StoreReply:
    """The answer to a call."""

    head: AnswerHead
    body: bytes


class CallFailed(Exception):
    """A call got no answer; `is_sent` says whether the store may have it."""

    def __init__(self, message: str, *, is_sent: bool) -> None:
        """Say why, and whether anything was sent."""
        super().__init__(message)
        self.is_sent = is_sent


class StoreCalls:
    """Calls the store at an origin such as http://10.0.0.1:8642.

    A call that is cancelled closes its connection and frees its place at once.
    The time of a call includes what it waits for a place. A call whose kept
    connection ends without an answer is sent again once, on a new connection:
    reads change nothing, and writes name the version that they expect.
    `on_malformed` is called with the target of a call whose answer breaks the
    grammar of HTTP/1.1, and why. Such a call fails, and is not sent again.

        calls = StoreCalls('http://10.0.0.1:8642')
        reply = await calls.send(StoreCall('GET', '/'))
    """

    on_malformed: Callable[[str, MalformedAnswer], None] | None = None

    def __init__(
        self,
        origin: str,
        times: CallTimes | None = None,
        places: int = 16,
        counters: Counters | None = None,
    ) -> None:
        """Create the client; connections open on first use.

        Half of the places are for watches.
        """
        self._origin = origin
        self._times = times or CallTimes()
        self._counters = counters or Counters()
        self._clock = SystemClock()
        self._places = CallPlaces(places // 2, self._counters)
        self._loop = CurlLoop(Faults(self._counters), places)

    def close(self) -> None:
        """End the calls and close the connections."""
        self._loop.close()

    async def send(self, call: StoreCall) -> StoreReply:
        """Return the answer, whatever its status; raise `CallFailed`."""
        running = _RunningCall(call)
        try:
            async with asyncio.timeout(self._times.call_s + call.wait_s):
                return await self._send_in_place(running)
        except TimeoutError as failure:
            raise running.failed('no answer in time') from failure
        except asyncio.CancelledError:
            running.end = 'cancelled'
            raise
        finally:
            self._counters.add(
                'store_calls', kind=call.kind.value, end=running.end
            )

    async def _send_in_place(self, running: '_RunningCall') -> StoreReply:
        kind = running.call.kind
        async with self._places.take(kind, self._times.call_s):
            reply = await self._send_once(running)
            if reply is None and running.may_be_sent_again:
                reply = await self._send_once(running)
        if reply is None:
            raise running.failed(running.loss)
        running.end = 'answered'
        return reply

    async def _send_once(self, running: '_RunningCall') -> StoreReply | None:
        """Return the answer, None without one."""
        call = running.call
        guard = SendGuard(
            self._loop.sockets, self._clock, self._counters, 'store_connections'
        )
        transfer = Transfer(self._loop, self._make_curl(running, guard), guard)
        running.transfers.append(transfer)
        with contextlib.closing(transfer):
            transfer.start()
            if call.body is not None:
                await transfer.write_chunk(call.body)
                transfer.write_end()
            reply = await _read(transfer)
            self._report_malformed(call, transfer)
            return reply

    def _report_malformed(self, call: StoreCall, transfer: Transfer) -> None:
        malformed = transfer.answer.malformed
        if self.on_malformed is not None and malformed is not None:
            self.on_malformed(call.target, malformed)

    def _make_curl(
        self, running: '_RunningCall', guard: SendGuard
    ) -> pycurl.Curl:
        call = running.call
        curl = make_handle(
            self._origin, call.method, call.target, self._times.connect_s
        )
        curl.setopt(pycurl.FRESH_CONNECT, bool(running.transfers))
        has_body = call.body is not None
        if has_body:
            add_body(curl, len(call.body))
        write_headers(curl, call.method, call.headers, has_body=has_body)
        guard.on_open = self._limit_silence
        return curl

    def _limit_silence(self, fd: int) -> None:
        """Make the kernel close a connection that is silent too long."""
        silent_s = max(int(self._times.silent_s), 1)
        with socket.socket(fileno=socket.dup(fd)) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, seconds in (
                (socket.TCP_KEEPIDLE, 1),
                (socket.TCP_KEEPINTVL, 1),
                (socket.TCP_KEEPCNT, silent_s),
                (socket.TCP_USER_TIMEOUT, silent_s * MS_PER_S),
            ):
                connection.setsockopt(socket.IPPROTO_TCP, option, seconds)


class _RunningCall:
    """A call, its transfers, and how it ended."""

    def __init__(self, call: StoreCall) -> None:
        self.call = call
        self.transfers: list[Transfer] = []
        self.end = 'failed'

    @property
    def may_be_sent_again(self) -> bool:
        """Whether its kept connection ended before the answer began."""
        transfer = self.transfers[-1]
        guard = transfer.guard
        answer = transfer.answer
        # Who sent a malformed answer had the call before it.
        has_begun = answer.malformed or answer.heads.size
        return guard.found_closed or guard.is_kept and not has_begun

    @property
    def loss(self) -> str:
        """Why the latest transfer brought no answer."""
        malformed = self.transfers[-1].answer.malformed
        return str(malformed or 'connection lost')

    def failed(self, why: str) -> CallFailed:
        """The error for a call without an answer."""
        is_sent = any(one.guard.is_sent for one in self.transfers)
        target = self.call.target
        return CallFailed(f'{target}: {why}', is_sent=is_sent)


async def _read(transfer: Transfer) -> StoreReply | None:
    head = await transfer.wait_head()
    if head is None:
        return None
    body = bytearray()
    while chunk := await transfer.read_chunk():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            return None
    return None if transfer.error else StoreReply(head, bytes(body))
