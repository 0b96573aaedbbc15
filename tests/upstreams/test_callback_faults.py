"""Tests of faults of our own code in libcurl's callbacks."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import RequestError
from nutmegshore.faults import Faults
from nutmegshore.upstreams.curl import CurlUpstreams
from nutmegshore.upstreams.transfer import Transfer

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_WORK_S = 0.3
_HEAD_START_S = 0.1


class _Upstream:
    """The address of an upstream."""

    def __init__(self, port):
        self.address = f'127.0.0.1:{port}'


async def _answer(reader, writer):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        # A client that meets the fault first leaves without a request.
        writer.close()
        return
    # The answer to a request that gets a fault comes first.
    await asyncio.sleep(0 if head.startswith(b'POST') else _WORK_S)
    writer.write(_ANSWER)
    await writer.drain()
    writer.close()


def _fail_once(monkeypatch, method):
    loop = asyncio.get_running_loop()
    work = getattr(loop, method)
    failures = [ZeroDivisionError('of a test')]

    def fail_first(*given):
        if failures:
            raise failures.pop()
        return work(*given)

    monkeypatch.setattr(loop, method, fail_first)


@pytest.mark.expects_faults
@pytest.mark.parametrize('method', ['add_reader', 'call_later'])
def test_a_fault_in_a_callback_ends_no_other_transfer(
    make_request, collector, monkeypatch, method
):
    """Guards against losing the answers to all requests that run, since one
    callback raised an exception to libcurl."""

    async def session():
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        upstream = _Upstream(server.sockets[0].getsockname()[1])
        with contextlib.closing(CurlUpstreams(SystemClock())) as client:

            def send():
                return client.send('u1', upstream, make_request(), collector())

            beside = asyncio.ensure_future(send())
            await asyncio.sleep(_HEAD_START_S)
            _fail_once(monkeypatch, method)
            with contextlib.suppress(RequestError):
                await send()
            head = await beside
        server.close()
        return head.status

    assert asyncio.run(session()) == 200


def _break_once(monkeypatch, method):
    """Let a method of all transfers fail the next time it is called."""
    work = getattr(Transfer, method)
    failures = [ZeroDivisionError('of a test')]

    def fail_first(*given):
        if failures:
            raise failures.pop()
        return work(*given)

    monkeypatch.setattr(Transfer, method, fail_first)


class _Body:
    """A body that can be sent once."""

    length = 4
    can_replay = False

    def __init__(self):
        self.is_started = False

    async def chunks(self):
        self.is_started = True
        yield b'body'


@pytest.mark.expects_faults
@pytest.mark.parametrize(
    'method',
    [
        '_allow',
        '_receive_header_line',
        '_receive_chunk',
        '_provide_chunk',
        '_finish',
    ],
)
def test_a_fault_in_a_transfer_is_reported_and_ends_only_it(
    make_request, collector, monkeypatch, capsys, method
):
    """Guards against a fault in a callback of libcurl that reaches standard
    error only, or that ends the requests beside it (issue 47)."""
    counters = Counters()

    async def session():
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        upstream = _Upstream(server.sockets[0].getsockname()[1])
        client = CurlUpstreams(SystemClock(), faults=Faults(counters))
        with contextlib.closing(client):

            def send(**changes):
                request = make_request(**changes)
                return client.send('u1', upstream, request, collector())

            beside = asyncio.ensure_future(send())
            await asyncio.sleep(_HEAD_START_S)
            _break_once(monkeypatch, method)
            with contextlib.suppress(RequestError, TimeoutError):
                async with asyncio.timeout(2):
                    await send(method='POST', body=_Body())
            heads = [await beside, await send()]
        server.close()
        return {head.status for head in heads}

    assert asyncio.run(session()) == {200}
    assert counters.total('internal_faults', part='curl') == 1
    assert 'internal_fault' in capsys.readouterr().out
