"""What a line for each request costs a gateway."""

import asyncio
import os
import time
from types import MappingProxyType

import attrs

from bench.gateway_parts import BODY, REQUEST, make_context
from bench.loopback import LOOPBACK
from bench.measure import Findings, Measure
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.log import LineWriter
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.listener import CallerServer, ListenerContext

__all__ = ('measure',)

_REQUESTS = 1500
_ROUNDS = 5
#: Requests a second of the paced runs, and how many are sent at each rate.
_COUNT_BY_RATE = MappingProxyType({1: 5, 10: 40, 100: 300})
_PACED_ROUNDS = 4
_UNBOUNDED = 1_000_000_000
_MAX_PART = 0.1


@attrs.frozen
class _Pace:
    """How many requests, and the seconds between two of them."""

    count: int
    gap_s: float = 0


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
            *(_measure_rate(seed, rate) for rate in _COUNT_BY_RATE),
        ),
    )


def _measure_rate(seed: int, rate: int) -> Measure:
    """Processor time of the log at a steady rate, per request."""
    runs = [
        (_run_paced(seed, _UNBOUNDED, rate), _run_paced(seed, 0, rate))
        for _ in range(_PACED_ROUNDS)
    ]
    logged = min(on for on, _ in runs)
    silent = min(off for _, off in runs)
    part = logged / silent - 1
    return Measure(
        f'gateway_log_cost_at_{rate}_per_s',
        round(part, 3),
        'part of the processor time of a request without a log',
        f'at most {_MAX_PART}',
        seed,
        part <= _MAX_PART,
    )


def _run_paced(seed: int, bytes_per_s: float, rate: int) -> float:
    """Processor seconds a request."""
    pace = _Pace(_COUNT_BY_RATE[rate], 1 / rate)
    with open(os.devnull, 'wb') as sink:
        writer = _CountingWriter(sink.fileno())
        return asyncio.run(_play(seed, writer, bytes_per_s, pace)) / pace.count


def _run(seed: int, bytes_per_s: float) -> _Cost:
    with open(os.devnull, 'wb') as sink:
        writer = _CountingWriter(sink.fileno())
        seconds = asyncio.run(
            _play(seed, writer, bytes_per_s, _Pace(_REQUESTS))
        )
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


async def _play(
    seed: int,
    writer: LineWriter,
    bytes_per_s: float,
    pace: _Pace,
) -> float:
    """Processor seconds of all requests on one kept connection."""
    context = make_context(seed, writer, bytes_per_s)
    forwarder = GatewayForwarder(context)
    listener = ListenerContext(
        lambda answer: GatewayResponder(answer, context, forwarder, listener),
        context.counters,
    )
    server = CallerServer(listener)
    server.open(0, LOOPBACK)
    seconds = await _talk(server.ports[0], pace)
    await server.close_all_connections()
    server.stop()
    return seconds


async def _talk(port: int, pace: _Pace) -> float:
    """Processor seconds of all requests, one after the other."""
    reader, sender = await asyncio.open_connection(LOOPBACK, port)
    started = time.process_time()
    left = pace.count
    while left:
        left -= 1
        sender.write(REQUEST)
        await reader.readuntil(BODY)
        if pace.gap_s:
            await asyncio.sleep(pace.gap_s)
    sender.close()
    return time.process_time() - started
