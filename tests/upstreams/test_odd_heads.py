"""Tests of heads that upstreams should not send."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams

_LINES = b'Request-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\n'


def _client():
    return contextlib.closing(CurlUpstreams(SystemClock(), PlatformDialect()))


@pytest.mark.parametrize(
    'start',
    [
        b'HTTP/1.1 200OK',
        b'HTTP/1.1 2000 OK',
        b'HTTP/1.1 000',
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 020 OK',
        b'HTTP/1.1 099 OK',
        b'HTTP/1.1 600 OK',
        b'HTTP/1.1 999 OK',
    ],
)
def test_an_answer_without_a_status_is_lost(
    raw_upstream, collector, make_request, fail, start
):
    """Guards against a status that no caller can read, and against a fault in
    libcurl's callback, which is told to nobody but standard error."""
    answer = b'%b\r\n%b\r\nok' % (start, _LINES)

    async def session():
        raw = await raw_upstream(answer).start()
        with _client() as client:
            return await fail(client, raw, make_request(), collector())

    assert asyncio.run(session()) is ErrorKind.UPSTREAM_LOST


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 100 Continue\r\n\r\n'])
def test_an_answer_with_an_invalid_status_says_nothing(
    raw_upstream, collector, make_request, fail, status, interim
):
    """Guards against a report of load, or an end of a cold start, that is
    taken from an answer to a health check which is none."""
    answer = b'%bHTTP/1.1 %b OK\r\nServer-Load: 1,0,4\r\n%b\r\nok' % (
        interim,
        status,
        _LINES,
    )
    reports = []

    async def session():
        raw = await raw_upstream(answer).start()
        with _client() as client:
            client.on_report = lambda *report: reports.append(report)
            return await fail(client, raw, make_request(), collector())

    assert asyncio.run(session()) is ErrorKind.UPSTREAM_LOST
    assert not reports


@pytest.mark.parametrize('text', ['voil\xe0', 'voil\xc3\xa0', '\x85a\xa0'])
def test_the_bytes_of_a_text_are_kept(
    raw_upstream, collector, make_request, text
):
    """Guards against a text that loses its last byte, since this is a blank in
    Latin-1 and part of a letter in UTF-8."""
    field = f'X-Text: {text}\r\n'.encode('latin-1')
    answer = b'HTTP/1.1 200 OK\r\n%b%b\r\nok' % (_LINES, field)

    async def session():
        raw = await raw_upstream(answer).start()
        with _client() as client:
            return await client.send(
                'u1', raw.upstream(), make_request(), collector()
            )

    assert asyncio.run(session()).fields['x-text'] == text
