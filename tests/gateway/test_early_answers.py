"""Tests of uploads through a gateway whose upstream answers early."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.gateway.route import RouteKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams
from tests.gateway.caller_port import open_caller_port
from tests.upstreams.early_upstream import (
    PIECE,
    UNFRAMED,
    EarlyUpstream,
    half_close,
    half_close_and_read,
    reset,
    sleep_and_reset,
)

#: Pieces of a body that is kept before it is sent, and of one that is streamed.
_KEPT, _STREAMED = 15, 64
_HEAD = (
    b'POST /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n'
    b'Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: %d\r\n\r\n'
)


@pytest.fixture
def upload(make_context, route, upstream):
    """Function that uploads pieces to an upstream; returns the answer."""

    async def talk(port, count):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        with contextlib.closing(writer):
            writer.write(_HEAD % (count * len(PIECE)))
            with contextlib.suppress(ConnectionError):
                for _ in range(count):
                    writer.write(PIECE)
                    await writer.drain()
            with contextlib.suppress(ConnectionError):
                return await reader.read()
        return b''

    async def run(early, count):
        client = CurlUpstreams(SystemClock(), PlatformDialect())
        context = make_context(client, routes=[route(kind=RouteKind.UPLOAD)])
        registered = upstream('u1', address=f'127.0.0.1:{early.port}')
        context.state.replace_upstreams([registered], is_after_outage=False)
        serving = asyncio.ensure_future(early.run())
        with contextlib.closing(client):
            async with open_caller_port(context) as opened:
                answer = await talk(opened.port, count)
        with contextlib.suppress(ConnectionError):
            await serving
        return answer

    return lambda early, count: asyncio.run(run(early, count))


@pytest.mark.parametrize('count', [_KEPT, _STREAMED])
@pytest.mark.parametrize(
    'end', [reset, sleep_and_reset, half_close, half_close_and_read]
)
def test_a_part_of_an_early_answer_is_never_passed_on(upload, end, count):
    """Guards against MIXED: an upstream answered an upload at once without a
    length, sent a part and broke the connection, and the caller got the part
    as a whole answer."""
    answer = upload(EarlyUpstream(UNFRAMED, end), count)
    assert answer.startswith(b'HTTP/1.1 502 ')
    assert b'part' not in answer
