"""Fixtures for tests of the listener and the forwarder."""

import asyncio
import contextlib
import random

import attrs
import pytest

from nutmegshore.callers import (
    CallerForwarder,
    CallerRequest,
    EntryAnswer,
    LookupAnswer,
    make_caller_application,
)
from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener import CallerServer, ListenerLimits
from nutmegshore.steering import Steering, SteeringDependencies
from nutmegshore.upstreams import AnswerHead, UpstreamClient

_OK = AnswerHead(200, (('Content-Length', '2'),))
_LIMITS = ListenerLimits(head_bytes=2_000, head_s=5, body_s=5, linger_s=1)


@attrs.define
class Step:
    """Result of one attempt: a failure, an answer, or a cut answer."""

    failure: ErrorKind | None = None
    head: AnswerHead | None = _OK
    chunks: tuple = (b'ok',)


class ScriptedUpstreams(UpstreamClient):
    """Plays one step per attempt and repeats the last one.

    `sent` holds each attempt's upstream and request, `bodies` the bodies that
    were read. Each attempt waits for `gate` after reading the body.
    """

    def __init__(self, *steps):
        self.steps = list(steps) or [Step()]
        self.sent = []
        self.bodies = []
        self.cancelled = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    async def send(self, name, upstream, request, receiver):
        self.sent.append((name, request))
        number = min(len(self.sent), len(self.steps))
        step = self.steps[number - 1]
        try:
            await self._read(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        if step.head is not None:
            await receiver.begin(step.head)
            for chunk in step.chunks:
                await receiver.receive(chunk)
        if step.failure is not None:
            raise RequestError(step.failure, name)
        return step.head

    async def _read(self, request):
        body = bytearray()
        if request.body is not None:
            request.body.is_started = True
            async for piece in request.body.chunks():
                body.extend(piece)
        self.bodies.append(bytes(body))
        await self.gate.wait()


@attrs.define
class Listener:
    """A listener on a free port with its forwarder and counters."""

    port: int
    server: CallerServer
    forwarder: CallerForwarder
    counters: Counters

    async def talk(self, *sent):
        """Send pieces and read until the listener closes."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        for piece in sent:
            writer.write(piece)
            await writer.drain()
        received = await reader.read()
        writer.close()
        return received

    def refused(self, kind):
        return self.counters.total('requests_refused', reason=kind.value)


@pytest.fixture
def step():
    """Class of steps of scripted upstreams."""
    return Step


@pytest.fixture
def scripted():
    """Class of scripted upstreams."""
    return ScriptedUpstreams


@pytest.fixture
def make_steering(table, declare):
    """Function that builds steering with four upstreams per service."""
    place = {'region': 'west', 'availability_zone': 'west-a'}
    found = [
        declare('region', 'west', {'availability_zones': ['west-a']}),
        declare('service', 'orders', {}),
        declare('service', 'tallies', {'idempotent': True}),
    ]
    for service in ('orders', 'tallies'):
        found.extend(
            declare(
                'upstream',
                f'{service}-{number}',
                {
                    **place,
                    'service': service,
                    'address': f'127.0.0.1:{number}',
                    'slots': 3,
                },
            )
            for number in range(1, 5)
        )
    table.merge(found)
    return lambda clock: Steering(
        table, 'west', random.Random(7), SteeringDependencies(clock)
    )


@pytest.fixture
def order():
    """Function that builds a caller's request, with changes."""

    def build(**changes):
        request = CallerRequest('r1', 'orders', 'POST', '/orders', ())
        return attrs.evolve(request, **changes)

    return build


@pytest.fixture
def listen(make_steering):
    """Context manager that opens a listener on a free port."""

    @contextlib.asynccontextmanager
    async def opened(upstreams, clock=None, **changes):
        clock = clock or SystemClock()
        counters = Counters()
        forwarder = CallerForwarder(
            make_steering(clock), upstreams, clock, counters
        )
        entries = (EntryAnswer('e1', '127.0.0.1:1', 'west'),)
        application = make_caller_application(
            forwarder,
            lambda service: LookupAnswer(entries, 5.5),
            counters,
            clock,
            attrs.evolve(_LIMITS, **changes),
        )
        server = application.listen(0, '127.0.0.1')
        try:
            yield Listener(server.ports[0], server, forwarder, counters)
        finally:
            server.stop()
            await server.close_all_connections()

    return opened
