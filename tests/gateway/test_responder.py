"""Tests of requests through the gateway's listener over real sockets."""

import asyncio
import contextlib
import socket

import attrs
import pytest

from nutmegshore.errors import (
    ErrorKind,
    Outcome,
    RefusedError,
    RequestError,
)
from nutmegshore.gateway.customer import Customer, CustomerTable
from nutmegshore.gateway.replica_view import ReplicaView
from nutmegshore.gateway.responder import status_of
from nutmegshore.gateway.route import RouteKind
from nutmegshore.listener import AnswerWriter, CallerServer
from nutmegshore.platform.bounds import Bounds
from tests.gateway.caller_port import open_caller_port

#: An answer that is buffered, and that a narrow connection cannot take.
_LONG_BYTES = 250_000
#: Bytes that a narrow connection takes at once.
_NARROW_BYTES = 4096
#: Seconds within which a line has to be written.
_PATIENCE_S = 5

_GET = (
    b'GET /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r7\r\n'
    b'Affinity-Key: 7\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n'
)
_POST = (
    b'POST /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r8\r\n'
    b'Deadline-Ms: 1500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody'
)


@contextlib.asynccontextmanager
async def _listening(context, **limits):
    async with open_caller_port(context, **limits) as opened:
        yield opened.port, opened.forwarder


async def _send_bytes(context, sent):
    async with _listening(context) as (port, _):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(sent)
        received = await reader.read()
        writer.close()
    return received


def _send(context, sent):
    return asyncio.run(_send_bytes(context, sent))


def test_an_answer_is_passed_on_unchanged(make_context, scripted, step, lines):
    """Guards against a status, body or stamp that differs from the
    upstream's."""
    upstreams = scripted(step(status=201, body=b'whole'))
    received = _send(make_context(upstreams), _GET)
    assert received.startswith(b'HTTP/1.1 201 ')
    assert b'Server-Stamp: s\r\n' in received
    assert received.endswith(b'\r\n\r\nwhole')
    served = lines.named('request_served')
    assert [line['request'] for line in served] == ['r7']


def test_a_refused_caller_is_never_called_back_at_once(
    make_context, scripted, monkeypatch
):
    """Guards against `Retry-After: 0.0`, which a fraction of a millisecond was
    rounded to."""

    def refuse(request):
        raise RefusedError(ErrorKind.QUARANTINED, 'orders', 0.0003)

    context = make_context(scripted())
    monkeypatch.setattr(context.balancer, 'choose', refuse)
    assert b'\r\nRetry-After: 0.001\r\n' in _send(context, _GET)


def test_a_failure_of_the_upstream_is_passed_on(make_context, scripted, step):
    """Guards against a gateway's status with an upstream's stamp."""
    received = _send(make_context(scripted(step(status=500))), _GET)
    assert received.startswith(b'HTTP/1.1 500 ')


@pytest.mark.parametrize(
    'kind',
    [ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_SPOILED],
)
def test_an_unsafe_request_whose_answer_is_lost_runs_once(
    make_context,
    scripted,
    step,
    route,
    kind,
):
    """Guards against retrying an unsafe request that may have run, and
    against a status that says "not run"."""
    upstreams = scripted(step(failure=kind), step())
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    received = _send(context, _POST)
    assert received.startswith(b'HTTP/1.1 502 ')
    assert len(upstreams.sent) == 1


@pytest.mark.parametrize('status', [408, 429, 503])
def test_a_bare_refusal_of_an_unsafe_request_is_not_passed_on(
    make_context,
    scripted,
    step,
    route,
    status,
):
    """Guards against passing on a status that means "not run" although the
    upstream did not say so."""
    upstreams = scripted(step(status=status))
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    assert _send(context, _POST).startswith(b'HTTP/1.1 502 ')


def test_a_refused_unsafe_request_is_retried_elsewhere(
    make_context,
    scripted,
    step,
    route,
):
    """Guards against failing an unsafe request that no upstream has run, and
    against a retry without its body."""
    refused = step(status=503, headers=(('Not-Run', '1'),))
    upstreams = scripted(refused, step())
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    assert _send(context, _POST).startswith(b'HTTP/1.1 200 ')
    assert upstreams.bodies == [b'body', b'body']
    names = [name for name, _ in upstreams.sent]
    assert len(set(names)) == 2


def test_a_read_whose_answer_is_lost_is_retried(make_context, scripted, step):
    """Guards against failing a read that another upstream could answer."""
    upstreams = scripted(step(failure=ErrorKind.UPSTREAM_LOST), step())
    assert _send(make_context(upstreams), _GET).startswith(b'HTTP/1.1 200 ')
    assert len(upstreams.sent) == 2


def test_a_failure_says_why_no_other_upstream_was_asked(
    make_context, scripted, step, lines, monkeypatch
):
    """Guards against a line that hides the refusal of a second upstream behind
    the failure of the first (issue 47)."""
    context = make_context(scripted(step(failure=ErrorKind.UPSTREAM_LOST)))
    choose = context.balancer.choose

    def refuse_second(request):
        if request.tried:
            raise RefusedError(ErrorKind.OVERLOADED, 'orders', 0.5)
        return choose(request)

    monkeypatch.setattr(context.balancer, 'choose', refuse_second)
    assert _send(context, _GET).startswith(b'HTTP/1.1 502 ')
    assert lines.named('request_failed')[0]['no_retry'] == 'overloaded'


def test_a_late_answer_to_another_request_is_not_passed_on(
    make_context,
    scripted,
    step,
):
    """Guards against giving the next caller the answer to another request."""
    other = step(headers=(('Request-Id', 'r0'), ('Server-Stamp', 's')))
    upstreams = scripted(other, step(body=b'own'))
    received = _send(make_context(upstreams), _GET)
    assert received.endswith(b'own')


def test_a_read_stays_within_its_attempts(make_context, scripted, step):
    """Guards against more attempts than the route allows."""
    upstreams = scripted(step(failure=ErrorKind.UPSTREAM_LOST))
    assert _send(make_context(upstreams), _GET).startswith(b'HTTP/1.1 502 ')
    assert len(upstreams.sent) == 2


def test_refusals_of_upstreams_stay_within_the_budget(
    make_context,
    scripted,
    step,
):
    """Guards against retries that multiply when every upstream refuses."""
    refused = step(status=503, headers=(('Not-Run', '1'),))
    upstreams = scripted(refused)
    received = _send(make_context(upstreams, extra_retries=0), _GET)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in received
    assert len(upstreams.sent) == 1


def test_a_moved_address_is_not_tried_again(make_context, scripted, step):
    """Guards against further requests to an address that another service
    has taken over."""
    upstreams = scripted(step(status=421), step())
    context = make_context(upstreams)
    assert _send(context, _GET).startswith(b'HTTP/1.1 200 ')
    moved = upstreams.sent[0][0]
    usable = {upstream.instance for upstream in context.state.usable('orders')}
    assert moved not in usable
    assert len(usable) == 2


def test_an_answer_comes_at_the_routes_timeout(
    make_context,
    scripted,
    step,
    route,
):
    """Guards against a request that outlasts its route's timeout."""
    upstreams = scripted(step(after_s=None))
    context = make_context(upstreams, routes=[route(timeout_s=0.1)])
    received = _send(context, _POST)
    assert received.startswith(b'HTTP/1.1 504 ')
    assert upstreams.cancelled == 1
    name = upstreams.sent[0][0]
    assert not context.balancer.candidate_builder.load.get(name).in_flight


def test_the_remaining_deadline_is_sent_to_the_upstream(make_context, scripted):
    """Guards against an upstream that works past the caller's deadline."""
    upstreams = scripted()
    context = make_context(upstreams)
    _send(context, _GET)
    remaining_s = upstreams.sent[0][1].deadline - context.clock.now()
    assert 0 < remaining_s <= 3 / 2


def test_the_instance_and_the_callers_headers_are_sent_upstream(
    make_context,
    scripted,
):
    """Guards against requests run by an upstream that reused the address."""
    upstreams = scripted()
    _send(make_context(upstreams), _GET)
    name, request = upstreams.sent[0]
    headers = dict(request.headers)
    assert headers['Expect-Instance'] == name
    assert headers['Request-Id'] == 'r7'
    assert headers['Host'] == 'a.example'
    assert 'Deadline-Ms' not in headers


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (_GET.replace(b'/orders/', b'/nothing/'), b'404'),
        (_GET.replace(b'a.example', b'b.example'), b'404'),
    ],
)
def test_a_request_without_a_route_is_not_found(
    make_context,
    scripted,
    sent,
    status,
):
    """Guards against requests sent to a service of another route."""
    upstreams = scripted()
    received = _send(make_context(upstreams), sent)
    assert received.startswith(b'HTTP/1.1 %b ' % status)
    assert not upstreams.sent


def test_a_gateway_without_a_configuration_refuses_requests(
    make_context,
    scripted,
):
    """Guards against a 404 before a configuration is loaded."""
    context = make_context(scripted())
    context.state.configuration = None
    assert _send(context, _GET).startswith(b'HTTP/1.1 503 ')


def _disconnect_early(context, is_noticed):
    """Close a caller's connection once its request was sent upstream."""

    async def session():
        async with _listening(context) as (port, _):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_GET.replace(b'Connection: close\r\n', b''))
            while not context.upstreams.sent:
                await asyncio.sleep(0.01)
            writer.close()
            while not is_noticed():
                await asyncio.sleep(0.01)

    asyncio.run(asyncio.wait_for(session(), 5))


def test_a_disconnected_callers_attempt_is_cancelled(
    make_context, scripted, step
):
    """Guards against upstreams that work for disconnected callers."""
    upstreams = scripted(step(after_s=None))
    context = make_context(upstreams)
    _disconnect_early(context, lambda: upstreams.cancelled)
    assert not context.balancer.candidate_builder.load.own_counts()


def test_a_disconnected_caller_is_logged(make_context, scripted, step, lines):
    """Guards against an abandoned request without a log line: on the played
    day trouble-1 of the deployment leafscale-gj, 42 callers disconnected
    without an answer, one of them while it waited for a vanished upstream."""
    upstreams = scripted(step(after_s=None))
    context = make_context(upstreams)
    _disconnect_early(context, lambda: lines.named('request_abandoned'))
    line = lines.named('request_abandoned')[0]
    assert line['request'] == 'r7'
    assert [attempt[0] for attempt in line['attempts']] == [
        upstreams.sent[0][0],
    ]


def test_attempts_end_before_the_deadline_of_the_caller(make_context, scripted):
    """Guards against an error that is sent after the caller's deadline."""
    context = make_context(scripted())
    started = context.clock.now()
    _send(context, _GET)
    _, request = context.upstreams.sent[0]
    # The request arrives with a deadline of 1.5 s.
    assert int(1000 * (request.deadline - started)) < 1500


def test_a_refusal_is_logged_with_its_reason(make_context, scripted, lines):
    """Guards against a refusal without a log line."""
    context = make_context(scripted())
    context.state.replace_upstreams((), is_after_outage=False)
    received = _send(context, _GET)
    assert received.startswith(b'HTTP/1.1 503 ')
    line = lines.named('request_refused')[0]
    assert line['request'] == 'r7'
    assert line['reason'] == 'no_upstream'
    assert line['configuration'] == 1
    assert line['retry_after_s'] > 0


@pytest.mark.parametrize(
    ('failure', 'outcome'),
    [(None, 'served'), (ErrorKind.UPSTREAM_LOST, 'failed')],
)
def test_times_are_recorded_by_region_and_outcome(
    make_context,
    scripted,
    step,
    failure,
    outcome,
):
    """Guards against latencies that lack the region or the outcome."""
    context = make_context(scripted(step(failure=failure)))
    _send(context, _GET)
    series = [labels for _, labels in context.counters.histograms]
    assert series == [
        (('outcome', outcome), ('region', 'west'), ('service', 'orders')),
    ]


def test_a_refusal_under_load_is_logged_with_the_best_upstream(
    make_context,
    scripted,
    lines,
):
    """Guards against a refusal that on-call cannot verify: a sample of 20
    lacked the upstream's queue and the age of its report; and against one whose
    cause neither the line nor a counter tells."""
    context = make_context(scripted())
    for name in ('u1', 'u2', 'u3'):
        context.balancer.candidate_builder.load.get(name).in_flight = 20
        context.balancer.candidate_builder.load.handle_report(name, 20)
    received = _send(context, _GET)
    assert received.startswith(b'HTTP/1.1 503 ')
    refused = lines.named('request_refused')[0]
    assert refused['upstream'] in {'u1', 'u2', 'u3'}
    assert refused['busy'] == 21
    assert 0 <= refused['report_age_s'] < 1
    assert refused['wait_s'] > 1
    assert refused['cause'] in {'deadline', 'queue'}
    found = context.counters.total(
        'requests_contended', cause=refused['cause'], route=refused['route']
    )
    assert found == 1


def test_a_refusal_before_readiness_names_what_is_missing(
    make_context,
    scripted,
    lines,
):
    """Guards against a line that reports a missing configuration when the
    upstreams are missing, as 1 of 20 sampled lines of the demo vks-boots
    trouble-1 did."""
    context = make_context(scripted())
    context.state.upstreams_known = False
    _send(context, _GET)
    refused = lines.named('request_refused')[0]
    assert refused['detail'] == 'not known yet: upstreams'


def test_a_request_without_route_is_logged_with_its_host(
    make_context,
    scripted,
    lines,
):
    """Guards against a logged path without the host that selects routes."""
    _send(make_context(scripted()), _GET.replace(b'a.example', b'b.example'))
    refused = lines.named('request_refused')[0]
    assert refused['detail'] == 'b.example/orders/7'


async def _write_forever(writer, status, headers, body):
    await asyncio.Event().wait()


def test_a_caller_that_does_not_read_is_disconnected(
    make_context,
    scripted,
    monkeypatch,
):
    """Guards against a connection that stays open for a caller that does not
    read its answer, and delays the shutdown."""
    context = make_context(scripted())
    monkeypatch.setattr(AnswerWriter, 'write_own', _write_forever)

    async def session():
        async with _listening(context, write_s=0.05) as (port, _):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_GET)
            async with asyncio.timeout(2):
                with contextlib.suppress(ConnectionResetError):
                    assert not await reader.read()
            writer.close()

    asyncio.run(session())
    assert context.counters.total('answers_not_taken') == 1


@pytest.fixture
def narrow(monkeypatch):
    """Let connections of callers take few bytes at once."""
    serve = CallerServer.handle_stream

    async def handle_stream(server, stream, address):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _NARROW_BYTES
        )
        await serve(server, stream, address)

    monkeypatch.setattr(CallerServer, 'handle_stream', handle_stream)


async def _connect_narrowly(port):
    """Connect as a caller with a small buffer for what it receives."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _NARROW_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, ('127.0.0.1', port))
    return caller


def _read_a_little(context, is_done, write_s=_PATIENCE_S):
    """Ask for an answer and take a part of it; reset when `is_done` says."""

    async def session():
        async with _listening(context, write_s=write_s) as (port, _):
            reader, writer = await asyncio.open_connection(
                sock=await _connect_narrowly(port), limit=_NARROW_BYTES
            )
            writer.write(_GET)
            await reader.readexactly(1)
            async with asyncio.timeout(_PATIENCE_S):
                while not is_done(writer):
                    await asyncio.sleep(0.01)
            writer.transport.abort()

    asyncio.run(session())


@pytest.mark.usefixtures('narrow')
def test_a_caller_that_does_not_read_is_logged(
    make_context, scripted, step, lines
):
    """Guards against a request that is cut without a line (issue 47): the
    gateway reset the connection of a caller that did not take its answer."""
    context = make_context(scripted(step(body=bytes(_LONG_BYTES))))

    def is_cut(writer):
        return context.counters.total('answers_not_taken')

    _read_a_little(context, is_cut, write_s=0.05)
    cut = lines.named('answer_cut')
    assert [line['request'] for line in cut] == ['r7']
    assert [line['reason'] for line in cut] == ['not_taken']


@pytest.mark.usefixtures('narrow')
def test_a_cut_answer_leaves_no_exception_in_the_event_loop(
    make_context, scripted, step, caplog
):
    """Guards against a traceback without a request (issue 47): a callback of
    tornado raised for each write that the end of its time had cancelled."""
    context = make_context(scripted(step(body=bytes(_LONG_BYTES))))

    def is_cut(writer):
        return context.counters.total('answers_not_taken')

    _read_a_little(context, is_cut, write_s=0.05)
    assert [line for line in caplog.records if line.name == 'asyncio'] == []


@pytest.mark.usefixtures('narrow')
def test_a_caller_that_leaves_within_its_answer_is_logged(
    make_context, scripted, step, lines
):
    """Guards against a request that ends without a line (issue 47): the
    caller's connection broke while its answer was being written."""
    context = make_context(scripted(step(body=bytes(_LONG_BYTES))))

    def has_left(writer):
        writer.transport.abort()
        return context.counters.total('caller_disconnects')

    _read_a_little(context, has_left)
    cut = lines.named('answer_cut')
    assert [line['request'] for line in cut] == ['r7']
    assert [line['reason'] for line in cut] == ['caller_left']


@pytest.mark.usefixtures('narrow')
def test_an_answer_that_a_stop_cuts_is_logged(
    make_context, scripted, step, lines
):
    """Guards against a line that blames the caller (issue 47): the grace
    period ended while an answer was being written, and the gateway cut it."""
    context = make_context(scripted(step(body=bytes(_LONG_BYTES))))

    async def session():
        async with _listening(context) as (port, _):
            reader, writer = await asyncio.open_connection(
                sock=await _connect_narrowly(port), limit=_NARROW_BYTES
            )
            writer.write(_GET)
            await reader.readexactly(1)
        writer.transport.abort()

    asyncio.run(session())
    cut = lines.named('answer_cut')
    assert [line['reason'] for line in cut] == ['stopped']


def test_a_failed_unsafe_request_is_logged_with_why_it_was_not_retried(
    make_context,
    scripted,
    step,
    route,
    lines,
):
    """Guards against a logged failure without the reason for the missing
    retry, as in 3 of 20 sampled lines."""
    upstreams = scripted(step(failure=ErrorKind.UPSTREAM_LOST))
    context = make_context(upstreams, routes=[route(kind=RouteKind.UNSAFE)])
    _send(context, _POST)
    failed = lines.named('request_failed')[0]
    assert failed['no_retry'] == 'may_have_run'


def test_a_request_that_comes_late_in_a_stop_is_refused(make_context, scripted):
    """Guards against LOST: a stopping gateway passed on requests that it could
    only cut at the end of its grace period."""
    upstreams = scripted()
    context = make_context(upstreams)

    async def session():
        async with _listening(context) as (port, forwarder):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_POST[:-4])
            await asyncio.sleep(0.05)
            forwarder.refuse_new()
            writer.write(_POST[-4:])
            received = await reader.read()
            writer.close()
        return received

    received = asyncio.run(session())
    assert received.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in received
    assert not upstreams.sent


@pytest.mark.parametrize('kind', ErrorKind)
def test_no_promise_is_made_for_what_may_have_run(kind):
    """Guards against REFUSED: an upload whose caller stalled after an upstream
    had begun its work was answered 408, and the caller sent it again."""
    error = RequestError(kind, 'r1')
    if error.answer.outcome is not Outcome.NOT_RUN:
        assert status_of(error) not in {408, 421, 429, 503}


def _with_customers(context, **changes):
    """Let a customer with the key `k1` use the routes of a context."""
    state = context.state
    customer = Customer('c1', frozenset(('k1',)))
    routes = [
        attrs.evolve(one, **changes) for one in state.configuration.routes
    ]
    changed = attrs.evolve(
        state.configuration,
        version=state.configuration.version + 1,
        routes=tuple(routes),
        customers=CustomerTable.of([customer]),
    )
    state.adopt(changed)
    return context


def _get_with(*lines):
    return _GET.replace(b'Connection', b'\r\n'.join((*lines, b'Connection')))


def _named_headers(upstreams):
    """Headers of the first request that was sent, by lower-case name."""
    request = upstreams.sent[0][1]
    return {name.lower(): text for name, text in request.headers}


@pytest.mark.parametrize('sent', [(), (b'Key: k9',), (b'Key: k1', b'Key: k9')])
def test_a_request_without_a_known_key_is_not_run(make_context, scripted, sent):
    """Guards against ROUTE: a key that no configuration ever held was
    served."""
    upstreams = scripted()
    context = _with_customers(make_context(upstreams))
    assert _send(context, _get_with(*sent)).startswith(b'HTTP/1.1 401 ')
    assert not upstreams.sent


def test_an_upstream_gets_the_name_of_the_keys_customer(make_context, scripted):
    """Guards against UNASKED: the key reached an upstream, or a name of the
    caller's choice did."""
    upstreams = scripted()
    context = _with_customers(make_context(upstreams))
    received = _send(context, _get_with(b'Key: k1', b'Tenant: c9'))
    assert received.startswith(b'HTTP/1.1 200 ')
    named = _named_headers(upstreams)
    assert named['tenant'] == 'c1'
    assert 'key' not in named


def test_a_public_route_needs_no_key(make_context, scripted):
    """Guards against DENIED: a public route asked for a key."""
    upstreams = scripted()
    context = _with_customers(make_context(upstreams), is_public=True)
    assert _send(context, _get_with(b'Tenant: c9')).startswith(b'HTTP/1.1 200 ')
    assert 'tenant' not in _named_headers(upstreams)


def test_headers_are_passed_on_where_there_are_no_customers(
    make_context, scripted
):
    """Guards against dropping ordinary headers of a deployment without
    customers."""
    upstreams = scripted()
    _send(make_context(upstreams), _get_with(b'Key: k1', b'Tenant: c9'))
    headers = upstreams.sent[0][1].headers
    assert ('Key', 'k1') in headers
    assert ('Tenant', 'c9') in headers


def _make_strict(context, age_s):
    """Let a gateway believe keys for 4.5 s, with a configuration of an age."""
    context.key_age.bounds = Bounds(is_revoke_strict=True, configuration_s=4)
    view = ReplicaView(context.clock)
    view.confirm_at(context.clock.now() - age_s)
    context.state.configuration_view = view
    return context


@pytest.mark.parametrize('key', [b'Key: k1', b'Key: k9'])
def test_no_key_is_believed_for_too_long(make_context, scripted, key):
    """Guards against REVOKED: a key that was removed long ago is served, and
    against a 401, which callers never retry, for one that was added since."""
    upstreams = scripted()
    context = _make_strict(_with_customers(make_context(upstreams)), 4.6)
    received = _send(
        context, _get_with(key).replace(b'Connection: close', b'Any: 1')
    )
    head = received.lower()
    assert head.startswith(b'http/1.1 503 ')
    assert b'\r\nretry-after: 0.5\r\n' in head
    assert b'\r\nconnection: close\r\n' in head
    assert not upstreams.sent
    assert context.counters.total('key_checks_refused') == 1


@pytest.mark.parametrize(
    ('age_s', 'key', 'status'),
    [
        (4.3, b'Key: k1', b'200'),
        (4.3, b'Key: k9', b'503'),
        (3.5, b'Key: k9', b'401'),
        (60, b'Any: 1', b'401'),
    ],
)
def test_a_key_is_refused_for_good_only_if_that_is_known(
    make_context, scripted, age_s, key, status
):
    """Guards against DENIED: a key that was added lately gets a 401."""
    context = _with_customers(make_context(scripted()))
    received = _send(_make_strict(context, age_s), _get_with(key))
    assert received.split(b' ')[1] == status


def test_public_routes_go_on_without_a_fresh_configuration(
    make_context, scripted
):
    """Guards against DENIED: a public route is refused for the sake of keys."""
    context = _with_customers(make_context(scripted()), is_public=True)
    received = _send(_make_strict(context, 60), _get_with(b'Key: k1'))
    assert received.startswith(b'HTTP/1.1 200 ')


def test_keys_are_not_bounded_without_the_setting(make_context, scripted):
    """Guards against refusals in deployments that do not ask for the bound."""
    context = _make_strict(_with_customers(make_context(scripted())), 60)
    context.key_age.bounds = Bounds()
    received = _send(context, _get_with(b'Key: k1'))
    assert received.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize(
    ('change', 'failure', 'status'),
    [
        ('removed', ErrorKind.UPSTREAM_UNREACHABLE, b'401'),
        ('outdated', ErrorKind.UPSTREAM_UNREACHABLE, b'503'),
        ('removed', ErrorKind.UPSTREAM_LOST, b'502'),
        ('outdated', ErrorKind.UPSTREAM_LOST, b'502'),
    ],
)
def test_a_key_is_checked_at_each_attempt(
    make_context, scripted, step, change, failure, status
):
    """Guards against REVOKED: a request waits to be retried, and its key is
    removed or the configuration becomes too old meanwhile. Guards against
    REFUSED: the first attempt may have run, and the answer denies it."""
    upstreams = scripted(step(failure), step())
    context = _make_strict(_with_customers(make_context(upstreams)), 1)
    state = context.state
    send = upstreams.send

    async def send_and_change(*sent):
        if change == 'removed':
            present = state.configuration
            state.adopt(
                attrs.evolve(
                    present,
                    version=present.version + 1,
                    customers=CustomerTable.of([]),
                )
            )
        else:
            context.key_age.bounds = Bounds(is_revoke_strict=True, revoke_s=1)
        return await send(*sent)

    upstreams.send = send_and_change
    received = _send(context, _get_with(b'Key: k1'))
    assert received.split(b' ')[1] == status
    assert len(upstreams.sent) == 1
