"""Tests of which request an answer on a kept connection belongs to."""

import asyncio
import contextlib

import attrs
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind, RequestError
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


@attrs.frozen
class _Incarnation:
    """Where a request is sent to."""

    address: str
    number: int


async def _ask(answers, make_request, collector, raw_upstream):
    """Send a request per answer; return who said that it was leaving."""
    raw = await raw_upstream(*answers).start()
    left = []
    with _client(PlatformDialect()) as client:
        client.on_destination_report = lambda upstream, report: (
            left.append(upstream.number) if report.is_leaving else None
        )
        for number in range(1, len(answers) + 1):
            upstream = _Incarnation(raw.upstream().address, number)
            request = make_request(request_id=f'r{number}', may_run_twice=True)
            with contextlib.suppress(RequestError):
                await client.send('u1', upstream, request, collector())
    return left


_LEAVING = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n'
    b'Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok'
)


@pytest.mark.parametrize(
    ('answers', 'left'),
    [
        ([_LEAVING], [1]),
        ([_LEAVING.replace(b'\r\nok', b'\r\no<cut>')], [1]),
        ([_PLATFORM[1].replace(b'Server-Limit', b'Server-Leaving')], [1]),
        ([_LEAVING, _LEAVING], [1]),
        ([_LEAVING.replace(b'200 OK', b'421 Other')], []),
        ([_LEAVING.replace(b'\r\n\r\nok', b'<cut>')], []),
    ],
    ids=['whole', 'cut', 'refusal', 'late_second', 'moved', 'cut_head'],
)
def test_an_answer_says_leaving_for_whom_it_was_asked(
    raw_upstream, collector, make_request, answers, left
):
    """Guards against an upstream that was not heard since its answer broke off
    or refused, and against one that is excluded because of an answer to another
    request or of another instance."""
    found = _ask(answers, make_request, collector, raw_upstream)
    assert asyncio.run(found) == left
