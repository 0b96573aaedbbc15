"""Tests of which request an answer on a kept connection belongs to."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams
from nutmegshore.upstreams.dialect import OwnDialect

_PLATFORM = (
    PlatformDialect,
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Run: 1\r\n'
    b'Server-Limit: 1\r\nContent-Length: 0\r\n\r\n',
)
_OWN = (
    OwnDialect,
    b'HTTP/1.1 503 Service Unavailable\r\nNutmegshore-Request-Id: r1\r\n'
    b'Nutmegshore-Not-Run: 1\r\nNutmegshore-Load: 3\r\n'
    b'Content-Length: 0\r\n\r\n',
)


@contextlib.contextmanager
def _client(dialect):
    client = CurlUpstreams(SystemClock(), dialect)
    with contextlib.closing(client):
        yield client


@pytest.mark.parametrize(('dialect', 'refusal'), [_PLATFORM, _OWN])
def test_an_earlier_refusal_is_no_answer(
    raw_upstream, collector, make_request, fail, dialect, refusal
):
    """Guards against REFUSED: an upstream wrote a refusal once more on a kept
    connection, and a request that it was running was reported as not run."""

    async def session():
        raw = await raw_upstream(refusal, refusal).start()
        reports = []
        with _client(dialect()) as client:
            client.on_report = lambda *report: reports.append(report)
            found = [
                await fail(
                    client,
                    raw,
                    make_request(request_id=request_id, may_run_twice=True),
                    collector(),
                )
                for request_id in ('r1', 'r2')
            ]
        return found, len(reports)

    found, reports = asyncio.run(session())
    assert found == [ErrorKind.UPSTREAM_REFUSED, ErrorKind.UPSTREAM_SPOILED]
    assert reports == 1


def test_a_refusal_without_id_is_only_trusted_on_a_fresh_connection(
    raw_upstream, collector, make_request, fail
):
    """Guards against a refusal of unknown origin on a kept connection."""
    refusal = _PLATFORM[1].replace(b'Request-Id: r1\r\n', b'')

    async def session():
        raw = await raw_upstream(refusal, refusal).start()
        request = make_request(may_run_twice=True)
        with _client(PlatformDialect()) as client:
            return [
                await fail(client, raw, request, collector()) for _ in range(2)
            ]

    assert asyncio.run(session()) == [
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_SPOILED,
    ]
