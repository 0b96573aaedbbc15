"""A sound backend for safe requests, and a client of kept connections."""

import asyncio

from standins.gateway import pick_host
from standins.http import read_body, read_head, write_head


class Backend:
    """Answers each request after `work_s`; `arrivals` has (time, id)."""

    def __init__(self, name, work_s=0.05, body=b'ok'):
        self.name = name
        self.body = body
        self.arrivals = []
        self._work_s = work_s

    async def open(self):
        """Serve on a free port; return the address."""
        server = await asyncio.start_server(self._serve, pick_host(), 0)
        return '%s:%d' % server.sockets[0].getsockname()

    async def handle(self, head):
        """Do the work of a request; a subclass may fail in it."""

    async def _serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                request_id = head.headers.get('request-id', '')
                expected = head.headers.get('expect-instance', self.name)
                is_other = expected != self.name
                if not is_other:
                    self.arrivals.append((loop.time(), request_id))
                    await self.handle(head)
                    await asyncio.sleep(self._work_s)
                await self._answer(writer, request_id, is_other=is_other)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, request_id, *, is_other):
        if is_other:
            headers = (('Instance-Id', self.name), ('Content-Length', '0'))
            start = 'HTTP/1.1 421 Misdirected Request'
            writer.write(write_head(start, headers))
        else:
            headers = (
                ('Request-Id', request_id),
                ('Server-Stamp', f'{self.name}.{request_id}'),
                ('Server-Load', '1,0,3'),
                ('Content-Length', len(self.body)),
            )
            head = write_head('HTTP/1.1 200 OK', headers)
            writer.write(head + self.body)
        await writer.drain()


async def get(address, path, request_id, deadline_ms):
    """Send one GET on a new connection; return the status, 0 for none."""
    host, _, port = address.rpartition(':')
    headers = (
        ('Host', 'hulo84.example'),
        ('Request-Id', request_id),
        ('Deadline-Ms', deadline_ms),
        ('Connection', 'close'),
    )
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except ConnectionError:
        return 0
    try:
        writer.write(write_head(f'GET {path} HTTP/1.1', headers))
        async with asyncio.timeout(deadline_ms / 1000):
            head = await read_head(reader)
            if head is None:
                return 0
            await read_body(reader, head)
            return int(head.start[1])
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()
