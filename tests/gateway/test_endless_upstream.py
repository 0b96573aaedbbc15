"""Tests of a whole gateway whose upstreams send bytes without end, over real
sockets."""

import asyncio
import contextlib
import resource
from types import MappingProxyType

import pytest

_ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: sound\r\nServer-Stamp: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
_OK = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n'
_PIECES = 16
#: Requests that the faulty upstream is given at the same time.
_ENDLESS_REQUESTS = 24
_TIMEOUT_S = 2
_SOUND_REQUESTS = 20
#: Seconds within which a sound answer arrives, for machines that are busy.
_SOUND_S = 1.5
#: Buffers of 0.5 MiB for each request and for each end of its connection.
_MAX_GROWTH_KIB = 2 * 1024 * _ENDLESS_REQUESTS

_CHUNKED = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n'
)
#: How an answer begins, and what is then sent without end.
_ENDLESS = MappingProxyType(
    {
        'no_answer': (b'', b'x' * 4096),
        'lines': (b'', b'no answer\r\n' * 400),
        'status': (b'HTTP/1.1 200 ', b'x' * 4096),
        'headers': (_OK, b'X-More: 1\r\n' * 400),
        'header': (_OK, b'x' * 4096),
        'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 200),
        'chunks': (
            b'%b\r\n' % _CHUNKED,
            b'\r\n'.join((b'1000', b'x' * 4096, b'')),
        ),
        'chunk_size': (b'%b\r\n' % _CHUNKED, b'0' * 4096),
        'trailers': (b'%b\r\n0\r\n' % _CHUNKED, b'X-Trailer: 1\r\n' * 400),
        'unframed': (b'%b\r\n' % _OK, b'x' * 4096),
    }
)


async def _answer_soundly(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_ANSWER)
            await writer.drain()
    writer.close()


class EndlessUpstream:
    """Sends a start and then the same piece until the caller closes."""

    def __init__(self, start, piece):
        self.open_count = 0
        self.served_count = 0
        self._start = start
        self._piece = piece

    async def serve(self, reader, writer):
        self.open_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            self.served_count += 1
            writer.write(self._start)
            while not writer.is_closing():
                writer.write(self._piece * _PIECES)
                await writer.drain()
                await asyncio.sleep(0)
        self.open_count -= 1
        writer.close()


def _fill(store, ports):
    """Configure a service for each port, with a route of the same name."""
    routes = {
        name: {
            'Host': 'a.example',
            'PathPrefix': f'/{name}/',
            'Kind': 'unsafe',
            'TimeoutS': _TIMEOUT_S,
            'TargetLatencyS': 0.4,
            'Service': name,
        }
        for name in ports
    }
    services = {name: {} for name in ports}
    spec = {'Version': '00000001', 'Routes': routes, 'Services': services}
    store.put('config', 'main', spec)
    for name, port in ports.items():
        entry = {
            'Addr': f'127.0.0.1:{port}',
            'Info': {'Service': name, 'Zone': 'west-a', 'Slots': 50},
            'Status': {'State': 'ready', 'Sequence': 1, 'ColdLeftS': 0},
        }
        store.put('servers', f'i-{name}', entry)


async def _ask(port, name):
    """Send one request and return how the answer begins, and its length."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'GET /{name}/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\n'
        'Connection: close\r\n\r\n'.encode(),
    )
    begin = b''
    length = 0
    with contextlib.suppress(ConnectionError):
        while piece := await reader.read(65_536):
            begin = begin or piece
            length += len(piece)
    writer.close()
    return begin, length


def _peak_kib():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


@pytest.fixture
def run_beside(open_gateway):
    """Run a session beside a gateway with a sound and a faulty upstream."""

    async def running(session, faulty):
        servers = [
            await asyncio.start_server(serve, '127.0.0.1', 0)
            for serve in (_answer_soundly, faulty.serve)
        ]
        ports = [one.sockets[0].getsockname()[1] for one in servers]
        named = dict(zip(('sound', 'endless'), ports, strict=True))
        async with contextlib.AsyncExitStack() as stack:
            for server in servers:
                stack.callback(server.close)
            daemon, _ = await stack.enter_async_context(
                open_gateway(lambda store: _fill(store, named))
            )
            await daemon.start()
            stack.push_async_callback(daemon.stop)
            return await session(daemon.caller_port)

    return lambda session, faulty: asyncio.run(running(session, faulty))


@pytest.mark.parametrize('kind', _ENDLESS)
def test_bytes_without_end_do_not_reach_other_callers(run_beside, kind):
    """Guards against LOST: bytes without end that are no answer used up the
    memory of a gateway, and the requests of other callers ended with it."""
    faulty = EndlessUpstream(*_ENDLESS[kind])

    async def session(port):
        before_kib = _peak_kib()
        endless = [
            asyncio.ensure_future(_ask(port, 'endless'))
            for _ in range(_ENDLESS_REQUESTS)
        ]
        for _ in range(_SOUND_REQUESTS):
            begin, _ = await asyncio.wait_for(_ask(port, 'sound'), _SOUND_S)
            assert begin.startswith(b'HTTP/1.1 200')
            assert begin.endswith(b'\r\n\r\nok')
            await asyncio.sleep(0.05)
        answers = await asyncio.wait_for(
            asyncio.gather(*endless), 3 * _TIMEOUT_S
        )
        growth_kib = _peak_kib() - before_kib
        await asyncio.sleep(0.2)
        return answers, growth_kib

    answers, growth_kib = run_beside(session, faulty)
    assert faulty.served_count >= _ENDLESS_REQUESTS / 2
    assert not faulty.open_count
    assert growth_kib < _MAX_GROWTH_KIB
    # An endless body that is passed on is cut, and never looks complete.
    for begin, _ in answers:
        if begin.startswith(b'HTTP/1.1 200'):
            assert kind == 'chunks'
        else:
            assert begin.split()[1] in {b'502', b'503', b'504'}
