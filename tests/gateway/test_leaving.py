"""Tests of upstreams that say in their answers that they are leaving."""

import asyncio
import types

import attrs
import pytest

from nutmegshore.errors import ErrorKind, RefusedError, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.request import IncomingRequest
from nutmegshore.listener import RequestHead
from nutmegshore.platform.dialect import CallerFields
from nutmegshore.upstreams import UpstreamReport

_LEAVING = ('Server-Leaving', '1')
_STAMP = ('Server-Stamp', 's')
_NO_BODY = types.SimpleNamespace(is_whole=True)


@attrs.define(eq=False)
class Gateway:
    """A gateway that reads what upstreams say, and its requests."""

    context: object
    forwarder: GatewayForwarder
    number: int = 0

    async def send(self, body=_NO_BODY):
        """Send a caller's request; return its status or its error."""
        self.number += 1
        head = RequestHead(
            'GET', '/orders/7', 'HTTP/1.1', (('Host', 'a.example'),)
        )
        fields = CallerFields(f'r{self.number}', '7', 2000)
        incoming = IncomingRequest(head, fields, self.context.clock.now())
        routed = self.forwarder.route(incoming)
        answer = BufferedAnswer(
            None, self.context.dialect, fields.request_id, is_safe=True
        )
        try:
            await self.forwarder.run(routed, body, answer)
        except RequestError as error:
            return error
        return answer.head.status

    @property
    def asked(self):
        """Names of the upstreams that requests were sent to, in order."""
        return [name for name, _ in self.context.upstreams.sent]


@pytest.fixture
def make_gateway(make_context, scripted):
    """Function that builds a gateway over scripted upstreams."""

    def build(*steps, **options):
        context = make_context(scripted(*steps), **options)
        leaving = LeavingUpstreams(context.state, context.log, context.counters)
        context.upstreams.on_destination_report = leaving.record
        return Gateway(context, GatewayForwarder(context))

    return build


async def _send_many(gateway, count):
    return [await gateway.send() for _ in range(count)]


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (200, (_STAMP, _LEAVING)),
        (500, (_STAMP, _LEAVING)),
        (503, (('Not-Run', '1'), _LEAVING)),
        (200, (_LEAVING,)),
    ],
    ids=['answer', 'failure', 'refusal', 'without_stamp'],
)
def test_no_request_follows_an_answer_that_says_leaving(
    make_gateway, step, status, headers
):
    """Guards against DRAIN: requests for an object went on to its owner, which
    had said in its answer that it was leaving."""
    gateway = make_gateway(step(status=status, headers=headers), step())
    asyncio.run(_send_many(gateway, 9))
    left, *others = gateway.asked
    assert len(others) >= 8
    assert left not in others
    state = gateway.context.state
    assert state.departures.is_leaving(state.by_id[left])


def test_another_instances_answer_takes_nothing_out(make_gateway, step):
    """Guards against an upstream that gets nothing since the instance that has
    its address is leaving: it counts as moved, not as leaving."""
    gateway = make_gateway(step(status=421, headers=(_LEAVING,)), step())
    asyncio.run(_send_many(gateway, 1))
    moved = gateway.context.state.by_id[gateway.asked[0]]
    assert not gateway.context.state.departures.is_leaving(moved)


class _SlowBody:
    """A body that is read when `event` is set, and then is whole."""

    is_whole = False
    length = 0

    def __init__(self):
        self.event = asyncio.Event()

    async def chunks(self):
        await self.event.wait()
        yield b''


def test_a_request_whose_body_is_being_read_goes_elsewhere(make_gateway, step):
    """Guards against a request that came before the answer of the upstream,
    and was sent to it after."""
    gateway = make_gateway(step(headers=(_STAMP, _LEAVING)), step())

    async def session():
        body = _SlowBody()
        waiting = asyncio.ensure_future(gateway.send(body))
        await asyncio.sleep(0)
        await gateway.send()
        body.event.set()
        return await waiting

    assert asyncio.run(session()) == 200
    left, other = gateway.asked
    assert left != other


@pytest.mark.parametrize('place', [0, 1])
def test_a_retry_that_waits_for_a_check_goes_elsewhere(
    make_gateway, step, monkeypatch, place
):
    """Guards against a retry that was decided before an upstream said that it
    was leaving, and was sent there after: the check of the lost answer took a
    while."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST)
    gateway = make_gateway(lost, step())
    context = gateway.context
    checked = asyncio.Event()

    async def check(address, within_s):
        await checked.wait()
        return True

    monkeypatch.setattr(context.crashes, '_accepts_connections', check)

    async def session():
        waiting = asyncio.ensure_future(gateway.send())
        while not gateway.asked:
            await asyncio.sleep(0)
        names = sorted(context.state.by_id.keys() - gateway.asked)
        context.upstreams.on_destination_report(
            context.state.by_id[names[place]], UpstreamReport(is_leaving=True)
        )
        checked.set()
        return await waiting, names[place]

    status, left = asyncio.run(session())
    assert status == 200
    assert len(gateway.asked) == 2
    assert left not in gateway.asked


def test_the_loss_of_a_leaving_upstream_makes_no_suspect(
    make_gateway, step, listening, lines
):
    """Guards against quarantining a request because the upstream that ran it
    had left as announced."""
    gateway = make_gateway(step(failure=ErrorKind.UPSTREAM_LOST), step())
    state = gateway.context.state
    for name in ('u1', 'u2', 'u3'):
        state.departures.add(state.by_id[name])
        listening.dead.add(state.by_id[name].address)
    routed = types.SimpleNamespace(
        fingerprint=None,
        request_id='r1',
        service='orders',
        incoming=types.SimpleNamespace(
            head=RequestHead('GET', '/orders/7', 'HTTP/1.1', ())
        ),
        body=None,
    )

    async def session():
        crashes = gateway.context.crashes
        crashes.record_loss(routed, state.by_id['u1'])
        await crashes.wait_for_check(routed)

    asyncio.run(session())
    assert not lines.named('request_judged')


def test_requests_are_refused_at_once_when_all_upstreams_leave(
    make_gateway, step
):
    """Guards against requests that wait for upstreams which take none, and end
    at their deadline."""
    gateway = make_gateway(step(headers=(_STAMP, _LEAVING)))

    async def session():
        await _send_many(gateway, 3)
        async with asyncio.timeout(0.2):
            return await gateway.send()

    refusal = asyncio.run(session())
    assert isinstance(refusal, RefusedError)
    assert refusal.kind is ErrorKind.NO_UPSTREAM
    assert 0 < refusal.retry_after_s < 1
    assert len(gateway.asked) == 3


def test_each_leaving_is_logged_once(make_gateway, step, lines):
    """Guards against an upstream that gets nothing while its registration says
    `ready`, without a line that says why."""
    gateway = make_gateway(step(headers=(_STAMP, _LEAVING)), step())
    asyncio.run(_send_many(gateway, 5))
    left = gateway.context.state.by_id[gateway.asked[0]]
    gateway.context.upstreams.on_destination_report(
        left, UpstreamReport(is_leaving=True)
    )
    found = lines.named('upstream_leaving')
    shown = [(one['upstream'], one['service'], one['source']) for one in found]
    assert shown == [(left.instance, 'orders', 'answer')]


def test_a_malformed_flag_is_logged_once(make_gateway, lines):
    """Guards against a flag that is silently ignored, and against a line for
    each answer of an upstream that goes on sending it."""
    gateway = make_gateway()
    context = gateway.context
    for text in ('yes', 'yes', 'x' * 500):
        context.upstreams.on_destination_report(
            context.state.by_id['u1'], UpstreamReport(malformed_leaving=text)
        )
    found = lines.named('upstream_leaving_rejected')
    assert [one['text'] for one in found] == ['yes', 'x' * 60]
    metric = 'upstream_leaving_rejected'
    assert context.counters.total(metric, service='orders') == 3
    assert len(context.state.usable('orders')) == 3
