"""One HTTP request and its answer over libcurl."""

import pycurl

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.upstreams.base import AnswerHead
from nutmegshore.upstreams.connections import SendGuard
from nutmegshore.upstreams.multi import CurlLoop
from nutmegshore.upstreams.received_answer import ReceivedAnswer
from nutmegshore.upstreams.transfer_buffer import READ_BYTES, Buffer, Change

__all__ = ('Transfer',)

#: Bytes that libcurl buffers more for a body that it sends in chunks.
_CHUNKED_BYTES = 65_536
#: What a callback for received bytes returns to end the transfer.
_ABORT = 0


class Transfer:
    """The buffers and the state of one request and its answer.

    `guard` decides on the connection and tells whether the request was sent.
    `error` is libcurl's error number, 0 for a complete answer, or None before
    the end. `answer` is what has come of the answer.
    """

    def __init__(
        self,
        curl_loop: CurlLoop,
        curl: pycurl.Curl,
        guard: SendGuard,
        budget: ByteBudget | None = None,
        *,
        is_chunked: bool = False,
    ) -> None:
        """Set the handle's callbacks; `start` runs it.

        The body of the request is sent in chunks if its length is not known.
        """
        budget = budget or ByteBudget()
        self._held = budget.hold()
        self.guard = guard
        self.error: int | None = None
        self.answer = ReceivedAnswer()
        self._loop = curl_loop
        self._curl = curl
        self._changed = Change()
        self._wakes_as_sent = False
        # libcurl skips what follows a chunk's size and ends at a last chunk
        # that another reader takes for more, so that chunks are decoded here.
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        curl.setopt(pycurl.BUFFERSIZE, READ_BYTES)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, READ_BYTES)
        self._held.add(READ_BYTES + READ_BYTES)
        self._held.add(_CHUNKED_BYTES if is_chunked else 0)
        self._passed_bytes = 0
        self._incoming = Buffer(self._held)
        self._outgoing = Buffer(self._held)
        callbacks = (
            (pycurl.SOCKOPTFUNCTION, guard.configure, pycurl.SOCKOPT_ERROR),
            (pycurl.PREREQFUNCTION, self._allow, pycurl.PREREQFUNC_ABORT),
            (pycurl.HEADERFUNCTION, self._receive_header_line, _ABORT),
            (pycurl.WRITEFUNCTION, self._receive_chunk, _ABORT),
            (pycurl.READFUNCTION, self._provide_chunk, pycurl.READFUNC_ABORT),
        )
        for option, call, on_fault in callbacks:
            curl.setopt(option, curl_loop.guard(call, on_fault))

    @property
    def connect_s(self) -> float | None:
        """Seconds in which the connection opened.

        None for a kept one, which had served another request before.
        """
        if self._curl.getinfo(pycurl.NUM_CONNECTS):
            return self._curl.getinfo(pycurl.CONNECT_TIME)
        return None

    def start(self) -> None:
        """Start the transfer."""
        self._loop.add(self._curl, self._finish)

    def close(self) -> None:
        """End the transfer; an unfinished one closes its connection."""
        self._loop.remove(self._curl)
        self._curl.close()
        self._incoming.clear()
        self._outgoing.clear()
        self._held.close()

    async def wait_sent(self) -> bool:
        """Wait until the request is sent; False if it never is."""
        self._wakes_as_sent = True
        while not self.guard.is_sent and self.error is None:
            await self._changed.wait()
        return self.guard.is_sent

    async def wait_head(self) -> AnswerHead | None:
        """Wait for the answer's head; None if the transfer failed."""
        while self.answer.head is None and self.error is None:
            await self._changed.wait()
        return self.answer.head

    async def read_chunk(self) -> bytes:
        """Wait for a chunk of the answer; empty at the end or on failure.

        A chunk counts as held until the next one is asked for.
        """
        self._held.add(-self._passed_bytes)
        self._passed_bytes = 0
        while not self._incoming.size and self.error is None:
            await self._changed.wait()
        chunk = self._incoming.pop_all()
        self._passed_bytes = len(chunk)
        self._held.add(self._passed_bytes)
        if self._incoming.is_paused:
            self._incoming.is_paused = False
            self._loop.resume(self._curl)
        return chunk

    async def write_chunk(self, chunk: bytes) -> None:
        """Add a chunk of the request's body, after waiting for buffer space."""
        while self._outgoing.is_full and self.error is None:
            await self._changed.wait()
        self._outgoing.append(chunk)
        self._resume_sending()

    def has_sent(self, length: int | None) -> bool:
        """Whether the request's body was written to the connection.

        The end of a body without a known length was marked by `write_end`.
        """
        if length is None:
            if not self._outgoing.is_ended or self._outgoing.size:
                return False
            length = self._outgoing.total
        return self._curl.getinfo(pycurl.SIZE_UPLOAD_T) >= length

    def write_end(self) -> None:
        """Mark the request's body as complete."""
        self._outgoing.is_ended = True
        self._resume_sending()

    def _resume_sending(self) -> None:
        if self._outgoing.is_paused:
            self._outgoing.is_paused = False
            self._loop.resume(self._curl)

    def _finish(self, error: int) -> None:
        # Before the request is sent, an error says nothing of its answer.
        if self.guard.is_sent:
            error = self.answer.end(error, self._curl.errstr())
        self.error = error
        self._changed.set()

    def _allow(self, *address: str | int) -> int:
        # Most requests have nobody who waits for this.
        if self._wakes_as_sent:
            self._changed.set()
        return self.guard.allow(*address)

    def _receive_header_line(self, raw: bytes) -> int | None:
        if not self.answer.add_line(raw):
            return _ABORT
        if self.answer.head is not None:
            self._changed.set()
        return None

    def _receive_chunk(self, received: bytes) -> int | None:
        if self._incoming.is_full:
            self._incoming.is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        chunk = self.answer.decode(received)
        if self.answer.malformed is not None:
            return _ABORT
        if chunk:
            self._incoming.append(chunk)
            self._changed.set()
        return _ABORT if self.answer.has_surplus else None

    def _provide_chunk(self, size: int) -> bytes | int:
        if self._outgoing.size:
            self._changed.set()
            return self._outgoing.pop(size)
        if self._outgoing.is_ended:
            return b''
        self._outgoing.is_paused = True
        return pycurl.READFUNC_PAUSE
