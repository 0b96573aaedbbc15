"""Smoke tests of whole gateways over real sockets on loopback."""

import asyncio
import contextlib

import pytest

from nutmegshore.gateway.peering import Peering
from nutmegshore.platform.store import PlatformStore
from tests.gateway.one_upstream import fill

_ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
_LIMITED_ANSWER = _ANSWER.replace(
    b'Content-Length', b'Server-Limit: 1\r\nContent-Length'
)
_LEAVING_ANSWER = _ANSWER.replace(
    b'Content-Length', b'Server-Leaving: 1\r\nContent-Length'
)
_REQUEST = (
    b'GET /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n'
    b'Connection: close\r\n\r\n'
)


def _choose_answer(head):
    if b'/limited ' in head:
        return _LIMITED_ANSWER
    return _LEAVING_ANSWER if b'/leaving ' in head else _ANSWER


async def _answer(reader, writer):
    """A stand-in of an upstream: one answer per connection, after 0.3 s.

    It names a limit of one request a second, says that it is leaving, or does
    not answer as long as it is connected, if the path says so.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    if b'/silent ' in head:
        # It has run the request and lost its answer.
        await reader.read()
        writer.close()
        return
    await asyncio.sleep(0.3)
    writer.write(_choose_answer(head))
    await writer.drain()
    writer.close()


async def _talk(port, sent):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    received = await reader.read()
    writer.close()
    return received


@pytest.fixture
def run_gateway(open_gateway):
    """Context manager that runs a gateway, its store and an upstream."""

    @contextlib.asynccontextmanager
    async def running():
        upstream = await asyncio.start_server(_answer, '127.0.0.1', 0)
        port = upstream.sockets[0].getsockname()[1]
        async with open_gateway(
            lambda store: fill(store, f'127.0.0.1:{port}')
        ) as opened:
            with contextlib.closing(upstream):
                yield opened

    return running


def test_a_gateway_starts_serves_and_stops_without_a_cut(run_gateway, lines):
    """Guards against a start that never gets ready, and a stop that cuts the
    request in flight."""

    async def session():
        async with run_gateway() as (daemon, _):
            await daemon.start()
            port = daemon.caller_port
            pending = asyncio.ensure_future(_talk(port, _REQUEST))
            await asyncio.sleep(0.1)
            await daemon.stop()
            assert (await pending).endswith(b'\r\n\r\nok')

    asyncio.run(asyncio.wait_for(session(), 20))
    events = [line['event'] for line in lines.lines]
    assert events.index('started') < events.index('stopping')
    assert lines.named('stopped')[0]['cut'] == 0


def test_a_stop_tells_which_connections_it_closed(run_gateway, lines):
    """Guards against a request that is cut without a line (issue 47): it was
    on its way as a stop closed its idle connection."""

    async def session():
        async with run_gateway() as (daemon, _):
            await daemon.start()
            kept = _REQUEST.replace(b'Connection: close\r\n', b'')
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', daemon.caller_port
            )
            writer.write(kept)
            await reader.readuntil(b'\r\n\r\nok')
            await daemon.stop()
            writer.close()

    asyncio.run(asyncio.wait_for(session(), 20))
    closed = lines.named('idle_connections_closed')
    assert [line['count'] for line in closed] == [1]


async def _stop_beside_a_silent_upstream(running):
    """Return what the caller gets as the grace period ends."""
    silent = _REQUEST.replace(b'/orders/7 ', b'/orders/silent ')
    async with running as (daemon, _):
        await daemon.start()
        pending = asyncio.ensure_future(_talk(daemon.caller_port, silent))
        await asyncio.sleep(0.1)
        await daemon.stop()
        with contextlib.suppress(ConnectionResetError):
            return await pending
    return b''


def test_a_request_gets_an_answer_at_the_end_of_the_grace_period(run_gateway):
    """Guards against LOST: a request whose upstream was silent when the grace
    period ended was reset; seed 1 of silent-upstreams-beside-changes."""
    session = _stop_beside_a_silent_upstream(run_gateway())
    received = asyncio.run(asyncio.wait_for(session, 20))
    assert received.startswith((b'HTTP/1.1 502 ', b'HTTP/1.1 504 '))


@pytest.mark.expects_faults
def test_a_fault_in_a_stop_cuts_no_request(run_gateway, monkeypatch):
    """Guards against LOST: a fault in one step of a stop ended the process
    under its requests."""

    def fail(peering):
        raise ArithmeticError('of a test')

    async def session(running):
        async with running as (daemon, _):
            await daemon.start()
            pending = asyncio.ensure_future(_talk(daemon.caller_port, _REQUEST))
            await asyncio.sleep(0.1)
            monkeypatch.setattr(Peering, 'report', fail)
            await daemon.stop()
            return await pending

    received = asyncio.run(asyncio.wait_for(session(run_gateway()), 20))
    assert received.startswith(b'HTTP/1.1 200 ')


def test_a_stop_tells_how_many_requests_it_cut(run_gateway, lines):
    """Guards against `cut` being counted after the requests had been cut: it
    was always 0."""
    session = _stop_beside_a_silent_upstream(run_gateway())
    received = asyncio.run(asyncio.wait_for(session, 20))
    assert lines.named('stopped')[0]['cut'] == int(not received)


def test_a_gateway_keeps_to_the_limit_of_an_upstream(run_gateway, lines):
    """Guards against LIMIT in the whole program: an answer that names a limit
    reached no decision."""
    limited = _REQUEST.replace(b'/orders/7 ', b'/orders/limited ')

    async def session():
        async with run_gateway() as (daemon, _):
            await daemon.start()
            answers = [
                await _talk(daemon.caller_port, limited) for _ in range(2)
            ]
            await daemon.stop()
        return answers

    first, second = asyncio.run(asyncio.wait_for(session(), 20))
    assert first.startswith(b'HTTP/1.1 200 ')
    assert second.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in second
    changed = lines.named('upstream_limit_changed')
    assert [(one['max_rate'], one['source']) for one in changed] == [
        (1, 'answer')
    ]
    refused = lines.named('request_refused')
    assert [(one['reason'], one['limited']) for one in refused] == [
        ('rate_limited', ['i-1'])
    ]


def test_an_upstream_that_leaves_by_answer_gets_nothing_more(
    run_gateway, lines
):
    """Guards against DRAIN in the whole program: an upstream whose answers
    said that it was leaving, and whose registration did not, was sent more."""
    leaving = _REQUEST.replace(b'/orders/7 ', b'/orders/leaving ')

    async def session():
        async with run_gateway() as (daemon, _):
            await daemon.start()
            port = daemon.caller_port
            answers = [await _talk(port, one) for one in (leaving, _REQUEST)]
            await daemon.stop()
        return answers

    first, second = asyncio.run(asyncio.wait_for(session(), 20))
    assert first.startswith(b'HTTP/1.1 200 ')
    assert second.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in second
    refused = lines.named('request_refused')
    assert [one['reason'] for one in refused] == ['no_upstream']


@pytest.mark.expects_faults
def test_a_follower_that_failed_follows_again(run_gateway, lines, monkeypatch):
    """Guards against LOST: a follower that an exception ended was gone until
    the gateway was restarted."""
    read_listing = PlatformStore.read_listing
    failures = iter(range(3))

    async def fail_first(client, prefix):
        if next(failures, None) is not None:
            raise RecursionError('odd')
        return await read_listing(client, prefix)

    monkeypatch.setattr(PlatformStore, 'read_listing', fail_first)

    async def session():
        async with run_gateway() as (daemon, _):
            await daemon.start()
            received = await _talk(daemon.caller_port, _REQUEST)
            assert received.startswith(b'HTTP/1.1 200 ')
            await daemon.stop()

    asyncio.run(asyncio.wait_for(session(), 20))
    restarted = {line['task'] for line in lines.named('task_restarted')}
    assert restarted == {
        'follow config/',
        'follow servers/',
        'follow evacuations/',
    }
    reported = {line['part'] for line in lines.named('internal_fault')}
    assert reported == restarted


def test_a_gateway_without_a_store_is_not_ready(run_gateway):
    """Guards against a gateway that takes requests before it knows any
    configuration, and against one that never recovers."""

    async def session():
        async with run_gateway() as (daemon, store):
            store.faults.status = 503
            start = asyncio.ensure_future(daemon.start())
            await asyncio.sleep(0.5)
            assert not start.done()
            received = await _talk(daemon.caller_port, _REQUEST)
            assert received.startswith(b'HTTP/1.1 503 ')
            store.faults.status = 0
            await start
            received = await _talk(daemon.caller_port, _REQUEST)
            assert received.startswith(b'HTTP/1.1 200 ')
            await daemon.stop()

    asyncio.run(asyncio.wait_for(session(), 20))


def _fail(*given, **named):
    raise ZeroDivisionError('of a test')


async def _stop_beside_a_request(running, find_owner, method):
    async with running as (daemon, _):
        await daemon.start()
        pending = asyncio.ensure_future(_talk(daemon.caller_port, _REQUEST))
        await asyncio.sleep(0.1)
        setattr(find_owner(daemon), method, _fail)
        await daemon.stop()
        return await pending


@pytest.mark.expects_faults
@pytest.mark.parametrize(
    ('find_owner', 'method'),
    [
        (lambda daemon: daemon._peering, 'report'),
        (lambda daemon: daemon._assembly.peers, 'leave'),
    ],
)
def test_a_fault_in_the_word_to_peers_cuts_no_request(
    run_gateway, find_owner, method
):
    """Guards against LOST: a stop that raised while it told the peers ended
    the process at once, with its requests."""
    session = _stop_beside_a_request(run_gateway(), find_owner, method)
    received = asyncio.run(asyncio.wait_for(session, 20))
    assert received.endswith(b'\r\n\r\nok')
