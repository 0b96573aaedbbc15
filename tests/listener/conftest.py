"""Fixtures for tests of callers' connections."""

import asyncio
import collections
import contextlib
import pathlib
import ssl

import attrs
import pytest

from nutmegshore.counters import Counters
from nutmegshore.listener import (
    CallerServer,
    ListenerContext,
    ListenerLimits,
    Responder,
)

_TURNS = 20
_PATIENCE_S = 10
_TLS = pathlib.Path(__file__).parent.parent / 'operators' / 'tls'


class Desk:
    """Records requests by their targets, and holds their answers.

    The answer to a request follows the `release` of its target. `plays` has
    what a target does then, if it does not answer.
    """

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.bodies = {}
        self.plays = {}
        self._gates = collections.defaultdict(asyncio.Event)

    def release(self, *targets):
        for target in targets:
            self._gates[target].set()

    async def wait_release(self, target):
        await self._gates[target].wait()

    async def until(self, is_reached):
        """Wait until a condition holds."""
        async with asyncio.timeout(_PATIENCE_S):
            while not is_reached():
                await asyncio.sleep(0)

    async def settle(self):
        """Give everything that is ready its turn."""
        for _ in range(_TURNS):
            await asyncio.sleep(0.001)


class DeskResponder(Responder):
    """Answers with the target once the desk releases it."""

    def __init__(self, writer, desk):
        super().__init__(writer)
        self._desk = desk

    @property
    def may_run_ahead(self):
        return self.writer.request.target.startswith('/safe')

    async def run(self):
        target = self.writer.request.target
        self._desk.started.append(target)
        try:
            await self._answer(target)
        except asyncio.CancelledError:
            # A clean-up that takes turns, which nothing may cut.
            await self._desk.settle()
            self._desk.cancelled.append(target)
            raise

    async def refuse(self, error):
        await self.writer.write_error(error)

    async def _answer(self, target):
        if not self.body.is_whole:
            pieces = [piece async for piece in self.body.chunks()]
            self._desk.bodies[target] = b''.join(pieces)
        await self._desk.wait_release(target)
        play = self._desk.plays.get(target)
        if play is None:
            await self.writer.write_own(200, (), target.encode())
        else:
            await play(self.writer)


@attrs.define
class Session:
    """A listener with a desk, and one caller's connection to it."""

    desk: Desk
    server: CallerServer
    counters: Counters
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, *heads):
        """Send requests without waiting; a head is a target or bytes."""
        for head in heads:
            if isinstance(head, str):
                head = f'GET {head} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
            self.writer.write(head)

    async def read_answer(self):
        """Read one answer; return its status, whether it closes, its body."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')
        fields = dict(line.split(': ') for line in lines if line)
        length = int(fields['Content-Length'])
        body = await self.reader.readexactly(length)
        closes = fields.get('Connection') == 'close'
        return int(first.split()[1]), closes, body.decode()

    async def read_rest(self):
        """Read until the listener closes."""
        return await self.reader.read()


def _server_context():
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(_TLS / 'server.pem', _TLS / 'server.key')
    return context


def _caller_context():
    context = ssl.create_default_context(cafile=_TLS / 'ca.pem')
    context.check_hostname = False
    return context


@pytest.fixture
def converse():
    """Function that runs a session with a new connection to a listener."""

    async def run(session, limits, tls):
        desk = Desk()
        counters = Counters()
        server = CallerServer(
            ListenerContext(
                lambda writer: DeskResponder(writer, desk), counters, limits
            ),
            _server_context() if tls else None,
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(server.close_all_connections)
            stack.callback(server.stop)
            port = server.open(0, '127.0.0.1')
            streams = await asyncio.open_connection(
                '127.0.0.1', port, ssl=_caller_context() if tls else None
            )
            stack.callback(streams[1].close)
            async with asyncio.timeout(_PATIENCE_S):
                return await session(Session(desk, server, counters, *streams))

    def start(session, *, tls=False, **limits):
        return asyncio.run(run(session, ListenerLimits(**limits), tls))

    return start
