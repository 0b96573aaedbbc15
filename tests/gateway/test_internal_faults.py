"""Tests of requests that a fault of the gateway's own code interrupts."""

import asyncio
import contextlib

import pytest

from nutmegshore.balancing.contention import RefusalCause, Verdict
from nutmegshore.errors import ErrorKind
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.pages import PageResponse, open_pages
from nutmegshore.gateway.responder import GatewayResponder
from nutmegshore.gateway.route import RouteKind
from nutmegshore.listener import CallerServer, ListenerContext

pytestmark = pytest.mark.expects_faults

_GET = (
    b'GET /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r7\r\n'
    b'Affinity-Key: 7\r\nDeadline-Ms: 1500\r\n\r\n'
)
_POST = (
    b'POST /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r8\r\n'
    b'Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody'
)
#: Seconds within which a connection has to be answered or closed.
_PATIENCE_S = 5


class _Failing:
    """Fails from call `first` on; calls `work` before."""

    def __init__(self, work=None, first=1):
        self._work = work
        self._first = first
        self.calls = 0

    def __call__(self, *given, **named):
        self.calls += 1
        if self.calls >= self._first:
            raise ZeroDivisionError('of a test')
        return self._work(*given, **named)


@contextlib.asynccontextmanager
async def _listening(context, make_responder=None):
    forwarder = GatewayForwarder(context)
    listener = ListenerContext(
        make_responder, context.counters, faults=context.log.faults
    )
    if make_responder is None:
        listener.make_responder = lambda writer: GatewayResponder(
            writer, context, forwarder, listener
        )
    server = CallerServer(listener)
    port = server.open(0, '127.0.0.1')
    try:
        yield port
    finally:
        await server.close_all_connections()


async def _exchange(port, sent):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    async with asyncio.timeout(_PATIENCE_S):
        received = await _read_answer(reader)
    writer.close()
    return received


async def _read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = head.partition(b'Content-Length: ')[2].partition(b'\r\n')[0]
    return head + await reader.readexactly(int(length))


async def _send_to(context, sent, make_responder):
    async with _listening(context, make_responder) as port:
        return await _exchange(port, sent)


def _send(context, sent=_GET, make_responder=None):
    return asyncio.run(_send_to(context, sent, make_responder))


def _has_retry_time(received):
    seconds = received.partition(b'Retry-After: ')[2].partition(b'\r\n')[0]
    return bool(seconds) and float(seconds) > 0


@pytest.fixture
def break_at(monkeypatch):
    """Function that lets a method fail from its n-th call on."""

    def replace(owner, name, first=1):
        failing = _Failing(getattr(owner, name), first)
        monkeypatch.setattr(owner, name, failing)
        return failing

    return replace


@pytest.mark.parametrize('sent', [_GET, _POST])
def test_a_fault_in_the_first_decision_is_answered_as_not_run(
    make_context, scripted, break_at, lines, sent, route
):
    """Guards against a reset for a request that was never sent (issue 44)."""
    kind = RouteKind.SAFE if sent is _GET else RouteKind.UNSAFE
    upstreams = scripted()
    context = make_context(upstreams, routes=[route(kind=kind)])
    break_at(context.balancer, 'choose')
    received = _send(context, sent)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert _has_retry_time(received)
    assert not upstreams.sent
    assert lines.named('request_refused')[0]['reason'] == 'fault_before_send'


def test_a_fault_names_the_request_and_the_place(
    make_context, scripted, break_at, lines
):
    """Guards against a line of level error that nobody can trace
    (issue 44)."""
    context = make_context(scripted())
    break_at(context.balancer, 'choose')
    _send(context)
    found = lines.named('internal_fault')
    assert [line['request'] for line in found] == ['r7']
    assert found[0]['level'] == 'error'
    assert 'ZeroDivisionError' in found[0]['error']
    assert 'attempt_chooser' in found[0]['stack']
    assert context.counters.total('internal_faults') == 1


def test_a_fault_after_a_lost_attempt_promises_nothing(
    make_context, scripted, step, break_at
):
    """Guards against "not run" for a request that may have run, and against
    a reset (issue 44)."""
    upstreams = scripted(step(failure=ErrorKind.UPSTREAM_LOST))
    context = make_context(upstreams)
    break_at(context.balancer, 'choose', first=2)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 502 ')
    assert len(upstreams.sent) == 1


def test_a_fault_after_a_refused_attempt_is_answered_as_not_run(
    make_context, scripted, step, break_at
):
    """Guards against a failure without a promise for a request that certainly
    has not run."""
    context = make_context(scripted(step(failure=ErrorKind.UPSTREAM_REFUSED)))
    break_at(context.balancer, 'choose', first=2)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert _has_retry_time(received)


def test_a_fault_while_a_request_is_sent_promises_nothing(
    make_context, scripted, break_at, route
):
    """Guards against "not run" for a request whose sending failed midway."""
    upstreams = scripted()
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    break_at(upstreams, 'report')
    assert _send(context, _POST).startswith(b'HTTP/1.1 502 ')


@pytest.mark.parametrize(
    ('part', 'method'),
    [
        ('balancer', 'end'),
        ('crashes', 'record_answer'),
        ('counters', 'record_s'),
    ],
)
def test_a_fault_in_statistics_costs_no_answer(
    make_context, scripted, step, break_at, part, method
):
    """Guards against losing an upstream's whole answer to what is recorded
    about it (issue 44)."""
    context = make_context(scripted(step(body=b'whole')))
    failing = break_at(getattr(context, part), method)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(b'whole')
    assert failing.calls


def test_a_fault_in_the_log_costs_no_refusal(
    make_context, scripted, break_at, route, lines
):
    """Guards against a refusal that is lost to the line about it."""
    context = make_context(scripted(), routes=[route(host='b.example')])
    break_at(lines, 'info')
    assert _send(context).startswith(b'HTTP/1.1 404 ')


def test_a_connection_serves_on_after_a_fault_in_statistics(
    make_context, scripted, break_at
):
    """Guards against closing a kept connection whose answers are whole."""
    context = make_context(scripted())
    break_at(context.balancer, 'end')

    async def twice():
        async with _listening(context) as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_GET + _GET)
            async with asyncio.timeout(_PATIENCE_S):
                answers = [await _read_answer(reader) for _ in range(2)]
            writer.close()
        return answers

    answers = asyncio.run(twice())
    assert {answer[:13] for answer in answers} == {b'HTTP/1.1 200 '}


@pytest.mark.parametrize('method', ['_gap_s', '_describe'])
def test_a_fault_in_advice_costs_no_refusal(
    make_context, scripted, break_at, lines, method
):
    """Guards against losing a refusal and its reason to the time of return or
    to what is logged (issue 44)."""
    context = make_context(scripted())
    break_at(context.balancer._refusals, method)
    verdict = Verdict(RefusalCause.QUEUE)
    context.balancer._contention.judge = lambda *request: verdict
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert _has_retry_time(received)
    assert lines.named('request_refused')[0]['reason'] == 'overloaded'


def test_a_fault_before_there_is_a_responder_is_answered(
    make_context, scripted
):
    """Guards against a reset where not even a responder could be made."""
    context = make_context(scripted())
    received = _send(context, make_responder=_Failing())
    assert received.startswith(b'HTTP/1.1 503 ')


@pytest.mark.parametrize('reader', ['parse_head', 'read_body_length'])
def test_a_fault_while_a_request_is_read_is_answered(
    make_context, scripted, monkeypatch, reader
):
    """Guards against a reset for a request whose reading failed."""
    where = f'nutmegshore.listener.request_reader.{reader}'
    monkeypatch.setattr(where, _Failing())
    received = _send(make_context(scripted()))
    assert received.startswith(b'HTTP/1.1 503 ')
    assert _has_retry_time(received)


def test_a_fault_in_the_refusal_itself_is_answered(
    make_context, scripted, break_at
):
    """Guards against a reset after a second fault."""
    context = make_context(scripted())
    break_at(context.balancer, 'choose')

    def make_responder(writer):
        made = GatewayResponder(
            writer,
            context,
            GatewayForwarder(context),
            ListenerContext(None, context.counters),
        )
        made.refuse = _Failing()
        return made

    received = _send(context, make_responder=make_responder)
    assert received.startswith(b'HTTP/1.1 503 ')


def test_an_answer_that_a_fault_cuts_does_not_look_whole(
    make_context, scripted, step, monkeypatch
):
    """Guards against an answer that ends early and looks complete."""
    context = make_context(scripted(step(body=b'x' * 300_000)))
    where = 'nutmegshore.gateway.answer.BufferedAnswer.finish'
    monkeypatch.setattr(where, _Failing())

    async def read_all():
        async with _listening(context) as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_GET)
            async with asyncio.timeout(_PATIENCE_S):
                await reader.read()

    with pytest.raises(ConnectionResetError):
        asyncio.run(read_all())


def test_a_fault_in_a_page_is_answered(make_context, scripted):
    """Guards against a look-up without an answer."""
    context = make_context(scripted())
    pages = {'/lookup': _Failing(), '/ready': lambda _: PageResponse(200, b'')}

    async def ask():
        server = open_pages(
            '127.0.0.1:0', pages, context.counters, context.log.faults
        )
        port = server.ports[0]
        failed = await _exchange(
            port, b'GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n'
        )
        passed = await _exchange(
            port, b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n'
        )
        server.stop()
        await server.close_all_connections()
        return failed, passed

    failed, passed = asyncio.run(ask())
    assert failed.startswith(b'HTTP/1.1 503 ')
    assert passed.startswith(b'HTTP/1.1 200 ')


def test_a_fault_in_the_reading_of_the_id_is_answered(
    make_context, scripted, monkeypatch
):
    """Guards against a reset where the report of a fault asks again for what
    has just failed, the id of the request."""
    where = 'nutmegshore.gateway.responder.read_caller_fields'
    monkeypatch.setattr(where, _Failing())
    received = _send(make_context(scripted()))
    assert received.startswith(b'HTTP/1.1 503 ')


def test_a_request_whose_work_is_cancelled_from_within_is_answered(
    make_context, scripted, monkeypatch
):
    """Guards against a request without an answer, on a connection that is
    kept: the answer to the next request would be taken for its own."""
    context = make_context(scripted())

    async def wait(routed):
        raise asyncio.CancelledError

    monkeypatch.setattr(context.crashes, 'wait_for_check', wait)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 503 ')


def test_a_fault_before_the_send_is_answered_as_not_run(
    make_context, scripted, monkeypatch, route
):
    """Guards against a failure without a promise for a request that no
    upstream has been given yet."""
    upstreams = scripted()
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    where = 'nutmegshore.gateway.attempt.write_expected_instance'
    monkeypatch.setattr(where, _Failing())
    received = _send(context, _POST)
    assert not upstreams.sent
    assert received.startswith(b'HTTP/1.1 503 ')


def test_a_fault_in_the_counters_occupies_no_slot(
    make_context, scripted, monkeypatch
):
    """Guards against an upstream that counts as busy for ever, because the
    end of an attempt was not recorded after a fault in its counter."""
    context = make_context(scripted())
    add = context.counters.add

    def fail_for_attempts(name, *given, **labels):
        if name == 'attempts':
            raise ZeroDivisionError('of a test')
        add(name, *given, **labels)

    monkeypatch.setattr(context.counters, 'add', fail_for_attempts)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 200 ')
    loads = context.balancer.candidate_builder.load
    in_flight = [loads.get(name).in_flight for name in context.state.by_id]
    assert not any(in_flight)


@pytest.mark.parametrize('method', ['end', '_judge', '_record_contact'])
def test_a_fault_at_the_end_of_an_attempt_keeps_its_answer(
    make_context, scripted, break_at, step, method
):
    """Guards against losing a whole answer to the record of its attempt."""
    context = make_context(scripted(step(body=b'whole')))
    break_at(context.balancer, method)
    assert _send(context).endswith(b'whole')


def test_a_fault_in_the_record_of_an_attempt_keeps_its_answer(
    make_context, scripted, break_at, step, monkeypatch
):
    """Guards against losing a whole answer to the list of attempts that only
    the log needs."""
    context = make_context(scripted(step(body=b'whole')))
    where = 'nutmegshore.gateway.attempt.AttemptRecord.of'
    monkeypatch.setattr(where, _Failing())
    assert _send(context).endswith(b'whole')


def test_an_answer_in_place_of_a_streamed_one_is_framed_by_its_length(
    make_context, scripted, monkeypatch, step
):
    """Guards against bytes that are no answer: chunks announced, none sent,
    after a fault while the head of a long answer was made."""
    context = make_context(scripted(step(body=b'x' * 300_000)))
    reason = 'nutmegshore.listener.answer._reason'
    failing = [ZeroDivisionError('of a test')]

    def fail_once(status):
        if failing:
            raise failing.pop()
        return 'Reason'

    monkeypatch.setattr(reason, fail_once)
    received = _send(context)
    assert received.startswith(b'HTTP/1.1 502 ')
    assert b'Transfer-Encoding' not in received


def test_a_log_that_cannot_be_written_costs_no_answer(
    make_context, scripted, step, monkeypatch, lines, break_at
):
    """Guards against losing a whole answer where the log and the log of last
    resort fail both, as with a full disk behind standard output."""
    refused = step(failure=ErrorKind.UPSTREAM_REFUSED)
    context = make_context(scripted(refused, step(body=b'whole')))
    break_at(lines, 'info')
    monkeypatch.setattr('nutmegshore.faults.log_fault', _Failing())
    assert _send(context).endswith(b'whole')
