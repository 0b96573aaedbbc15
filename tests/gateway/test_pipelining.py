"""Tests of pipelined requests through the gateway's listener."""

import asyncio
import collections
import contextlib

import attrs
import pytest

from nutmegshore.gateway.answer import MAX_BUFFERED_BYTES
from nutmegshore.gateway.caller_drain import drain_callers
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.route import RouteKind
from nutmegshore.listener import CallerServer
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerHead, UpstreamClient
from tests.gateway.caller_port import open_caller_port

_PATIENCE_S = 10
_ENDLESS_BYTES = 40_000_000
_LONG_BYTES = 2 * MAX_BUFFERED_BYTES


class HeldUpstreams(UpstreamClient):
    """Answers each request once its id is released.

    `sent` has the requests by id, `cancelled` the ids of cancelled ones,
    `bodies` the answer of an id, which is the id itself otherwise.
    """

    def __init__(self):
        self.dialect = PlatformDialect()
        self.sent = {}
        self.cancelled = []
        self.bodies = {}
        self._gates = collections.defaultdict(asyncio.Event)

    def release(self, *names):
        for name in names:
            self._gates[name].set()

    async def send(self, name, upstream, request, receiver):
        sent = request.request_id
        self.sent[sent] = request
        try:
            await self._gates[sent].wait()
        except asyncio.CancelledError:
            self.cancelled.append(sent)
            raise
        head = AnswerHead(200, (('Request-Id', sent), ('Server-Stamp', 's')))
        await receiver.begin(head)
        await receiver.receive(self.bodies.get(sent, sent.encode()))
        return head


def _request(name, path='/orders/7', method='GET', extra='', within_s=9):
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: a.example',
        f'Request-Id: {name}',
        f'Deadline-Ms: {within_s}000',
        extra,
    )
    return '\r\n'.join((*lines, '\r\n' if extra else '')).encode()


@attrs.define
class Session:
    """A gateway's listener and one caller's connection to it."""

    context: object
    upstreams: HeldUpstreams
    forwarder: GatewayForwarder
    server: CallerServer
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def until(self, is_reached):
        async with asyncio.timeout(_PATIENCE_S):
            while not is_reached():
                await asyncio.sleep(0.001)

    async def until_sent(self, *names):
        """Wait until exactly these requests have reached upstreams."""
        await self.until(lambda: set(self.upstreams.sent) >= set(names))
        for _ in range(20):
            await asyncio.sleep(0.001)
        assert set(self.upstreams.sent) == set(names)

    async def read_answer(self):
        """Read one answer; return its head and its body."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.split(': ') for line in head.decode().split('\r\n')[1:-2]
        )
        length = fields.get('Content-Length')
        if length is not None:
            return head, await self.reader.readexactly(int(length))
        body = b''
        size = 1
        while size:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
        return head, body


@pytest.fixture
def converse(make_context, route):
    """Function that runs a session with a safe and an unsafe route."""

    async def run(session, **limits):
        upstreams = HeldUpstreams()
        unsafe = route(
            name='r2', prefix='/unsafe', kind=RouteKind.UNSAFE, timeout_s=20
        )
        routes = [route(timeout_s=20), unsafe]
        context = make_context(upstreams, routes=routes)
        async with contextlib.AsyncExitStack() as stack:
            opened = await stack.enter_async_context(
                open_caller_port(context, **limits)
            )
            streams = await asyncio.open_connection('127.0.0.1', opened.port)
            stack.callback(streams[1].close)
            served = (opened.forwarder, opened.server)
            async with asyncio.timeout(_PATIENCE_S):
                return await session(
                    Session(context, upstreams, *served, *streams)
                )

    return lambda session, **limits: asyncio.run(run(session, **limits))


def test_safe_requests_reach_upstreams_at_once(converse, lines):
    """Guards against a request that is sent only when the one ahead of it is
    answered, and against a line that is written for another request."""

    async def session(caller):
        caller.writer.write(_request('a') + _request('b') + _request('c'))
        await caller.until_sent('a', 'b', 'c')
        caller.upstreams.release('c', 'b')
        await caller.until(lambda: caller.forwarder.in_flight == 1)
        early = lines.named('request_served')
        caller.upstreams.release('a')
        bodies = [(await caller.read_answer())[1] for _ in range(3)]
        return early, bodies

    early, bodies = converse(session)
    assert not early
    assert bodies == [b'a', b'b', b'c']
    served = lines.named('request_served')
    assert [line['request'] for line in served] == ['a', 'b', 'c']


def test_an_unsafe_request_waits_while_its_deadline_runs(converse):
    """Guards against a request that runs twice, since the answer ahead of it
    may close the connection, and against time that its caller does not have:
    its deadline counts from when it was read."""
    post = _request('u', '/unsafe/1', 'POST', 'Content-Length: 0')

    async def session(caller):
        caller.writer.write(_request('a') + post + _request('b'))
        await caller.until_sent('a')
        now = caller.context.clock.now()
        caller.upstreams.release('a')
        await caller.until_sent('a', 'u', 'b')
        caller.upstreams.release('u', 'b')
        bodies = [(await caller.read_answer())[1] for _ in range(3)]
        return now, caller.upstreams.sent['u'].deadline, bodies

    now, deadline, bodies = converse(session)
    assert bodies == [b'a', b'u', b'b']
    assert deadline < now + 9


def test_a_long_answer_waits_for_its_turn(converse):
    """Guards against a streamed answer inside the one ahead of it."""

    async def session(caller):
        caller.upstreams.bodies['b'] = bytes(_LONG_BYTES)
        caller.writer.write(_request('a') + _request('b') + _request('c'))
        await caller.until_sent('a', 'b', 'c')
        caller.upstreams.release('b', 'c')
        await caller.until(lambda: caller.forwarder.in_flight == 2)
        caller.upstreams.release('a')
        return [(await caller.read_answer())[1] for _ in range(3)]

    assert converse(session) == [b'a', bytes(_LONG_BYTES), b'c']


def test_a_long_answer_that_waits_too_long_becomes_an_error(converse):
    """Guards against a connection that is cut, or an attempt that holds its
    upstream's slot without end, since a long answer waits for its turn."""

    async def session(caller):
        caller.upstreams.bodies['b'] = bytes(_LONG_BYTES)
        caller.writer.write(_request('a') + _request('b', within_s=1))
        await caller.until_sent('a', 'b')
        caller.upstreams.release('b')
        await caller.until(lambda: caller.forwarder.in_flight == 1)
        caller.upstreams.release('a')
        return [(await caller.read_answer())[0] for _ in range(2)]

    first, second = converse(session)
    assert first.startswith(b'HTTP/1.1 200 ')
    assert second.startswith(b'HTTP/1.1 504 ')


def test_a_caller_that_leaves_has_a_line_for_each_request(converse, lines):
    """Guards against upstreams that work for a caller that is gone, and
    against requests that end without a line: one of them was answered and
    waited for its turn."""

    async def session(caller):
        caller.writer.write(_request('a') + _request('b') + _request('c'))
        await caller.until_sent('a', 'b', 'c')
        caller.upstreams.release('b')
        await caller.until(lambda: caller.forwarder.in_flight == 2)
        caller.writer.close()
        await caller.until(lambda: not caller.server.connection_count)
        candidates = caller.context.balancer.candidate_builder
        counts = candidates.load.own_counts()
        return caller.upstreams.cancelled, counts, caller.context.counters

    cancelled, counts, counters = converse(session)
    assert sorted(cancelled) == ['a', 'c']
    assert not counts
    assert counters.total('caller_disconnects') == 3
    abandoned = lines.named('request_abandoned')
    assert sorted(line['request'] for line in abandoned) == ['a', 'c']
    assert {line['reason'] for line in abandoned} == {'caller_left'}
    cut = [
        (line['request'], line['reason']) for line in lines.named('answer_cut')
    ]
    assert cut == [('b', 'caller_left')]


def test_the_time_to_write_an_answer_begins_with_its_turn(converse):
    """Guards against a caller that is cut off although it reads: its answer
    was ready long before the one ahead of it."""
    write_s = 0.05

    async def session(caller):
        caller.writer.write(_request('a') + _request('b'))
        await caller.until_sent('a', 'b')
        caller.upstreams.release('b')
        await caller.until(lambda: caller.forwarder.in_flight == 1)
        await asyncio.sleep(2 * write_s)
        caller.upstreams.release('a')
        return [(await caller.read_answer())[1] for _ in range(2)]

    assert converse(session, write_s=write_s) == [b'a', b'b']


def test_a_caller_that_does_not_read_ends_all_its_requests(converse, lines):
    """Guards against attempts and buffers for a caller that does not read."""

    async def session(caller):
        caller.writer.transport.pause_reading()
        caller.upstreams.bodies['a'] = bytes(_ENDLESS_BYTES)
        first = _request('a', within_s=1)
        caller.writer.write(first + _request('b') + _request('c'))
        await caller.until_sent('a', 'b', 'c')
        caller.upstreams.release('a', 'b')
        await caller.until(lambda: not caller.server.connection_count)
        return caller.upstreams.cancelled

    assert 'c' in converse(session, write_s=0.05)
    ended = lines.named('request_abandoned') + lines.named('answer_cut')
    assert sorted(line['request'] for line in ended) == ['b', 'c']


@pytest.mark.expects_faults
def test_a_fault_withdraws_the_requests_behind_it(converse, lines, monkeypatch):
    """Guards against attempts for requests that the caller sends again, and
    against lines that blame the caller for it."""
    run = GatewayForwarder.run

    async def fail_on_b(forwarder, routed, body, answer):
        await run(forwarder, routed, body, answer)
        if routed.request_id == 'b':
            raise ValueError('a fault of the program')

    monkeypatch.setattr(GatewayForwarder, 'run', fail_on_b)

    async def session(caller):
        caller.writer.write(b''.join(_request(name) for name in 'abcd'))
        await caller.until_sent('a', 'b', 'c', 'd')
        caller.upstreams.release('b', 'd')
        await caller.until(lambda: caller.forwarder.in_flight == 2)
        caller.upstreams.release('a')
        first = await caller.read_answer()
        fault = await caller.read_answer()
        rest = await caller.reader.read()
        return first[1], fault[0], rest, caller.upstreams.cancelled

    first, fault, rest, cancelled = converse(session)
    assert first == b'a'
    assert fault.startswith(b'HTTP/1.1 502 ')
    assert b'\r\nConnection: close\r\n' in fault
    assert not rest
    assert cancelled == ['c']
    ended = lines.named('request_abandoned') + lines.named('answer_cut')
    assert [(line['request'], line['reason']) for line in ended] == [
        ('c', 'withdrawn'),
        ('d', 'withdrawn'),
    ]


def test_a_stop_answers_all_requests_and_closes_behind_the_last(converse):
    """Guards against LOST: a stop closed the connection behind the first
    answer, although more requests had been passed on."""
    post = _request('u', '/unsafe/1', 'POST', 'Content-Length: 4')

    async def session(caller):
        safe = [_request(name) for name in 'abc']
        caller.writer.write(b''.join((*safe, post, b'body')))
        await caller.until_sent('a', 'b', 'c')
        clock = caller.context.clock
        caller.server.leave()
        stopping = asyncio.ensure_future(
            drain_callers(
                caller.server,
                caller.forwarder,
                clock,
                clock.now() + _PATIENCE_S,
                _PATIENCE_S,
            )
        )
        caller.upstreams.release('c', 'b', 'u')
        await caller.until(lambda: caller.forwarder.in_flight == 1)
        caller.upstreams.release('a')
        answers = [await caller.read_answer() for _ in range(4)]
        rest = await caller.reader.read()
        caller.writer.close()
        return answers, rest, await stopping

    answers, rest, cut = converse(session)
    assert [body for _, body in answers] == [b'a', b'b', b'c', b'u']
    closes = [b'\r\nConnection: close\r\n' in head for head, _ in answers]
    assert closes == [False, False, False, True]
    assert not rest
    assert cut == 0


def test_the_end_of_the_grace_period_answers_all_requests(converse):
    """Guards against LOST: requests behind one that its upstream does not
    answer were cut at the end of the grace period, without an answer. One that
    may not run twice has not been sent by then."""
    post = _request('u', '/unsafe/1', 'POST', 'Content-Length: 4')

    async def session(caller):
        safe = [_request(name) for name in 'abc']
        caller.writer.write(b''.join((*safe, post, b'body')))
        await caller.until_sent('a', 'b', 'c')
        caller.upstreams.release('b')
        await caller.until(lambda: caller.forwarder.in_flight == 2)
        clock = caller.context.clock
        caller.server.leave()
        caller.forwarder.refuse_new()
        stopping = asyncio.ensure_future(
            drain_callers(
                caller.server, caller.forwarder, clock, clock.now(), _PATIENCE_S
            )
        )
        answers = [await caller.read_answer() for _ in range(4)]
        rest = await caller.reader.read()
        caller.writer.close()
        return [head.split()[1] for head, _ in answers], rest, await stopping

    statuses, rest, cut = converse(session)
    assert statuses == [b'504', b'200', b'504', b'503']
    assert not rest
    assert cut == 0
