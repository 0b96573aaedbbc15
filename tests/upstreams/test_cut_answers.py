"""Tests of answers that break off in their head or body."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams

_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_CUTS = (
    (b'HTTP/1.',),
    (b'HTTP/1.1 200 OK\r\nRequest-I',),
    (_HEAD,),
    (_HEAD, b'\r'),
    (_HEAD, b'Content-Length: 2\r\n'),
    (_HEAD, b'Content-Length: 2\r\n\r\no'),
    (b'HTTP/1.1 100 Continue\r\n\r\n', _HEAD),
    (b'HTTP/1.1 103 Early Hints\r\nLink: a',),
    (b'HTTP/1.1 103 Early Hints\r\n\r',),
    (b'HTTP/1.1 103 Early Hints\r\n\r\n',),
    (_HEAD, _CHUNKED),
    (_HEAD, _CHUNKED, b'2\r\nok\r\n'),
    (_HEAD, _CHUNKED, b'2\r\nok\r\n1'),
    (_HEAD, _CHUNKED, b'2\r\nok\r\n0\r\n'),
    (_HEAD, b'Transfer-Encoding: chunk'),
)


@pytest.mark.parametrize('pieces', _CUTS)
@pytest.mark.parametrize('may_run_twice', [True, False])
def test_an_answer_that_breaks_off_is_lost(
    raw_upstream, collector, make_request, fail, pieces, may_run_twice
):
    """Guards against MIXED: an upstream stopped in the middle of an answer's
    head and closed, and callers got an empty body, framed as whole."""
    cut = b''.join((*pieces, b'<cut>'))

    async def session():
        raw = await raw_upstream(cut, cut, cut).start()
        request = make_request(may_run_twice=may_run_twice)
        with contextlib.closing(
            CurlUpstreams(SystemClock(), PlatformDialect())
        ) as client:
            return await fail(client, raw, request, collector())

    assert asyncio.run(session()) is ErrorKind.UPSTREAM_LOST
