"""Tests of heads that upstreams should not send."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams

_LINES = b'Request-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\n'


def _client():
    return contextlib.closing(CurlUpstreams(SystemClock(), PlatformDialect()))


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
