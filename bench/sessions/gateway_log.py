"""What a line for each request costs a gateway."""

import asyncio
import os
import time

import attrs

from bench.gateway_parts import BODY, REQUEST, make_parts
from bench.loopback import LOOPBACK
from bench.measure import Findings, Measure
from nutmegshore.gateway.exchange import GatewayExchange
from nutmegshore.gateway.forward import Forwarder
from nutmegshore.gateway.log import LineWriter
from nutmegshore.listener import CallerServer, ListenerParts

__all__ = ('measure',)

_REQUESTS = 1500
_ROUNDS = 5
_UNBOUNDED = 1_000_000_000
_MAX_PART = 0.1


@attrs.frozen
class _Cost:
    """Processor time and written bytes of one run, per request."""

    seconds: float
    line_bytes: float


def measure(seed: int) -> Findings:
    """Compare the same requests with the log on and off, by turns."""
    runs = [(_run(seed, _UNBOUNDED), _run(seed, 0)) for _ in range(_ROUNDS)]
    logged = min(on.seconds for on, _ in runs)
    silent = min(off.seconds for _, off in runs)
    part = logged / silent - 1
    line_bytes = runs[0][0].line_bytes
    return Findings(
        measures=(
            Measure(
                'gateway_log_cost',
                round(part, 3),
                'part of the processor time of a request without a log',
                f'at most {_MAX_PART}',
                seed,
                part <= _MAX_PART,
            ),
            Measure(
                'gateway_log_bytes',
                round(line_bytes, 1),
                'bytes a request',
                'none',
                seed,
            ),
        ),
    )


def _run(seed: int, bytes_per_s: float) -> _Cost:
    with open(os.devnull, 'wb') as sink:
        writer = _CountingWriter(sink.fileno())
        seconds = asyncio.run(_play(seed, writer, bytes_per_s))
    return _Cost(seconds / _REQUESTS, writer.written / _REQUESTS)


class _CountingWriter(LineWriter):
    """Counts the bytes that are handed to it."""

    def __init__(self, fd: int) -> None:
        super().__init__(fd)
        self.written = 0

    def info(self, line: str) -> None:
        """Count and write a line."""
        self.written += len(line) + 1
        super().info(line)


async def _play(seed: int, writer: LineWriter, bytes_per_s: float) -> float:
    """Processor seconds of all requests on one kept connection."""
    parts = make_parts(seed, writer, bytes_per_s)
    forwarder = Forwarder(parts)
    listener = ListenerParts(
        lambda answer: GatewayExchange(answer, parts, forwarder, listener),
        parts.counters,
    )
    server = CallerServer(listener)
    server.open(0, LOOPBACK)
    seconds = await _talk(server.ports[0])
    await server.close_all_connections()
    server.stop()
    return seconds


async def _talk(port: int) -> float:
    """Processor seconds of all requests, one after the other."""
    reader, sender = await asyncio.open_connection(LOOPBACK, port)
    started = time.process_time()
    left = _REQUESTS
    while left:
        left -= 1
        sender.write(REQUEST)
        await reader.readuntil(BODY)
    sender.close()
    return time.process_time() - started
