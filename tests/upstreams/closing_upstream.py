"""An upstream that counts arrivals and closes connections of its own accord."""

import asyncio
import re

from nutmegshore.resources import Upstream

_HEAD_END = b'\r\n\r\n'
_ANSWER = (
    'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: {}\r\n'
    'Content-Length: 2\r\n\r\nok'
)
_ID = re.compile('request-id: *([^\r]*)')
_DEADLINE = re.compile('deadline-ms: *([0-9]+)')


class ClosingUpstream:
    """Counts the requests that arrive, and closes connections.

    `arrivals` holds their targets, `bodies` what came with them, and
    `remaining_ms` the time that each was given. A connection closes `idle_s`
    after each answer, if that is set. A request whose target has `lost` is read
    and works for `work_s`; then its connection is reset, without an answer.
    That befalls all requests while `loses` is set, and with `loses_kept` all
    but the first of each connection. Requests whose target has `slow` are
    answered after `work_s`.
    """

    def __init__(self, idle_s=None, work_s=0):
        self.arrivals = []
        self.connections = 0
        self.bodies = []
        self.remaining_ms = []
        self.loses = False
        self.loses_kept = False
        self._idle_s = idle_s
        self._work_s = work_s

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1')
        self.address = '127.0.0.1:{}'.format(
            self.server.sockets[0].getsockname()[1]
        )
        return self

    def upstream(self):
        return Upstream(
            service='orders',
            region='west',
            availability_zone='west-a',
            address=self.address,
            slots=1,
        )

    def count(self, part):
        return sum(part in target for target in self.arrivals)

    async def _serve(self, reader, writer):
        self.connections += 1
        served = 0
        try:
            while await self._answer_one(reader, writer, served):
                served += 1
                if self._idle_s is not None:
                    await asyncio.sleep(self._idle_s)
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            """The client has left."""
        writer.close()

    async def _answer_one(self, reader, writer, served):
        head = (await reader.readuntil(_HEAD_END)).decode()
        target = head.split(' ')[1]
        self._record(target, head.lower())
        self.bodies.append(await _read_body(head.lower(), reader))
        is_lost = self.loses or 'lost' in target
        is_lost = is_lost or self.loses_kept and served
        if is_lost or 'slow' in target:
            await asyncio.sleep(self._work_s)
        if is_lost:
            writer.transport.abort()
            return False
        request_id = _ID.search(head.lower()).group(1)
        writer.write(_ANSWER.format(request_id).encode())
        await writer.drain()
        return True

    def _record(self, target, head):
        self.arrivals.append(target)
        found = _DEADLINE.search(head)
        self.remaining_ms.append(int(found.group(1)) if found else None)


async def _read_body(head, reader):
    if 'transfer-encoding: chunked' in head:
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    _, found, rest = head.partition('content-length: ')
    return await reader.readexactly(int(rest.split('\r\n')[0]) if found else 0)
