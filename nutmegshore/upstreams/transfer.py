"""One HTTP exchange with an upstream over libcurl."""

import asyncio
import collections

import pycurl

from nutmegshore.upstreams.base import AnswerHead
from nutmegshore.upstreams.multi import CurlLoop

__all__ = ('BUFFER_BYTES', 'READ_BYTES', 'Transfer')

#: Bytes that are held per direction; the sender is paused before the next
#: piece of `READ_BYTES` could exceed them.
BUFFER_BYTES = 262_144
#: Bytes that libcurl reads from a socket at once.
READ_BYTES = 65_536

_FIRST_FINAL_STATUS = 200


class Transfer:
    """The buffers and the state of one exchange.

    `is_sent` turns true before libcurl writes the first byte of the request
    to a connection, and stays so: only while it is false is it certain that
    the upstream saw nothing. `error` is libcurl's number, 0 for a whole
    answer, or None before the end.
    """

    def __init__(self, curl_loop: CurlLoop, curl: pycurl.Curl) -> None:
        """Connect the handle's callbacks; `start` runs it."""
        self.is_sent = False
        self.error: int | None = None
        self.head: AnswerHead | None = None
        self._loop = curl_loop
        self._curl = curl
        self._changed = asyncio.Event()
        self._lines: list[str] = []
        self._incoming = _Buffer()
        self._outgoing = _Buffer()
        curl.setopt(pycurl.PREREQFUNCTION, self._mark_sent)
        curl.setopt(pycurl.HEADERFUNCTION, self._take_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._take_chunk)
        curl.setopt(pycurl.READFUNCTION, self._give_chunk)

    def start(self) -> None:
        """Begin the exchange."""
        self._loop.add(self._curl, self._finish)

    def close(self) -> None:
        """End the exchange; an unfinished one loses its connection."""
        self._loop.remove(self._curl)
        self._curl.close()

    async def wait_head(self) -> AnswerHead | None:
        """Wait for the answer's head, or None if the exchange failed."""
        while self.head is None and self.error is None:
            await self._wait_change()
        return self.head

    async def read_chunk(self) -> bytes:
        """Wait for a piece of the answer; empty at the end or a failure."""
        while not self._incoming.size and self.error is None:
            await self._wait_change()
        chunk = self._incoming.pop_all()
        if self._incoming.is_paused:
            self._incoming.is_paused = False
            self._loop.resume(self._curl)
        return chunk

    async def write_chunk(self, chunk: bytes) -> None:
        """Give a piece of the request's body, and wait while it is full."""
        while self._outgoing.is_full and self.error is None:
            await self._wait_change()
        self._outgoing.append(chunk)
        self._resume_sending()

    def write_end(self) -> None:
        """Say that the request's body is whole."""
        self._outgoing.is_ended = True
        self._resume_sending()

    async def _wait_change(self) -> None:
        # The reader of the answer and the writer of the body both wait here;
        # each wakes on every change and looks at its own condition again.
        if self._changed.is_set():
            self._changed = asyncio.Event()
        await self._changed.wait()

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

    def _take_line(self, raw: bytes) -> None:
        if self.head is not None:
            # Trailers of a chunked answer are not passed on.
            return
        line = raw.decode('latin-1').rstrip('\r\n')
        if line:
            self._lines.append(line)
            return
        head = _parse_head(self._lines)
        self._lines = []
        if head.status >= _FIRST_FINAL_STATUS:
            self.head = head
            self._changed.set()

    def _take_chunk(self, chunk: bytes) -> int | None:
        if self._incoming.is_full:
            self._incoming.is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._incoming.append(chunk)
        self._changed.set()
        return None

    def _give_chunk(self, size: int) -> bytes | int:
        if self._outgoing.size:
            self._changed.set()
            return self._outgoing.take(size)
        if self._outgoing.is_ended:
            return b''
        self._outgoing.is_paused = True
        return pycurl.READFUNC_PAUSE


class _Buffer:
    """Pieces between a task and libcurl's callbacks."""

    def __init__(self) -> None:
        self.size = 0
        self.is_paused = False
        self.is_ended = False
        self._chunks: collections.deque[bytes] = collections.deque()

    @property
    def is_full(self) -> bool:
        return self.size + READ_BYTES > BUFFER_BYTES

    def append(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self.size += len(chunk)

    def take(self, size: int) -> bytes:
        chunk = self._chunks.popleft()
        if len(chunk) > size:
            self._chunks.appendleft(chunk[size:])
            chunk = chunk[:size]
        self.size -= len(chunk)
        return chunk

    def pop_all(self) -> bytes:
        whole = b''.join(self._chunks)
        self._chunks.clear()
        self.size = 0
        return whole


def _parse_head(lines: list[str]) -> AnswerHead:
    status = int(lines[0].split(maxsplit=2)[1])
    pairs = (line.partition(':') for line in lines[1:])
    return AnswerHead(
        status,
        tuple((name.strip(), text.strip()) for name, _, text in pairs),
    )
