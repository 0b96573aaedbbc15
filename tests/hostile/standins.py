"""Stand-ins of the store and of an upstream in a thread of the test."""

import asyncio
import contextlib
import re
import socket
import threading

from tornado.httpserver import HTTPServer

from nutmegshore.platform.standin import StandinStore, make_store_application
from nutmegshore.store import MemoryStore
from nutmegshore.store.standin import make_standin

_LOOPBACK = '127.0.0.1'
_SLOTS = 2000
_READ_BYTES = 262_144
#: Bytes of the answer, in the path.
_ANSWER_BYTES = re.compile(rb'answer-([0-9]+)')
_LENGTH = re.compile(rb'(?i)content-length: *([0-9]+)')
_REQUEST_ID = re.compile(rb'(?i)\r\nrequest-id: *([^\r]*)')
_CHUNKED = re.compile(rb'(?i)transfer-encoding: *chunked')


class StandIns:
    """A platform store, an object API and an upstream on loopback.

    The upstream drops bodies as they arrive. It reads no body for a path with
    `stall`, and answers a path with `answer-N` with N bytes.
    """

    def __init__(self, max_body_bytes, idle_s=60, head_s=30):
        self._limits = {
            'MaxBodyBytes': max_body_bytes,
            'IdleTimeoutS': idle_s,
            'HeaderTimeoutS': head_s,
        }
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._is_ready = threading.Event()
        self._tasks = set()
        self.store_port = 0
        self.object_port = 0
        self.upstream_port = 0

    def __enter__(self):
        self._thread.start()
        assert self._is_ready.wait(20)
        return self

    def __exit__(self, *failure):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(20)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._open())
        self._is_ready.set()
        self._loop.run_forever()

    async def _open(self):
        server = await asyncio.start_server(
            self._serve, _LOOPBACK, 0, limit=_READ_BYTES, backlog=2000
        )
        self.upstream_port = server.sockets[0].getsockname()[1]
        store = StandinStore()
        store.put('config', 'main', self._configuration())
        store.put('servers', 'i-1', self._registration())
        self.store_port = _listen(make_store_application(store))
        self.object_port = _listen(make_standin(MemoryStore()))

    def _configuration(self):
        return {
            'Version': '00000001',
            'Routes': {
                'read': _route('/read/', 'safe'),
                'upload': _route('/up/', 'upload'),
            },
            'Services': {'files': {}},
            'Limits': self._limits,
        }

    def _registration(self):
        return {
            'Addr': f'{_LOOPBACK}:{self.upstream_port}',
            'Info': {'Service': 'files', 'Zone': 'west-a', 'Slots': _SLOTS},
            'Status': {'State': 'ready', 'Sequence': 1, 'ColdLeftS': 0},
        }

    async def _serve(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(OSError, EOFError):
            while await self._answer_one(reader, writer):
                await writer.drain()

    async def _answer_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        target = head.split(b' ', 2)[1]
        if b'stall' in target:
            await asyncio.sleep(60)
        await _skip_body(reader, head)
        asked = _ANSWER_BYTES.search(target)
        size = int(asked.group(1)) if asked else 2
        request_ids = [*_REQUEST_ID.findall(head), b'']
        lines = (
            b'HTTP/1.1 200 OK',
            b'Server-Stamp: s',
            b'Request-Id: %b' % request_ids[0],
            b'Content-Length: %d' % size,
        )
        writer.write(b'\r\n'.join((*lines, b'', b'')))
        left = size
        while left:
            piece = bytes(min(left, 65_536))
            writer.write(piece)
            await writer.drain()
            left -= len(piece)
        return True


async def _skip_body(reader, head):
    if _CHUNKED.search(head):
        size = await _read_size(reader)
        while size:
            await _skip(reader, size + 2)
            size = await _read_size(reader)
        await reader.readline()
        return
    found = _LENGTH.search(head)
    await _skip(reader, int(found.group(1)) if found else 0)


async def _read_size(reader):
    line = await reader.readline()
    if not line:
        raise EOFError
    return int(line, 16)


async def _skip(reader, count):
    while count:
        piece = await reader.read(min(count, _READ_BYTES))
        if not piece:
            raise EOFError
        count -= len(piece)


def _route(prefix, kind):
    return {
        'Host': 'a.example',
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutS': 60,
        'TargetLatencyS': 20,
        'Service': 'files',
    }


def _listen(application):
    listening = socket.create_server((_LOOPBACK, 0), backlog=128)
    listening.setblocking(False)
    server = HTTPServer(application)
    server.add_socket(listening)
    return listening.getsockname()[1]
