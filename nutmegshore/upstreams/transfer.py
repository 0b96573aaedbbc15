"""One HTTP request and its answer over libcurl."""

import asyncio
import collections
import re

import pycurl

from nutmegshore.byte_budget import ByteBudget, HeldBytes
from nutmegshore.upstreams.base import AnswerHead
from nutmegshore.upstreams.multi import CurlLoop

__all__ = ('BUFFER_BYTES', 'READ_BYTES', 'Transfer')

#: Bytes buffered per direction; the sender is paused before another
#: `READ_BYTES` could exceed this limit. While the budget is short, it is paused
#: as soon as anything is buffered.
BUFFER_BYTES = 262_144
#: Bytes that libcurl reads from a socket, or from the request's body, in one
#: call. It keeps as much for each paused direction of a transfer.
READ_BYTES = 16_384

#: Bytes that libcurl buffers more for a body that it sends in chunks.
_CHUNKED_BYTES = 65_536
#: Bytes of an answer's heads and trailers together, interim heads included.
_MAX_HEAD_BYTES = 131_072
_FIRST_FINAL_STATUS = 200
#: libcurl also takes lines whose status has more digits, no end, or is no
#: status of HTTP.
_STATUS_LINE = re.compile('HTTP/[0-9.]+ ([1-5][0-9]{2})( .*)?')
#: Blanks around a header's text. Others, such as a no-break space, may be bytes
#: of a longer character.
_BLANKS = ' \t'
#: What a callback for received bytes returns to end the transfer.
_ABORT = 0


class Transfer:
    """The buffers and the state of one request and its answer.

    `is_sent` becomes true before libcurl writes the first byte of the request
    to a connection, and stays true: only while it is false is it certain that
    the upstream received nothing. `error` is libcurl's error number, 0 for a
    complete answer, or None before the end.
    """

    def __init__(
        self,
        curl_loop: CurlLoop,
        curl: pycurl.Curl,
        budget: ByteBudget | None = None,
        *,
        is_chunked: bool = False,
    ) -> None:
        """Set the handle's callbacks; `start` runs it.

        The body of the request is sent in chunks if its length is not known.
        """
        budget = budget or ByteBudget()
        self._held = budget.hold()
        self.is_sent = False
        self.error: int | None = None
        self.head: AnswerHead | None = None
        self._loop = curl_loop
        self._curl = curl
        self._changed = _Change()
        self._lines: list[str] = []
        self._head_bytes = 0
        curl.setopt(pycurl.BUFFERSIZE, READ_BYTES)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, READ_BYTES)
        self._held.add(READ_BYTES + READ_BYTES)
        self._held.add(_CHUNKED_BYTES if is_chunked else 0)
        self._passed_bytes = 0
        self._incoming = _Buffer(self._held)
        self._outgoing = _Buffer(self._held)
        callbacks = (
            (pycurl.PREREQFUNCTION, self._mark_sent, pycurl.PREREQFUNC_ABORT),
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

    async def wait_head(self) -> AnswerHead | None:
        """Wait for the answer's head; None if the transfer failed."""
        while self.head is None and self.error is None:
            await self._changed.wait()
        return self.head

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
        self.error = error
        self._changed.set()

    def _mark_sent(self, *connection: object) -> int:
        self.is_sent = True
        return pycurl.PREREQFUNC_OK

    def _receive_header_line(self, raw: bytes) -> int | None:
        self._head_bytes += len(raw)
        if self._head_bytes > _MAX_HEAD_BYTES:
            return _ABORT
        # Trailers of a chunked answer are not passed on.
        is_read = self.head is not None or self._add_line(raw)
        return None if is_read else _ABORT

    def _add_line(self, raw: bytes) -> bool:
        """Add a line of a head; False if it ends one that cannot be read."""
        if not raw.endswith(b'\n'):
            # libcurl takes a head for complete that breaks off in its last line
            # end. Without a length, the answer would be an empty success.
            return True
        line = raw.decode('latin-1').rstrip('\r\n')
        if line:
            self._lines.append(line)
            return True
        head = _parse_head(self._lines)
        self._lines = []
        if head is not None and head.status >= _FIRST_FINAL_STATUS:
            self.head = head
            self._changed.set()
        return head is not None

    def _receive_chunk(self, chunk: bytes) -> int | None:
        if self._incoming.is_full:
            self._incoming.is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._incoming.append(chunk)
        self._changed.set()
        return None

    def _provide_chunk(self, size: int) -> bytes | int:
        if self._outgoing.size:
            self._changed.set()
            return self._outgoing.pop(size)
        if self._outgoing.is_ended:
            return b''
        self._outgoing.is_paused = True
        return pycurl.READFUNC_PAUSE


class _Change:
    """Wakes the reader of the answer and the writer of the body.

    Both wake on every change, and check their own condition again.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        self._event.set()

    async def wait(self) -> None:
        if self._event.is_set():
            self._event = asyncio.Event()
        await self._event.wait()


class _Buffer:
    """Chunks queued between a task and libcurl's callbacks."""

    def __init__(self, held: HeldBytes) -> None:
        self.size = 0
        self.total = 0
        self.is_paused = False
        self.is_ended = False
        self._held = held
        self._chunks: collections.deque[memoryview] = collections.deque()

    @property
    def is_full(self) -> bool:
        if self._held.budget.is_short:
            return self.size > 0
        return self.size + READ_BYTES > BUFFER_BYTES

    def append(self, chunk: bytes) -> None:
        self._chunks.append(memoryview(chunk))
        self._resize(len(chunk))
        self.total += len(chunk)

    def pop(self, size: int) -> bytes:
        # Views of the chunk, as copies of the rest would add up.
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._resize(-len(chunk))
        return bytes(chunk)

    def pop_all(self) -> bytes:
        joined = b''.join(self._chunks)
        self.clear()
        return joined

    def clear(self) -> None:
        self._chunks.clear()
        self._resize(-self.size)

    def _resize(self, change: int) -> None:
        self.size += change
        self._held.add(change)


def _parse_head(lines: list[str]) -> AnswerHead | None:
    """Return a head, or None if its first line names no status."""
    found = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if found is None:
        return None
    pairs = (line.partition(':') for line in lines[1:])
    return AnswerHead(
        int(found.group(1)),
        tuple(
            (name.strip(_BLANKS), text.strip(_BLANKS))
            for name, _, text in pairs
        ),
    )
