"""Tests of upstreams that send bytes without end, over real sockets."""

import asyncio
import contextlib
import resource

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.upstreams.curl import CurlUpstreams

_PIECES = 64
_DEADLINE_S = 1
_HANG_TIMEOUT_S = 5
_MAX_GROWTH_KIB = 16 * 1024
_LOST = frozenset((ErrorKind.UPSTREAM_LOST, ErrorKind.DEADLINE_AFTER_SEND))

_ENDLESS = (
    # Not HTTP at all, with and without lines.
    (b'', b'x' * 4096),
    (b'', b'no answer\r\n' * 400),
    # A head that never ends.
    (b'HTTP/1.1 200 ', b'x' * 4096),
    (b'HTTP/1.1 200 OK\r\n', b'X-More: 1\r\n' * 400),
    (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x' * 4096),
    # Interim answers without end.
    (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 200),
    # A chunked body that never ends: its data, size, extension or trailers.
    (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'\r\n'.join((b'1000', b'x' * 4096, b'')),
    ),
    (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', b'0' * 4096),
    (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;', b'x' * 4096),
    (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Trailer: 1\r\n' * 400,
    ),
)


class EndlessUpstream:
    """Sends a start and then the same piece until the caller closes."""

    def __init__(self, start, piece):
        self._start = start
        self._piece = piece
        self.closed = asyncio.Event()

    async def open(self, raw):
        raw.server = await asyncio.start_server(self._serve, '127.0.0.1')
        raw.port = raw.server.sockets[0].getsockname()[1]
        return raw

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            while not writer.is_closing():
                writer.write(self._piece * _PIECES)
                await writer.drain()
                await asyncio.sleep(0)
        self.closed.set()
        writer.close()


def _peak_kib():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


@pytest.mark.parametrize(('start', 'piece'), _ENDLESS)
def test_bytes_without_end_are_bounded(
    start, piece, raw_upstream, collector, make_request
):
    """Guards against a faulty upstream that uses up the gateway's memory or
    time, against its connection staying open, and against "not run" or a
    success for an answer that never ended."""

    async def session():
        endless = EndlessUpstream(start, piece)
        raw = await endless.open(raw_upstream())
        clock = SystemClock()
        request = make_request(deadline=clock.now() + _DEADLINE_S)
        receiver = collector()
        # The receiver blocks, so that the whole answer would be buffered.
        receiver.gate.clear()
        with contextlib.closing(CurlUpstreams(clock)) as client:
            with pytest.raises(RequestError) as caught:
                async with asyncio.timeout(_HANG_TIMEOUT_S):
                    await client.send('u1', raw.upstream(), request, receiver)
            await asyncio.wait_for(endless.closed.wait(), 2)
        raw.server.close()
        return caught.value.kind

    before_kib = _peak_kib()
    kind = asyncio.run(session())
    assert kind in _LOST
    assert _peak_kib() - before_kib < _MAX_GROWTH_KIB
