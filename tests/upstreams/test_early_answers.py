"""Tests of answers that come before an upstream has read the whole body."""

import asyncio
import contextlib

import attrs
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams
from nutmegshore.upstreams.dialect import OwnDialect
from tests.upstreams.early_upstream import (
    FIELDS,
    PIECE,
    UNFRAMED,
    EarlyUpstream,
    close,
    half_close,
    half_close_and_read,
    read_on,
    reset,
    sleep_and_reset,
)

#: A body that libcurl sends at once, and one that it cannot.
_SHORT, _LONG = 1, 128
_WHOLE = b'HTTP/1.1 %b\r\n%bContent-Length: 2\r\n\r\nok'
_NEXT = b'GET /orders/1 HTTP/1.1\r\n'


@pytest.fixture
def send(raw_upstream, pieces, make_request, collector):
    """Function that sends a body to an early upstream."""

    async def run(early, act, dialect, count, is_chunked):
        raw = raw_upstream()
        raw.port = early.port
        body = pieces(PIECE, count)
        body.length = None if is_chunked else count * len(PIECE)
        request = make_request(method='POST', body=body)
        serving = asyncio.ensure_future(early.run())
        client = CurlUpstreams(SystemClock(), dialect)
        with contextlib.closing(client):
            sent = await act(client, raw, request, collector())
        with contextlib.suppress(ConnectionError):
            await serving
        return sent

    return run


@pytest.mark.parametrize('dialect', [PlatformDialect(), OwnDialect()])
@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('count', [_SHORT, _LONG])
@pytest.mark.parametrize('end', [reset, close, sleep_and_reset])
def test_a_reset_within_an_early_answer_loses_it(
    send, fail, end, count, is_chunked, dialect
):
    """Guards against MIXED: an upstream answered an upload at once without a
    length, sent a part and reset the connection."""
    early = EarlyUpstream(UNFRAMED, end)
    kind = asyncio.run(send(early, fail, dialect, count, is_chunked))
    assert kind is ErrorKind.UPSTREAM_LOST


@pytest.mark.parametrize('dialect', [PlatformDialect(), OwnDialect()])
@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('end', [half_close, half_close_and_read])
def test_an_early_answer_that_ends_within_the_body_is_lost(
    send, fail, end, is_chunked, dialect
):
    """Guards against MIXED: libcurl takes an answer without a length as whole
    when the upstream closes its side, although the body is still being
    written and the connection then breaks."""
    early = EarlyUpstream(UNFRAMED, end)
    kind = asyncio.run(send(early, fail, dialect, _LONG, is_chunked))
    assert kind is ErrorKind.UPSTREAM_LOST


async def _send_and_return(client, raw, request, receiver):
    head = await client.send('u1', raw.upstream(), request, receiver)
    return head.status, bytes(receiver.body)


def _join_chunks(raw):
    """Return the body of a chunked request, and what follows it."""
    body = bytearray()
    size = 1
    while size:
        line, _, raw = raw.partition(b'\r\n')
        size = int(line, 16)
        body += raw[:size]
        end = size + len(b'\r\n')
        raw = raw[end:]
    return bytes(body), raw


@pytest.mark.parametrize('is_chunked', [False, True])
def test_an_early_upstream_gets_the_rest_of_the_body(send, is_chunked):
    """Guards against UNASKED: an upstream answered before it had read a long
    body, kept the connection, and read something else behind the part that it
    had."""
    early = EarlyUpstream(_WHOLE % (b'200 OK', FIELDS), read_on)
    answer = asyncio.run(
        send(early, _send_and_return, PlatformDialect(), _LONG, is_chunked)
    )
    body, rest = early.received, b''
    if is_chunked:
        body, rest = _join_chunks(early.received)
    assert answer == (200, b'ok')
    assert body == PIECE * _LONG
    assert not rest


@pytest.mark.parametrize('is_chunked', [False, True])
def test_an_early_refusal_ends_the_body(send, is_chunked):
    """Guards against UNASKED: libcurl ends a body after an answer from 300 on,
    and the connection must then carry nothing else."""
    early = EarlyUpstream(_WHOLE % (b'413 No', FIELDS), read_on)
    answer = asyncio.run(
        send(early, _send_and_return, PlatformDialect(), _LONG, is_chunked)
    )
    assert answer == (413, b'ok')
    received = early.received
    if is_chunked:
        # The last chunk is whole or cut; no end of the body follows it.
        assert not received.endswith(b'0\r\n\r\n')
        assert not set(received) - set(b'0123456789abcdef\r\n')
    else:
        assert not received.strip(b'b')
        assert len(received) < _LONG * len(PIECE)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_a_kept_connection_carries_the_rest_of_the_body_first(
    send, make_request, is_chunked
):
    """Guards against UNASKED: the next request on a connection is written
    within the body that an early upstream has not read yet."""
    answer = _WHOLE % (b'200 OK', FIELDS)

    async def read_two(loop, connection):
        received = bytearray()
        while not received.endswith(b'\r\n\r\n') or _NEXT not in received:
            received += await loop.sock_recv(connection, len(PIECE))
        await loop.sock_sendall(connection, answer)
        return bytes(received)

    early = EarlyUpstream(answer, read_two)

    async def send_two(client, raw, request, receiver):
        safe = attrs.evolve(request, may_run_twice=True)
        first = await _send_and_return(client, raw, safe, receiver)
        second = make_request(may_run_twice=True)
        await client.send('u1', raw.upstream(), second, receiver)
        return first

    assert asyncio.run(
        send(early, send_two, PlatformDialect(), _LONG, is_chunked)
    ) == (200, b'ok')
    if is_chunked:
        body, rest = _join_chunks(early.received)
    else:
        size = len(PIECE) * _LONG
        body, rest = early.received[:size], early.received[size:]
    assert body == PIECE * _LONG
    assert rest.startswith(_NEXT)
