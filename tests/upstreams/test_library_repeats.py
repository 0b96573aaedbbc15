"""Tests of requests that libcurl would send again by itself (issue 61)."""

import asyncio
import contextlib

import pytest

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import ConnectionClosed, ErrorKind, RequestError
from nutmegshore.listener.body import KeptBody
from nutmegshore.upstreams import BodySource
from nutmegshore.upstreams.curl import CurlUpstreams
from tests.upstreams.closing_upstream import ClosingUpstream

#: Seconds of work that no close of an idle connection takes to arrive.
_WORK_S = 0.1
_IDLE_S = 0.005
_BODY = b'z' * 900


class _Body(BodySource):
    """A body that can be read once."""

    def __init__(self, length):
        self.length = length
        self.is_read = False

    async def chunks(self):
        self.is_read = True
        yield _BODY


async def _kept_body():
    body = KeptBody(_Body(len(_BODY)), held=ByteBudget().hold())
    await body.read_start()
    return body


async def _make_body(kind):
    if kind == 'kept':
        return await _kept_body()
    if kind == 'none':
        return None
    return _Body(len(_BODY) if kind == 'once' else None)


@pytest.fixture
def session(make_request, collector):
    """Function that runs a session with a client and a closing upstream."""

    def run(upstream, work):
        async def main():
            await upstream.start()
            counters = Counters()
            client = CurlUpstreams(SystemClock(), counters=counters)

            async def send(target, **changes):
                request = make_request(
                    may_run_twice=True, target=target, **changes
                )
                return await client.send(
                    'u1', upstream.upstream(), request, collector()
                )

            with contextlib.closing(client):
                return await work(send, counters)

        return asyncio.run(main())

    return run


@pytest.mark.parametrize('idle', [1, 4])
@pytest.mark.parametrize(
    ('method', 'body'),
    [
        ('GET', 'none'),
        ('HEAD', 'none'),
        ('OPTIONS', 'none'),
        ('DELETE', 'none'),
        ('POST', 'none'),
        ('POST', 'kept'),
        ('PUT', 'kept'),
        ('PUT', 'once'),
        ('PATCH', 'chunked'),
    ],
)
def test_a_lost_request_arrives_once(session, method, body, idle):
    """Guards against BUDGET: libcurl sent a request again whose answer was
    lost, up to five times, on kept and on new connections."""
    upstream = ClosingUpstream(work_s=_WORK_S)
    sent = b'' if body == 'none' else _BODY

    async def work(send, counters):
        await asyncio.gather(*(send('/slow') for _ in range(idle)))
        opened = upstream.connections
        with pytest.raises(RequestError) as caught:
            await send('/lost', method=method, body=await _make_body(body))
        await asyncio.sleep(_WORK_S)
        return caught.value, upstream.connections - opened

    failure, opened = session(upstream, work)
    assert upstream.count('lost') == 1
    assert upstream.bodies[-1] == sent
    assert opened == 0
    assert failure.kind is ErrorKind.UPSTREAM_LOST
    assert not isinstance(failure, ConnectionClosed)


def test_a_stopped_repeat_is_counted(session):
    """Guards against repeats that only the upstreams' own counts show."""

    async def work(send, counters):
        await send('/warm')
        with pytest.raises(RequestError):
            await send('/lost')
        return counters

    counters = session(ClosingUpstream(work_s=_WORK_S), work)
    assert counters.total('upstream_connections', event='opened') == 1
    assert counters.total('upstream_connections', event='repeat_stopped') == 1


@pytest.mark.parametrize('body', ['none', 'kept', 'once', 'chunked'])
def test_a_close_between_requests_costs_no_answer(session, body):
    """Guards against the opposite: requests that fail because their kept
    connection had been closed, which libcurl's repeats did not all mend."""
    upstream = ClosingUpstream(idle_s=_IDLE_S, work_s=_WORK_S)
    method = 'GET' if body == 'none' else 'PUT'

    async def work(send, counters):
        await asyncio.gather(*(send('/slow') for _ in range(40)))
        await asyncio.sleep(10 * _IDLE_S)
        return [
            await _send_later(send, method, await _make_body(body))
            for _ in range(20)
        ]

    heads = session(upstream, work)
    statuses = [head.status for head in heads]
    assert (len(statuses), set(statuses)) == (20, {200})
    assert upstream.count('one') == 20


async def _send_later(send, method, body):
    await asyncio.sleep(4 * _IDLE_S)
    return await send('/one', method=method, body=body)


def test_a_close_that_crosses_a_request_is_told_apart(session):
    """Guards against judging an upstream ill that closes an idle connection as
    the next request is on its way."""

    async def work(send, counters):
        await send('/warm')
        with pytest.raises(ConnectionClosed) as caught:
            await send('/lost')
        return caught.value.kind

    assert session(ClosingUpstream(), work) is ErrorKind.UPSTREAM_LOST


def test_an_upstream_that_is_gone_leaves_the_body_unread(session):
    """Guards against a body that is used up by a connection that was closed,
    so that no other upstream could get it."""
    upstream = ClosingUpstream(idle_s=0)
    body = _Body(None)

    async def work(send, counters):
        await send('/warm')
        upstream.server.close()
        await asyncio.sleep(_WORK_S)
        with pytest.raises(RequestError) as caught:
            await send('/late', method='PUT', body=body)
        return caught.value.kind

    assert session(upstream, work) is ErrorKind.UPSTREAM_UNREACHABLE
    assert not (body.is_read or body.is_started)


@pytest.mark.parametrize('needs_new', [True, False])
def test_a_new_connection_can_be_asked_for(session, needs_new):
    """Guards against a retry after a close that meets another one."""
    upstream = ClosingUpstream()

    async def work(send, counters):
        await send('/warm')
        await send('/again', needs_new_connection=needs_new)
        await send('/kept')

    session(upstream, work)
    assert upstream.connections == 1 + needs_new
