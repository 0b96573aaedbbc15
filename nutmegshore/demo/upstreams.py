"""Stand-in upstreams: small HTTP servers that keep a ledger of runs."""

import asyncio
import hashlib
import json
import random
import socket
import struct
import weakref
from http import HTTPStatus
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from nutmegshore.clock import Clock
from nutmegshore.demo.ledgers import Run, RunLedger

__all__ = (
    'CALLER_REGION',
    'DIGEST',
    'IDEMPOTENCY_KEY',
    'REQUEST_ID',
    'StandinUpstream',
    'UpstreamPlace',
)

#: Headers that callers send and entries pass on unchanged.
CALLER_REGION = 'Demo-Caller-Region'
REQUEST_ID = 'Demo-Request-Id'
IDEMPOTENCY_KEY = 'Idempotency-Key'
#: SHA-256 of the answer's body, set by the upstream.
DIGEST = 'Demo-Digest'

_LOOPBACK = '127.0.0.1'
_QUEUE_PER_SLOT = 4
#: A cold upstream is slower by up to this factor, until it has served enough.
_COLD_FACTOR = 3
_COLD_REQUESTS = 10
#: Service times lie between these multiples of the mean.
_SPREAD = (0.5, 1.5)
#: Zero linger makes a close send a reset instead of an orderly end.
_RESET = struct.pack('ii', 1, 0)


@attrs.frozen
class UpstreamPlace:
    """What an upstream serves, and how its answers are made.

    `service_s` is the mean time of one request in seconds, `answer_bytes`
    the size of an answer's body.
    """

    name: str
    service: str
    region: str
    slots: int
    is_idempotent: bool
    service_s: float
    answer_bytes: int


class _Server(HTTPServer):
    """Remembers its connections, which a kill resets."""

    streams: weakref.WeakSet[IOStream]

    def initialize(self, *positional: Any, **options: Any) -> None:
        super().initialize(*positional, **options)
        self.streams = weakref.WeakSet()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self.streams.add(stream)
        super().handle_stream(stream, address)


class StandinUpstream:
    """One upstream on a port that the system chooses.

    upstream = StandinUpstream(place, ledger, clock, random.Random(7))
    upstream.start()
    upstream.kill()
    upstream.start()  # comes back cold, on the same port
    """

    def __init__(
        self,
        place: UpstreamPlace,
        ledger: RunLedger,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Remember the place; nothing listens before `start`."""
        self.place = place
        self.port = 0
        self.is_alive = False
        self.is_leaving = False
        self.incarnation = 0
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._served = 0
        self._inside = 0
        self._slots = asyncio.Semaphore(place.slots)
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        """IP number and port."""
        return f'{_LOOPBACK}:{self.port}'

    @property
    def busy(self) -> int:
        """Requests inside, at most the slots."""
        return min(self._inside, self.place.slots)

    def start(self) -> None:
        """Listen; after a kill the port stays the same."""
        sockets = bind_sockets(self.port, _LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self._served = 0
        self._inside = 0
        self._slots = asyncio.Semaphore(self.place.slots)
        self._server = _Server(
            Application(
                [('.*', _UpstreamHandler, {'upstream': self})],
                log_function=_log_nothing,
            ),
        )
        self._server.add_sockets(sockets)
        self.is_alive = True

    def kill(self) -> None:
        """Stop at once and reset every connection."""
        self.is_alive = False
        self.incarnation += 1
        if self._server is None:
            return
        self._server.stop()
        for stream in list(self._server.streams):
            if stream.socket is not None:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    _RESET,
                )
            stream.close()
        self._server = None

    def is_full(self) -> bool:
        """Whether slots and queue are taken."""
        return self._inside >= self.place.slots * (1 + _QUEUE_PER_SLOT)

    async def run(self, run: Run) -> bool:
        """Run a request; False where the upstream was killed meanwhile."""
        born = self.incarnation
        self._inside += 1
        self._ledger.record_inside(self.place.name, self._inside)
        async with self._slots:
            if born == self.incarnation:
                self._ledger.runs.append(attrs.evolve(run, at=self.now()))
                await self._clock.sleep(self._draw_service_s())
        if born != self.incarnation:
            return False
        self._inside -= 1
        self._served += 1
        return True

    def now(self) -> float:
        """Reading of the clock."""
        return self._clock.now()

    def _draw_service_s(self) -> float:
        warmth = min(self._served / _COLD_REQUESTS, 1)
        factor = _COLD_FACTOR - (_COLD_FACTOR - 1) * warmth
        return self.place.service_s * factor * self._rng.uniform(*_SPREAD)


class _UpstreamHandler(RequestHandler):
    SUPPORTED_METHODS = ('GET', 'POST')  # noqa: WPS115 - tornado reads this

    def initialize(self, upstream: StandinUpstream) -> None:
        self.upstream = upstream

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def _serve(self) -> None:
        self.set_header('Nutmegshore-Load', str(self.upstream.busy))
        if self.upstream.is_leaving:
            self.set_header('Nutmegshore-Leaving', '1')
        if self.upstream.is_full():
            self.set_header('Nutmegshore-Not-Run', '1')
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()
            return
        run = _make_run(self.upstream, self.request.headers)
        if await self.upstream.run(run):
            self._answer(run)

    def _answer(self, run: Run) -> None:
        body = _write_answer(self.upstream.place, run, self.request.body)
        self.set_header(DIGEST, hashlib.sha256(body).hexdigest())
        self.finish(body)


def _make_run(upstream: StandinUpstream, headers: Any) -> Run:
    place = upstream.place
    return Run(
        upstream=place.name,
        service=place.service,
        region=place.region,
        caller_region=headers.get(CALLER_REGION, ''),
        request_id=headers.get(REQUEST_ID, ''),
        key=headers.get(IDEMPOTENCY_KEY, ''),
        at=upstream.now(),
        is_idempotent=place.is_idempotent,
    )


def _write_answer(place: UpstreamPlace, run: Run, received: bytes) -> bytes:
    """A first line of JSON that names the request, then filling."""
    first = {
        'answers': run.key or run.request_id,
        'service': place.service,
        'received': hashlib.sha256(received).hexdigest(),
    }
    line = json.dumps(first).encode()
    return b'\n'.join((line, b'.' * place.answer_bytes))


def _log_nothing(handler: RequestHandler) -> None:
    """Runs are in the ledger."""
