"""Tests of the HTTP client of upstreams against scripted sockets."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.upstreams import UpstreamReport
from nutmegshore.upstreams.curl import CurlUpstreams

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_HUGE = b'HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n'
_MIB = 1_048_576


@contextlib.contextmanager
def _client():
    client = CurlUpstreams(SystemClock())
    with contextlib.closing(client):
        yield client


@pytest.mark.parametrize('may_run_twice', [True, False])
def test_a_lost_request_is_not_sent_again(
    may_run_twice, raw_upstream, collector, make_request
):
    """Guards against libcurl's own repeat on a kept-alive connection, which
    would be in no retry budget."""

    async def session():
        raw = await raw_upstream(_OK, None, _OK).start()
        with _client() as client:
            warm = make_request(may_run_twice=True)
            await client.send('u1', raw.upstream(), warm, collector())
            request = make_request(may_run_twice=may_run_twice, target='/pay')
            with contextlib.suppress(RequestError):
                await client.send('u1', raw.upstream(), request, collector())
        return sum(b'/pay' in head for head in raw.requests)

    assert asyncio.run(session()) == 1


def test_a_repeat_that_cannot_connect_is_not_reported_as_not_run(
    raw_upstream, collector, make_request, fail
):
    """Guards against "not run" when libcurl's first try may have run."""

    async def session():
        raw = await raw_upstream(_OK, None).start()
        with _client() as client:
            warm = make_request(may_run_twice=True)
            await client.send('u1', raw.upstream(), warm, collector())
            raw.server.close()
            return await fail(client, raw, warm, collector())

    assert asyncio.run(session()) is ErrorKind.UPSTREAM_LOST


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (None, ErrorKind.UPSTREAM_LOST),
        (b'HTTP/1.1 200 OK\r\nContent-<cut>', ErrorKind.UPSTREAM_LOST),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf<cut>',
            ErrorKind.UPSTREAM_LOST,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'4\r\nhalf\r\n<cut>',
            ErrorKind.UPSTREAM_LOST,
        ),
        (b'HTTP/1.1 200 OK\r\n\r\nno end<cut>', ErrorKind.UPSTREAM_LOST),
        (
            b'HTTP/1.1 503 Busy\r\nNutmegshore-Not-Run: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            ErrorKind.UPSTREAM_REFUSED,
        ),
        (
            b'HTTP/1.1 500 Bad\r\nNutmegshore-Not-Run: 1\r\n\r\n<cut>',
            ErrorKind.UPSTREAM_LOST,
        ),
    ],
)
def test_each_failure_has_itsfail(
    answer, kind, raw_upstream, collector, make_request, fail
):
    """Guards against a cut answer accepted as whole and a false "not run"."""

    async def session():
        raw = await raw_upstream(answer).start()
        with _client() as client:
            return await fail(client, raw, make_request(), collector())

    assert asyncio.run(session()) is kind


def test_a_bare_refusal_status_is_an_answer(
    raw_upstream, collector, make_request
):
    """Guards against a retry of a request that may have run in part."""

    async def session():
        bare = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        raw = await raw_upstream(bare).start()
        with _client() as client:
            return await client.send(
                'u1', raw.upstream(), make_request(), collector()
            )

    assert asyncio.run(session()).status == 503


def test_kinds_without_an_answer(raw_upstream, collector, make_request, fail):
    """Guards against a confusion of "may have run" and "not run"."""

    async def session():
        clock = SystemClock()
        raw = await raw_upstream().start()
        with _client() as client:
            late = make_request(deadline=clock.now() + 0.05)
            kinds = [await fail(client, raw, late, collector())]
            kinds.append(await fail(client, raw, late, collector()))
            raw.server.close()
            kinds.append(await fail(client, raw, make_request(), collector()))
        return kinds

    assert asyncio.run(session()) == [
        ErrorKind.DEADLINE_AFTER_SEND,
        ErrorKind.DEADLINE_BEFORE_SEND,
        ErrorKind.UPSTREAM_UNREACHABLE,
    ]


def test_a_cancelled_call_closes_its_connection(
    raw_upstream, collector, make_request
):
    """Guards against work that continues, and its answer sent to another
    request."""

    async def session():
        half = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
        raw = await raw_upstream(half, _OK).start()
        request = make_request(may_run_twice=True)
        with _client() as client:
            first = collector()
            work = asyncio.ensure_future(
                client.send('u1', raw.upstream(), request, first)
            )
            while not first.body:
                await asyncio.sleep(0)
            work.cancel()
            await raw.closed.wait()
            second = collector()
            await client.send('u1', raw.upstream(), request, second)
        return second.body

    assert asyncio.run(session()) == b'ok'


def test_a_slow_receiver_slows_the_upstream(
    raw_upstream, collector, make_request
):
    """Guards against an answer that is buffered without bound."""

    async def session():
        raw = await raw_upstream(_HUGE + b'x' * 16 * _MIB).start()
        slow = collector()
        slow.gate.clear()
        with _client() as client:
            work = asyncio.ensure_future(
                client.send('u1', raw.upstream(), make_request(), slow)
            )
            while slow.head is None:
                await asyncio.sleep(0)
            for _ in range(1000):
                await asyncio.sleep(0)
            buffered = max(map(len, _buffered_pieces(client)))
            slow.gate.set()
            await work
        return buffered, len(slow.body)

    buffered, received = asyncio.run(session())
    assert buffered <= 262_144
    assert received == 16 * _MIB


def _buffered_pieces(client):
    # Only the client's own buffers are measured, since libcurl does not
    # expose the size of its own.
    transfers = [done.__self__ for done in client._loop._done_by_curl.values()]
    return [b'x' * transfer._incoming.size for transfer in transfers]


def test_a_slow_upstream_slows_the_caller(
    raw_upstream, collector, make_request, pieces
):
    """Guards against a request body that is buffered without bound."""

    async def session():
        raw = await raw_upstream().start()
        body = pieces(b'z' * 65_536, 1_000)
        request = make_request(method='PUT', body=body)
        with _client() as client:
            work = asyncio.ensure_future(
                client.send('u1', raw.upstream(), request, collector())
            )
            while not raw.requests:
                await asyncio.sleep(0)
            for _ in range(2_000):
                await asyncio.sleep(0)
            work.cancel()
            await asyncio.wait((work,))
        return body.read_count

    assert asyncio.run(session()) < 500


def test_reports_of_answers_reach_the_callback(
    raw_upstream, collector, make_request
):
    """Guards against a leaving upstream that still receives requests."""

    async def session():
        leaving = _OK.replace(
            b'\r\n\r\n',
            b'\r\nNutmegshore-Leaving: 1\r\nNutmegshore-Load: 3\r\n\r\n',
        )
        raw = await raw_upstream(_OK, leaving).start()
        found = []
        with _client() as client:
            client.on_report = lambda *report: found.append(report)
            for _ in range(2):
                await client.send(
                    'u1', raw.upstream(), make_request(), collector()
                )
        return found

    assert asyncio.run(session()) == [
        ('u1', UpstreamReport(is_leaving=True, busy=3))
    ]


def test_the_request_goes_out_as_given(raw_upstream, collector, make_request):
    """Guards against a changed target, added headers and a lost deadline."""

    async def session():
        raw = await raw_upstream(_OK).start()
        request = make_request(
            target='/a/../b%2F?x=1', headers=(('X-One', ''), ('X-Two', 'a'))
        )
        with _client() as client:
            await client.send('u1', raw.upstream(), request, collector())
        return raw.requests[0].decode().split('\r\n')

    start, *lines = asyncio.run(session())
    names = [line.partition(':')[0] for line in lines if line]
    assert start == 'GET /a/../b%2F?x=1 HTTP/1.1'
    assert names == [
        'Host',
        'X-One',
        'X-Two',
        'Nutmegshore-Deadline-Ms',
        'Nutmegshore-Request-Id',
    ]
    assert 9_000 < int(lines[3].partition(': ')[2]) <= 10_000


def test_a_lost_upstream_ends_the_reading_of_the_body(
    raw_upstream, collector, make_request, fail, pieces
):
    """Guards against reading the whole body after the upstream is lost."""

    async def session():
        raw = await raw_upstream(None).start()
        body = pieces(b'z' * 65_536, 1_000)
        request = make_request(method='PUT', body=body)
        with _client() as client:
            kind = await fail(client, raw, request, collector())
        return kind, body.read_count

    kind, read_count = asyncio.run(session())
    assert kind is ErrorKind.UPSTREAM_LOST
    assert read_count < 500
