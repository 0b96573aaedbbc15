"""Tests of requests that crash upstreams, over several gateways."""

import asyncio

import attrs
import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import ErrorKind, Outcome, RefusedError, RequestError
from nutmegshore.gateway.answer import HeldAnswer
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.request import Incoming
from nutmegshore.gateway.responder import status_of
from nutmegshore.listener import RequestHead
from nutmegshore.platform.dialect import CallerFields
from nutmegshore.upstreams import AnswerHead, UpstreamClient

_LOST = ErrorKind.UPSTREAM_LOST
_NAMES = tuple(f'u{number}' for number in range(1, 7))
#: Seconds in which gateways in memory hear of a verdict.
_SPREAD_S = 0.3


@attrs.define(eq=False)
class CrashingUpstreams(UpstreamClient):
    """Upstreams of a whole fleet; requests for `bad` crash the one they run on.

    With `resets` answers are lost, and the upstreams live on.
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
    """Gateways that share upstreams, and requests that go through them."""

    upstreams: CrashingUpstreams
    parts: list
    number: int = 0

    async def ask(self, gateway, target='/orders/bad'):
        """Status of one caller's request, or the error that it ended with."""
        self.number += 1
        parts = self.parts[gateway]
        head = RequestHead('GET', target, 'HTTP/1.1', (('Host', 'a.example'),))
        fields = CallerFields(f'r{self.number}', '', 2000)
        incoming = Incoming(head, fields, parts.clock.now())
        forwarder = GatewayForwarder(parts)
        answer = HeldAnswer(
            None,
            parts.dialect,
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
        """Let some time pass, and bring crashed upstreams back."""
        await asyncio.sleep(_SPREAD_S)
        self.upstreams.listening.dead.clear()
        await asyncio.sleep(1)


@pytest.fixture
def make_fleet(make_context, scripted, upstream, listening):
    """Function that builds some gateways with shared upstreams."""

    def build(size=3):
        upstreams = CrashingUpstreams(scripted().dialect, listening)
        found = [
            upstream(name, address=f'10.0.0.{number}:80')
            for number, name in enumerate(_NAMES, start=1)
        ]
        clock = VirtualClock()
        all_parts = []
        for number in range(size):
            parts = make_context(upstreams, clock, name=f'g{number}')
            parts.state.replace_upstreams(found, is_after_outage=False)
            all_parts.append(parts)
        return Fleet(upstreams, all_parts)

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


def test_a_crash_causing_request_takes_two_upstreams(play, lines):
    """Guards against a caller that repeats at any gateway and takes one
    upstream after another; without the guard it takes all six."""

    async def session(fleet):
        ends = []
        for turn in range(9):
            ends.append(await fleet.ask(turn % 3))
            await fleet.revive()
        return ends

    ends, fleet = play(session)
    assert len(fleet.upstreams.crashed) == 2
    assert len(set(fleet.upstreams.crashed)) == 2
    assert all(isinstance(end, RefusedError) for end in ends[1:])
    verdicts = {line['verdict'] for line in lines.named('request_judged')}
    assert verdicts == {'suspect', 'quarantined'}


def test_a_quarantined_request_is_told_when_to_come_back(play):
    """Guards against a status that promises nothing although the request has
    not run, and against one that counts as an error of the caller."""

    async def session(fleet):
        for _ in range(3):
            end = await fleet.ask(0)
            await fleet.revive()
        return end

    refusal, _ = play(session)
    assert refusal.kind is ErrorKind.QUARANTINED
    assert refusal.answer.outcome is Outcome.NOT_RUN
    assert status_of(refusal) == 503
    assert refusal.retry_after_s > 500


def test_the_run_that_crashed_is_not_called_not_run(play):
    """Guards against a promise about a request that two upstreams ran."""
    error, fleet = play(lambda fleet: fleet.ask(0))
    assert len(fleet.upstreams.crashed) == 2
    assert status_of(error) == 502


def test_lost_answers_of_live_upstreams_make_no_suspect(play, lines):
    """Guards against refusing requests whose answers a connection lost."""

    async def session(fleet):
        for turn in range(6):
            await fleet.ask(turn % 3)
            await fleet.revive()

    _, fleet = play(session, resets=True)
    assert fleet.upstreams.runs >= 6
    assert not lines.named('request_judged')


def test_other_requests_go_on_beside_a_quarantine(play):
    """Guards against a verdict that reaches beyond the one request."""

    async def session(fleet):
        await fleet.ask(0)
        await fleet.revive()
        return await fleet.ask(1, '/orders/7')

    assert play(session)[0] == 200


def test_a_victim_of_a_crash_is_cleared_by_its_answer(play):
    """Guards against a request that stays bound to one upstream because
    another one crashed its upstream."""

    async def session(fleet):
        parts = fleet.parts[0]
        forwarder = GatewayForwarder(parts)
        head = RequestHead(
            'GET', '/orders/7', 'HTTP/1.1', (('Host', 'a.example'),)
        )
        fields = CallerFields('victim', '', 2000)
        routed = forwarder.route(Incoming(head, fields, parts.clock.now()))
        first = parts.state.usable('orders')[0]
        fleet.upstreams.listening.dead.add(first.address)
        parts.crashes.record_loss(routed, first)
        await parts.crashes.settle(routed)
        bound_to = parts.crashes.assigned(routed)
        await fleet.revive()
        await fleet.ask(1, '/orders/7')
        await asyncio.sleep(_SPREAD_S)
        return bound_to, parts.crashes.assigned(routed)

    (before, after), _ = play(session)
    assert before in _NAMES[1:]
    assert not after
