"""Tests of requests that crash upstreams, over several gateways."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind, Outcome, RefusedError, RequestError
from nutmegshore.gateway.answer import BufferedAnswer
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.request import IncomingRequest
from nutmegshore.gateway.responder import status_of
from nutmegshore.listener import RequestHead
from nutmegshore.platform.dialect import CallerFields
from nutmegshore.upstreams import AnswerHead, UpstreamClient

_LOST = ErrorKind.UPSTREAM_LOST
_NAMES = tuple(f'u{number}' for number in range(1, 7))
#: Seconds in which a verdict reaches all gateways of the in-memory network.
_BROADCAST_S = 0.3


@attrs.define(eq=False)
class CrashingUpstreams(UpstreamClient):
    """Upstreams of a fleet that crash when they run a request for `bad`.

    With `resets`, they only lose the answer and stay up.
    """

    dialect: object
    listening: object
    bad: str = '/orders/bad'
    resets: bool = False
    crashed: list = attrs.field(factory=list)
    runs: int = 0

    async def send(self, name, upstream, request, receiver):
        if upstream.address in self.listening.dead:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, name)
        self.runs += 1
        if request.target == self.bad:
            self._crash(name, upstream.address)
        headers = (('Request-Id', request.request_id), ('Server-Stamp', 's'))
        head = AnswerHead(200, headers)
        await receiver.begin(head)
        await receiver.receive(b'ok')
        return head

    def _crash(self, name, address):
        if not self.resets:
            self.crashed.append(name)
            self.listening.dead.add(address)
        raise RequestError(_LOST, name)


class _NoBody:
    is_whole = True


@attrs.define(eq=False)
class Fleet:
    """Gateways that share upstreams; `context` has one item per gateway."""

    upstreams: CrashingUpstreams
    context: list
    number: int = 0

    async def send_request(self, gateway, target='/orders/bad'):
        """Send a caller's request; return its status or its error."""
        self.number += 1
        context = self.context[gateway]
        head = RequestHead('GET', target, 'HTTP/1.1', (('Host', 'a.example'),))
        fields = CallerFields(f'r{self.number}', '', 2000)
        incoming = IncomingRequest(head, fields, context.clock.now())
        forwarder = GatewayForwarder(context)
        answer = BufferedAnswer(
            None,
            context.dialect,
            fields.request_id,
            is_safe=True,
        )
        routed = forwarder.route(incoming)
        try:
            await forwarder.run(routed, _NoBody(), answer)
        except RequestError as error:
            return error
        return answer.head.status

    async def revive(self):
        """Wait for broadcasts and restart crashed upstreams."""
        await asyncio.sleep(_BROADCAST_S)
        self.upstreams.listening.dead.clear()
        await asyncio.sleep(1)


@pytest.fixture
def make_fleet(make_context, scripted, upstream, listening):
    """Function that builds gateways with shared upstreams."""

    def build(size=3):
        upstreams = CrashingUpstreams(scripted().dialect, listening)
        registered = [
            upstream(name, address=f'10.0.0.{number}:80')
            for number, name in enumerate(_NAMES, start=1)
        ]
        clock = VirtualClock()
        contexts = []
        for number in range(size):
            context = make_context(upstreams, clock, name=f'g{number}')
            context.state.replace_upstreams(registered, is_after_outage=False)
            contexts.append(context)
        return Fleet(upstreams, contexts)

    return build


@pytest.fixture
def play(make_fleet):
    """Function that runs a session with a fleet on virtual time.

    It returns the result of the session and the fleet.
    """

    def run(session, *, resets=False):
        async def with_fleet():
            fleet = make_fleet()
            fleet.upstreams.resets = resets
            return await session(fleet), fleet

        return run_virtual(with_fleet)

    return run


def test_a_crash_causing_request_crashes_two_upstreams(play, lines):
    """Guards against a caller whose retries at any gateway crash one upstream
    after another; without the quarantine all six crash."""

    async def session(fleet):
        results = []
        for turn in range(9):
            results.append(await fleet.send_request(turn % 3))
            await fleet.revive()
        return results

    results, fleet = play(session)
    assert len(fleet.upstreams.crashed) == 2
    assert len(set(fleet.upstreams.crashed)) == 2
    assert all(isinstance(result, RefusedError) for result in results[1:])
    verdicts = {line['verdict'] for line in lines.named('request_judged')}
    assert verdicts == {'suspect', 'quarantined'}


def test_a_quarantined_request_gets_a_retry_after(play):
    """Guards against a status that does not say "not run", and against a
    client error."""

    async def session(fleet):
        for _ in range(3):
            result = await fleet.send_request(0)
            await fleet.revive()
        return result

    refusal, _ = play(session)
    assert refusal.kind is ErrorKind.QUARANTINED
    assert refusal.answer.outcome is Outcome.NOT_RUN
    assert status_of(refusal) == 503
    assert refusal.retry_after_s > 500


def test_a_request_that_crashed_upstreams_is_not_reported_as_not_run(play):
    """Guards against reporting "not run" for a request that two upstreams
    ran."""
    error, fleet = play(lambda fleet: fleet.send_request(0))
    assert len(fleet.upstreams.crashed) == 2
    assert status_of(error) == 502


def test_lost_answers_of_live_upstreams_make_no_suspect(play, lines):
    """Guards against suspecting requests because a connection broke."""

    async def session(fleet):
        for turn in range(6):
            await fleet.send_request(turn % 3)
            await fleet.revive()

    _, fleet = play(session, resets=True)
    assert fleet.upstreams.runs >= 6
    assert not lines.named('request_judged')


def test_other_requests_go_on_beside_a_quarantine(play):
    """Guards against a verdict that affects other requests."""

    async def session(fleet):
        await fleet.send_request(0)
        await fleet.revive()
        return await fleet.send_request(1, '/orders/7')

    assert play(session)[0] == 200


def test_a_victim_of_a_crash_is_cleared_by_its_answer(play):
    """Guards against a request that stays assigned to one upstream after
    another request crashed its upstream."""

    async def session(fleet):
        context = fleet.context[0]
        forwarder = GatewayForwarder(context)
        head = RequestHead(
            'GET', '/orders/7', 'HTTP/1.1', (('Host', 'a.example'),)
        )
        fields = CallerFields('victim', '', 2000)
        routed = forwarder.route(
            IncomingRequest(head, fields, context.clock.now())
        )
        first = context.state.usable('orders')[0]
        fleet.upstreams.listening.dead.add(first.address)
        context.crashes.record_loss(routed, first)
        await context.crashes.wait_for_check(routed)
        bound_to = context.crashes.assigned(routed)
        await fleet.revive()
        await fleet.send_request(1, '/orders/7')
        await asyncio.sleep(_BROADCAST_S)
        return bound_to, context.crashes.assigned(routed)

    (before, after), _ = play(session)
    assert before in _NAMES[1:]
    assert not after


def test_a_suspect_is_assigned_to_no_paused_upstream(play):
    """Guards against a request that may only run on an upstream that wants
    none: a suspected request is assigned to a single upstream."""

    async def session(fleet):
        context = fleet.context[0]
        forwarder = GatewayForwarder(context)
        head = RequestHead(
            'GET', '/orders/7', 'HTTP/1.1', (('Host', 'a.example'),)
        )
        incoming = IncomingRequest(head, CallerFields('s', '', 2000), 0)
        routed = forwarder.route(incoming)
        first, *others = context.state.usable('orders')
        fleet.upstreams.listening.dead.add(first.address)
        context.crashes.record_loss(routed, first)
        await context.crashes.wait_for_check(routed)
        for upstream in others[:-1]:
            context.balancer.candidate_builder.pauses.begin(upstream, 60)
        return context.crashes.assigned(routed), others[-1].instance

    (assigned, free), _ = play(session)
    assert assigned in {free, _NAMES[0]}
    assert assigned
