"""Tests of faults of our own code in libcurl's callbacks."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import RequestError
from nutmegshore.upstreams.curl import CurlUpstreams

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_WORK_S = 0.3
_HEAD_START_S = 0.1


class _Upstream:
    """The address of an upstream."""

    def __init__(self, port):
        self.address = f'127.0.0.1:{port}'


async def _answer(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    await asyncio.sleep(_WORK_S)
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
