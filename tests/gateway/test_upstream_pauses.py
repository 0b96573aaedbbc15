"""Tests of upstreams that ask for a pause, through a gateway's forwarder."""

import asyncio
import types

import attrs
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.request import IncomingRequest
from nutmegshore.gateway.upstream_reports import UpstreamReports
from nutmegshore.listener.headers import parse_head
from nutmegshore.platform.dialect import PlatformDialect, read_caller_fields
from nutmegshore.upstreams.curl import CurlUpstreams

_HEAD = (
    b'GET /orders/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r%d\r\n'
    b'Affinity-Key: %d\r\nDeadline-Ms: 1500'
)
_NOT_RUN = ('Not-Run', '1')
_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Run: 1\r\n'
    b'Retry-After: 60.5\r\nContent-Length: 0\r\n\r\n'
)


@attrs.define
class ManualClock:
    """A clock that advances only on request."""

    seconds: float = 100

    def now(self):
        return self.seconds

    def wall(self):
        return self.seconds


@attrs.define
class Session:
    """Sends numbered requests through one gateway."""

    context: object
    clock: ManualClock
    count: int = 0

    def send(self):
        """Send a request; return the names of the upstreams that it reached."""
        sent = self.context.upstreams.sent
        before = len(sent)
        asyncio.run(self.forward())
        return [name for name, _ in sent[before:]]

    async def forward(self):
        self.count += 1
        head = parse_head(_HEAD % ((self.count,) * 3))
        fields = read_caller_fields(head)
        forwarder = GatewayForwarder(self.context)
        incoming = IncomingRequest(head, fields, self.clock.now())
        routed = forwarder.route(incoming)
        answer = BufferedAnswer(
            None, self.context.dialect, routed.request_id, is_safe=True
        )
        body = types.SimpleNamespace(is_whole=True)
        await forwarder.run(routed, body, answer)


@pytest.fixture
def clock():
    """Clock that stands still."""
    return ManualClock()


@pytest.fixture
def open_session(make_context, clock):
    """Function that opens a session with a gateway and its upstreams."""

    def build(upstreams, clock=clock):
        context = make_context(upstreams, clock=clock)
        reports = UpstreamReports(
            context.balancer, context.state, context.log, context.counters
        )
        upstreams.on_report = reports.record
        upstreams.on_destination_report = reports.record_destination
        return Session(context, clock)

    return build


@pytest.fixture
def ask(step):
    """Function that builds a refusal that asks for a pause of some seconds."""

    def build(seconds, *headers):
        asked = ('Retry-After', seconds)
        return step(status=503, headers=(_NOT_RUN, asked, *headers))

    return build


def test_an_upstream_gets_no_request_in_its_pause(
    open_session, scripted, step, ask, clock
):
    """Guards against BUDGET: an upstream that answered 503 and asked for a
    pause went on getting requests from the gateway that it had told."""
    session = open_session(scripted(ask('2.5'), step()))
    paused = session.send()[0]
    reached = set()
    for _ in range(24):
        clock.seconds += 0.1
        reached.update(session.send())
    assert len(reached) == 2
    assert paused not in reached


def test_an_upstream_is_used_after_its_pause(
    open_session, scripted, step, ask, clock
):
    """Guards against an upstream that stays unused after its pause."""
    session = open_session(scripted(ask('2.5'), step()))
    paused = session.send()[0]
    clock.seconds += 3
    reached = set()
    for _ in range(40):
        clock.seconds += 0.5
        reached.update(session.send())
    assert paused in reached


def test_no_request_waits_for_the_end_of_a_pause(
    open_session, scripted, ask, clock
):
    """Guards against a request that is held, or sent, while all upstreams
    pause, and against a refusal at the deadline."""
    session = open_session(scripted(ask('2.5')))
    for _ in range(2):
        with pytest.raises(RefusedError):
            session.send()
    assert len(session.context.upstreams.sent) == 3
    clock.seconds += 1
    with pytest.raises(RefusedError) as caught:
        session.send()
    assert len(session.context.upstreams.sent) == 3
    assert 10 * caught.value.retry_after_s >= 15
    assert caught.value.kind is ErrorKind.UPSTREAM_PAUSED
    assert set(caught.value.paused) == {'u1', 'u2', 'u3'}


def test_the_full_load_waits_for_an_answer_after_a_pause(
    open_session, scripted, ask, step, clock
):
    """Guards against the full load on an upstream that is still in need: the
    first request after a pause is the only one until it is answered."""
    asked = ask('2.5')
    session = open_session(scripted(asked, asked, asked, step()))
    with pytest.raises(RefusedError):
        session.send()
    clock.seconds += 3
    pauses = session.context.balancer.candidate_builder.pauses
    by_id = session.context.state.by_id
    for upstream in by_id.values():
        pauses.start_trial(upstream)
    with pytest.raises(RefusedError):
        session.send()
    clock.seconds += 1.1
    assert len(session.send()) == 1


def test_a_restarted_upstream_is_used_at_once(
    open_session, scripted, ask, step, upstream
):
    """Guards against a new process that is not used, since the one that had
    its id before had asked for a pause."""
    session = open_session(scripted(ask('60'), step()))
    paused = session.send()[0]
    state = session.context.state
    found = [upstream(paused, born_ms=7)]
    state.replace_upstreams(found, is_after_outage=False)
    assert session.send() == [paused]


def test_a_pause_is_no_second_reason_to_avoid_an_upstream(
    open_session, scripted, ask, step, clock
):
    """Guards against an upstream that is punished twice: by its pause, and
    after it by the refusals with which it asked for it."""
    session = open_session(scripted(ask('0.5'), step()))
    paused = session.send()[0]
    health = session.context.balancer.candidate_builder.health
    assert not health.refusal_share(paused)


def test_a_refusal_without_a_pause_still_counts(
    open_session, scripted, ask, step
):
    """Guards against refusals that no longer raise an upstream's cost."""
    session = open_session(scripted(ask('0'), step()))
    first = session.send()[0]
    builder = session.context.balancer.candidate_builder
    assert builder.health.refusal_share(first) > 0
    assert not builder.pauses.is_on_trial(session.context.state.by_id[first])


def test_a_pause_is_heard_over_a_connection(open_session, upstream):
    """Guards against a pause that the client over sockets does not report:
    the first of two requests is answered with it, the second is refused."""
    system_clock = SystemClock()
    client = CurlUpstreams(system_clock, PlatformDialect())
    session = open_session(client, system_clock)
    heads = []

    async def refuse(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(_REFUSAL)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(refuse, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        only = upstream('u1', address=f'127.0.0.1:{port}')
        session.context.state.replace_upstreams([only], is_after_outage=False)
        refusals = []
        for _ in range(2):
            with pytest.raises(RefusedError) as caught:
                await session.forward()
            refusals.append(caught.value)
        client.close()
        server.close()
        return refusals

    first, second = asyncio.run(asyncio.wait_for(run(), 10))
    assert len(heads) == 1
    assert {first.kind, second.kind} == {ErrorKind.UPSTREAM_PAUSED}
    assert second.retry_after_s > 60
