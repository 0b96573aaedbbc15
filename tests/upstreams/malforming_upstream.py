"""An upstream of our own whose answers are malformed."""

import asyncio
import contextlib
import re

_HEAD_END = b'\r\n\r\n'
_ID = re.compile(rb'(?i)\r\nrequest-id: *([^\r]*)')
_LENGTH = re.compile(rb'(?i)\r\ncontent-length: *([0-9]+)')
_CHUNKED = re.compile(rb'(?i)\r\ntransfer-encoding: *chunked')
_LAST_CHUNK = b'0\r\n\r\n'
#: Target whose requests get a sound answer.
SOUND_TARGET = b'/sound'
_SOUND = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nServer-Stamp: s\r\n'
    b'Content-Length: 5\r\n\r\nsound'
)


class MalformingUpstream:
    """Reads whole requests and answers each with the same bytes.

    `<id>` in the answer becomes the request's id. Requests whose target ends in
    `SOUND_TARGET` get a sound answer. A connection is closed `linger_s` after
    an answer to any other, unless a further request comes on it. `targets`
    holds what was asked for, `connections` counts those that were opened.
    """

    def __init__(self, answer, linger_s=0.05):
        self.answer = answer
        self.linger_s = linger_s
        self.targets = []
        self.connections = 0
        self.address = ''
        self._tasks_by_writer = {}

    @contextlib.asynccontextmanager
    async def open(self):
        """Serve within the context."""
        server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        async with server:
            yield self
            for writer in tuple(self._tasks_by_writer):
                writer.transport.abort()
            await asyncio.gather(*self._tasks_by_writer.values())

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks_by_writer[writer] = asyncio.current_task()
        ended = (asyncio.IncompleteReadError, ConnectionError, TimeoutError)
        with contextlib.closing(writer), contextlib.suppress(*ended):
            within_s = None
            while True:
                async with asyncio.timeout(within_s):
                    head = await reader.readuntil(_HEAD_END)
                await _read_body(reader, head)
                within_s = self._answer(writer, head)
                await writer.drain()

    def _answer(self, writer, head):
        """Answer a request; returns how long the next one may take."""
        target = head.split()[1]
        self.targets.append(target)
        is_sound = target.endswith(SOUND_TARGET)
        found = _ID.search(head)
        answer = _SOUND if is_sound else self.answer
        writer.write(answer.replace(b'<id>', found[1] if found else b''))
        return None if is_sound else self.linger_s


async def _read_body(reader, head):
    length = _LENGTH.search(head)
    if length is not None:
        await reader.readexactly(int(length[1]))
    elif _CHUNKED.search(head) is not None:
        await reader.readuntil(_LAST_CHUNK)
