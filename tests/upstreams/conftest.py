"""Fixtures for tests of upstream clients over real sockets."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import RequestError
from nutmegshore.resources import Upstream
from nutmegshore.upstreams import (
    AnswerReceiver,
    BodySource,
    UpstreamRequest,
)

_CUT = b'<cut>'
_HEAD_END = b'\r\n\r\n'


class RawUpstream:
    """Reads request heads and answers each with the next scripted bytes.

    `None` closes the connection without an answer, and an answer that ends in
    `<cut>` is followed by a close. Without a further answer the connection is
    neither read nor closed until `stalled` is set. `requests` holds every head
    received.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.closed = asyncio.Event()
        self.stalled = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1')
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def upstream(self):
        return Upstream(
            service='orders',
            region='west',
            availability_zone='west-a',
            address=f'127.0.0.1:{self.port}',
            slots=1,
        )

    async def _serve(self, reader, writer):
        try:
            await self._answer_all(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        writer.close()

    async def _answer_all(self, reader, writer):
        while True:
            self.requests.append(await reader.readuntil(_HEAD_END))
            if not self.answers:
                await self.stalled.wait()
            answer = self.answers.pop(0) if self.answers else None
            if answer is None:
                return
            writer.write(answer.removesuffix(_CUT))
            await writer.drain()
            if answer.endswith(_CUT):
                return


class Collector(AnswerReceiver):
    """Stores an answer; waits for `gate` before each chunk."""

    def __init__(self):
        self.head = None
        self.body = bytearray()
        self.gate = asyncio.Event()
        self.gate.set()

    async def begin(self, head):
        self.head = head

    async def receive(self, chunk):
        await self.gate.wait()
        self.body += chunk


class Pieces(BodySource):
    """Yields one piece `count` times; `read_count` are read so far."""

    def __init__(self, piece, count):
        self.piece = piece
        self.count = count
        self.read_count = 0

    async def chunks(self):
        while self.read_count < self.count:
            self.read_count += 1
            yield self.piece


@pytest.fixture
def fail():
    """Function that sends a request and returns the kind of its error."""

    async def send(client, raw, request, receiver):
        with pytest.raises(RequestError) as caught:
            await client.send('u1', raw.upstream(), request, receiver)
        return caught.value.kind

    return send


@pytest.fixture
def raw_upstream():
    """Class of scripted upstreams."""
    return RawUpstream


@pytest.fixture
def collector():
    """Class of answer receivers."""
    return Collector


@pytest.fixture
def pieces():
    """Class of request bodies."""
    return Pieces


@pytest.fixture
def make_request():
    """Function that builds a request with a 10 s deadline and changes."""

    def build(**changes):
        request = UpstreamRequest(
            request_id='r1',
            service='orders',
            method='GET',
            target='/orders/1',
            headers=(),
            deadline=SystemClock().now() + 10,
            may_run_twice=False,
        )
        return attrs.evolve(request, **changes)

    return build
