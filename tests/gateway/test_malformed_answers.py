"""Tests of a gateway whose upstreams answer with malformed heads and chunks.

MIXED: a caller must not get an answer that is not the upstream's own and whole.
"""

import asyncio
import contextlib
from types import MappingProxyType

import attrs
import pytest

from nutmegshore.balancing import AttemptOutcome, Balancer
from nutmegshore.clock import SystemClock
from nutmegshore.gateway.route import RouteKind
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams
from tests.gateway.caller_port import open_caller_port
from tests.upstreams.malformed_heads import (
    BODILESS,
    MALFORMED,
    SOUND,
    UNFINISHED,
    make_head,
)
from tests.upstreams.malforming_upstream import MalformingUpstream

_COMMON = (
    b'Host: a.example\r\nRequest-Id: r1\r\nDeadline-Ms: 1500\r\n'
    b'Connection: close\r\n'
)
_SIZED = b'Content-Length: 4\r\n\r\nbody'
_IN_CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
_SAFE, _UNSAFE, _UPLOAD = RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.UPLOAD
#: Kinds of requests: the route's, the method, and what follows the head.
_REQUESTS = MappingProxyType(
    {
        'GET': (_SAFE, b'GET', b'\r\n'),
        'safe POST': (_SAFE, b'POST', _SIZED),
        'unsafe POST': (_UNSAFE, b'POST', _SIZED),
        'unsafe POST without a body': (_UNSAFE, b'POST', b'\r\n'),
        'unsafe POST in chunks': (_UNSAFE, b'POST', _IN_CHUNKS),
        'upload': (_UPLOAD, b'PUT', _SIZED),
    }
)
_CHUNKED_OK = b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
#: Bytes of a body whose beginning is passed on before its end has come.
_LONG_BYTES = 1_000_000
_REPORTS = (
    b'Server-Load: 3,5,4\r\nServer-Limit: 1\r\nServer-Leaving: 1\r\n'
    b'Instance-Id: u1\r\nRetry-After: 1\r\n'
)


@attrs.define
class Gateway:
    """A gateway at a port of callers, before upstreams `u1` and so on."""

    context: object
    client: CurlUpstreams
    port: int

    async def ask(self, method=b'GET', rest=b'\r\n', target=b'/orders/7'):
        """Send one request on a connection of its own; returns the answer."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        with contextlib.closing(writer):
            start = b'%b %b HTTP/1.1\r\n' % (method, target)
            writer.write(start + _COMMON + rest)
            async with asyncio.timeout(5):
                return await _read_to_end(reader)


async def _read_to_end(reader):
    received = bytearray()
    with contextlib.suppress(ConnectionResetError):
        while piece := await reader.read(_LONG_BYTES):
            received += piece
    return bytes(received)


@pytest.fixture
def open_gateway_before(make_context, route, upstream):
    """Context manager that opens a gateway before some upstreams."""

    @contextlib.asynccontextmanager
    async def opened(*peers, kind=RouteKind.SAFE):
        client = CurlUpstreams(SystemClock(), PlatformDialect())
        context = make_context(client, routes=[route(kind=kind)])
        registered = [
            upstream(f'u{number}', address=peer.address)
            for number, peer in enumerate(peers, 1)
        ]
        context.state.replace_upstreams(registered, is_after_outage=False)
        with contextlib.closing(client):
            async with open_caller_port(context) as opened_port:
                yield Gateway(context, client, opened_port.port)

    return opened


@pytest.mark.parametrize('request_kind', _REQUESTS)
@pytest.mark.parametrize('answer', MALFORMED)
def test_a_malformed_answer_reaches_no_caller(
    open_gateway_before, answer, request_kind
):
    """Guards against MIXED: a body, a status or a line that the upstream did
    not mean, and against a second run of an unsafe request."""
    kind, method, rest = _REQUESTS[request_kind]

    async def session():
        malforming = MalformingUpstream(MALFORMED[answer])
        async with (
            malforming.open(),
            open_gateway_before(malforming, kind=kind) as gateway,
        ):
            return await gateway.ask(method, rest), malforming

    received, malforming = asyncio.run(session())
    assert received.startswith(b'HTTP/1.1 502 '), received
    assert b'malformed' not in received
    assert len(malforming.targets) == 1


@pytest.mark.parametrize('answer', MALFORMED)
def test_a_safe_request_is_answered_by_another_upstream(
    open_gateway_before, answer
):
    """Guards against a refusal that a retry avoids, and an answer mixed of
    two."""

    async def session():
        malforming = MalformingUpstream(MALFORMED[answer])
        sound = MalformingUpstream(
            b'%bok' % make_head(b'Content-Length: 2\r\n')
        )
        async with (
            malforming.open(),
            sound.open(),
            open_gateway_before(malforming, sound) as gateway,
        ):
            answers = [await gateway.ask() for _ in range(4)]
            return answers, malforming

    answers, malforming = asyncio.run(session())
    # Once the head of an answer went to its caller, the answer can only be cut.
    assert all(_is_whole(one) for one in answers), answers
    assert malforming.targets


def _is_whole(answer):
    is_success = answer.startswith(b'HTTP/1.1 200 ')
    return is_success and answer.endswith(b'\r\n\r\nok')


@pytest.mark.parametrize('answer', MALFORMED)
def test_a_connection_ends_with_a_malformed_answer(open_gateway_before, answer):
    """Guards against the rest of a malformed answer, taken as the answer to
    the next request."""

    async def session():
        malforming = MalformingUpstream(MALFORMED[answer], linger_s=2)
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            targets = (b'/orders/sound', b'/orders/7', b'/orders/8/sound')
            answers = [await gateway.ask(target=one) for one in targets]
            return answers, malforming

    answers, malforming = asyncio.run(session())
    assert answers[0].endswith(b'\r\n\r\nsound')
    refusal = b'504' if answer in UNFINISHED else b'502'
    assert answers[1].startswith(b'HTTP/1.1 %b ' % refusal), answers
    assert b'malformed' not in answers[1]
    assert answers[2].endswith(b'\r\n\r\nsound'), answers
    assert malforming.connections == 2


@pytest.fixture
def outcomes(monkeypatch):
    """Outcomes of attempts, as the balancer gets them."""
    found = []
    end = Balancer.end

    def record(balancer, in_flight, attempt_result):
        found.append(attempt_result.outcome)
        return end(balancer, in_flight, attempt_result)

    monkeypatch.setattr(Balancer, 'end', record)
    return found


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('answer', MALFORMED)
def test_a_malformed_answer_counts_as_a_lost_one(
    open_gateway_before, outcomes, answer, is_kept
):
    """Guards against an upstream in trouble that gets as many requests as
    others, and against a kept connection that hides it."""

    async def session():
        malforming = MalformingUpstream(MALFORMED[answer])
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            if is_kept:
                await gateway.ask(target=b'/orders/sound')
            outcomes.clear()
            await gateway.ask()

    asyncio.run(session())
    assert outcomes == [AttemptOutcome.LOST]


@pytest.mark.parametrize('status', [b'204 None', b'304 Same', b'200 OK'])
@pytest.mark.parametrize('line', [b'A B: x', b'Content-Length: x', b'A\x01: x'])
def test_a_malformed_head_without_a_body_reaches_no_caller(
    open_gateway_before, status, line
):
    """Guards against heads that are passed on where no body can show them."""
    answer = make_head(b'%b\r\n' % line, b'HTTP/1.1 %b\r\n' % status)

    async def session():
        malforming = MalformingUpstream(answer)
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            return [await gateway.ask(method) for method in (b'HEAD', b'GET')]

    for received in asyncio.run(session()):
        assert received.startswith(b'HTTP/1.1 502 '), received
        assert b'malformed' not in received


@pytest.mark.parametrize('status', [b'503 Busy', b'429 Slow', b'421 Moved'])
@pytest.mark.parametrize('line', [b'A B: x', b'Content-Length: x', b'x'])
def test_a_malformed_refusal_promises_nothing(
    open_gateway_before, status, line
):
    """Guards against an unsafe request that is sent again because a malformed
    head says that it was not run."""
    start = b'HTTP/1.1 %b\r\n' % status
    answer = make_head(b'Not-Run: 1\r\n%b\r\n' % line, start)

    async def session():
        peers = [MalformingUpstream(answer) for _ in range(2)]
        async with contextlib.AsyncExitStack() as stack:
            for peer in peers:
                await stack.enter_async_context(peer.open())
            gateway = await stack.enter_async_context(
                open_gateway_before(*peers, kind=_UNSAFE)
            )
            return await gateway.ask(b'POST', _SIZED), peers

    received, peers = asyncio.run(session())
    assert received.startswith(b'HTTP/1.1 502 '), received
    assert sum(len(peer.targets) for peer in peers) == 1


@pytest.mark.parametrize('status', [b'200 OK', b'503 Busy'])
@pytest.mark.parametrize('line', [b'A B: x', b'Content-Length: x', b'x'])
def test_no_report_of_a_malformed_answer_is_believed(
    open_gateway_before, status, line
):
    """Guards against a load, a limit, a pause or a leave that nobody told."""
    start = b'HTTP/1.1 %b\r\n' % status
    answer = make_head(b'%b%b\r\n' % (_REPORTS, line), start)
    reports = []

    async def session():
        malforming = MalformingUpstream(answer)
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            gateway.client.on_report = lambda *report: reports.append(report)
            return await gateway.ask()

    assert asyncio.run(session()).startswith(b'HTTP/1.1 502 ')
    assert not reports


@pytest.mark.parametrize('request_kind', _REQUESTS)
@pytest.mark.parametrize('own_lines', SOUND)
def test_a_sound_answer_stays_sound(
    open_gateway_before, own_lines, request_kind
):
    """Guards against a refusal of what the grammar allows."""
    kind, method, rest = _REQUESTS[request_kind]

    async def session():
        sound = MalformingUpstream(b'%bok' % make_head(SOUND[own_lines]))
        async with (
            sound.open(),
            open_gateway_before(sound, kind=kind) as gateway,
        ):
            return await gateway.ask(method, rest)

    received = asyncio.run(session())
    assert _is_whole(received), received
    assert received.lower().count(b'\r\ncontent-length: 2\r\n') == 1


@pytest.mark.parametrize(
    'body',
    [
        b'2\r\nok\r\n0\r\n\r\n',
        b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n',
        b'0002 ;name="x"\r\nok\r\n000\r\nX-Sum: a b\r\n\r\n',
    ],
)
def test_sound_chunks_stay_sound(open_gateway_before, body):
    """Guards against a refusal of extensions and trailers."""
    lines = b'Transfer-Encoding: \tChunked \r\n'

    async def session():
        sound = MalformingUpstream(
            b'%b%b' % (make_head(lines), body), linger_s=2
        )
        async with sound.open(), open_gateway_before(sound) as gateway:
            return [await gateway.ask() for _ in range(2)], sound

    answers, sound = asyncio.run(session())
    assert all(_is_whole(one) for one in answers), answers
    assert sound.connections == 1


@pytest.mark.parametrize(
    'end', [b'6z\r\nabcdef\r\n0\r\n\r\n', b'0\x016\r\n\r\n', b'0\r\nx\r\n\r\n']
)
def test_a_long_answer_that_turns_malformed_is_cut(open_gateway_before, end):
    """Guards against an end that a caller takes for the answer's own, once its
    head has been passed on."""
    chunk = b'%x\r\n%b\r\n' % (_LONG_BYTES, bytes(_LONG_BYTES))
    head = make_head(b'Transfer-Encoding: chunked\r\n')

    async def session():
        malforming = MalformingUpstream(b'%b%b%b' % (head, chunk, end))
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            return await gateway.ask()

    received = asyncio.run(session())
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'Transfer-Encoding: chunked' in received
    assert not received.endswith(b'0\r\n\r\n')
    assert b'abcdef' not in received


@pytest.mark.parametrize(
    'body',
    [b'Content-Length: 2\r\n\r\nok', _CHUNKED_OK],
    ids=['length', 'chunks'],
)
def test_bytes_after_an_answer_end_its_connection(open_gateway_before, body):
    """Guards against MIXED: the answer to a request that nobody sent is taken
    as the one to the next request."""
    surplus = make_head(b'')
    own = surplus.removesuffix(b'\r\n')
    answer = b'%b%b%bmalformed' % (own, body, surplus)

    async def session():
        malforming = MalformingUpstream(answer, linger_s=2)
        async with (
            malforming.open(),
            open_gateway_before(malforming) as gateway,
        ):
            answers = [await gateway.ask() for _ in range(2)]
            return answers, malforming

    answers, malforming = asyncio.run(session())
    assert all(_is_whole(one) for one in answers), answers
    assert malforming.connections == 2


@pytest.mark.parametrize('method', [b'GET', b'HEAD'])
@pytest.mark.parametrize(('status', 'own_lines'), BODILESS)
def test_a_sound_answer_without_a_body_stays_sound(
    open_gateway_before, status, own_lines, method
):
    """Guards against a wait for a body that never comes, and for a last chunk
    where the head names a coding."""
    answer = make_head(own_lines, b'HTTP/1.1 %b\r\n' % status)

    async def session():
        sound = MalformingUpstream(answer, linger_s=2)
        async with sound.open(), open_gateway_before(sound) as gateway:
            return await gateway.ask(method)

    assert asyncio.run(session()).startswith(b'HTTP/1.1 %b' % status[:3])


def test_the_head_of_a_chunked_answer_stays_sound(open_gateway_before):
    """Guards against a wait for chunks that no answer to HEAD has."""
    answer = make_head(b'Transfer-Encoding: chunked\r\n')

    async def session():
        sound = MalformingUpstream(answer, linger_s=2)
        async with sound.open(), open_gateway_before(sound) as gateway:
            return await gateway.ask(b'HEAD')

    assert asyncio.run(session()).startswith(b'HTTP/1.1 200 ')
