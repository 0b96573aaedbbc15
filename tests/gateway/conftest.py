"""Fixtures for tests of the gateway."""

import asyncio
import json
import random

import attrs
import pytest

from nutmegshore.balancing import (
    Balancer,
    BalancerDependencies,
    FleetRetryBudget,
    WeightedRoundRobin,
)
from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.errors import RequestError
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.crashes import (
    CrashGuard,
    QuarantineDependencies,
    make_quarantine,
)
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.quota_gate import QuotaGate
from nutmegshore.gateway.route import (
    Configuration,
    ServiceRules,
)
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerHead, UpstreamClient
from tests.gateway.virtual_caller import Caller, SessionClock

#: Seconds of work that the gateway of `make_caller` has measured.
WORK_S = 0.2


class ListWriter:
    """Collects the lines of a log."""

    def __init__(self):
        self.queued_bytes = 0
        self.lines = []

    def info(self, line):
        self.lines.append(json.loads(line))

    def named(self, event):
        return [line for line in self.lines if line['event'] == event]


@attrs.define
class Step:
    """Result of one attempt: an error kind, or an answer's head and body.

    The result comes after `after_s`; None waits forever.
    """

    failure: object = None
    status: int = 200
    headers: tuple = (('Server-Stamp', 's'),)
    body: bytes = b'ok'
    after_s: float | None = 0


class ScriptedUpstreams(UpstreamClient):
    """Returns one step per attempt and repeats the last one."""

    def __init__(self, *steps):
        self.dialect = PlatformDialect()
        self.steps = list(steps) or [Step()]
        self.sent = []
        self.bodies = []
        self.cancelled = 0

    async def send(self, name, upstream, request, receiver):
        self.sent.append((name, request))
        number = min(len(self.sent), len(self.steps))
        step = self.steps[number - 1]
        if request.body is not None:
            pieces = [piece async for piece in request.body.chunks()]
            self.bodies.append(b''.join(pieces))
        try:
            await _wait(step.after_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if step.failure is not None:
            raise RequestError(step.failure, name)
        headers = (('Request-Id', request.request_id), *step.headers)
        head = AnswerHead(step.status, headers)
        self.report(name, upstream, head)
        refusal = self.dialect.read_refusal(head)
        if refusal is not None:
            raise RequestError(refusal, name)
        await receiver.begin(head)
        await receiver.receive(step.body)
        return head


async def _wait(seconds):
    if seconds is None:
        await asyncio.Event().wait()
    elif seconds:
        await asyncio.sleep(seconds)


@pytest.fixture
def step():
    """Class of steps of scripted upstreams."""
    return Step


@pytest.fixture
def scripted():
    """Class of scripted upstreams."""
    return ScriptedUpstreams


@pytest.fixture
def lines():
    """Writer that collects log lines."""
    return ListWriter()


@pytest.fixture
def make_log(lines):
    """Function that builds a log that writes to `lines`."""

    def build(clock, counters=None, bytes_per_s=1_000_000):
        counters = counters or Counters()
        return EventLog(lines, 'g1', clock, counters, bytes_per_s)

    return build


@attrs.define
class Listening:
    """Probe of whether an address accepts connections."""

    dead: set = attrs.field(factory=set)

    async def __call__(self, address, within_s):
        return address not in self.dead


@pytest.fixture
def listening():
    """Probe that the gateways use to check upstreams."""
    return Listening()


@pytest.fixture
def network():
    """In-memory network between the gateways of a test."""
    return MemoryNetwork()


@pytest.fixture
def make_context(make_log, upstream, route, network, listening):
    """Function that builds the context of a gateway with three upstreams."""

    def build(
        upstreams,
        clock=None,
        routes=(),
        extra_retries=60,
        name='g1',
    ):
        clock = clock or SystemClock()
        counters = Counters()
        state = FleetState(clock)
        rules = {'orders': ServiceRules()}
        state.adopt(Configuration(1, tuple(routes) or (route(),), rules))
        registered = [upstream(name) for name in ('u1', 'u2', 'u3')]
        state.replace_upstreams(registered, is_after_outage=False)
        state.replace_evacuated(())
        state.configuration_view.record_answer('listing', clock.now())
        rng = random.Random(7)
        dependencies = BalancerDependencies(
            clock, rng, name, 'west', lambda region: [name], 0.15
        )
        balancer = Balancer(state, dependencies)
        log = make_log(clock, counters)
        peers = network.join(Member(name, 'west', 'west-a'), clock)
        quarantine = make_quarantine(
            QuarantineDependencies(
                peers, state, balancer, clock, counters, log
            ),
        )
        return GatewayContext(
            state=state,
            balancer=balancer,
            budget=FleetRetryBudget(clock, 0.2, 10, extra_retries),
            splits=WeightedRoundRobin(),
            upstreams=upstreams,
            dialect=upstreams.dialect,
            clock=clock,
            counters=counters,
            log=log,
            crashes=CrashGuard(quarantine, counters, listening),
            quotas=QuotaGate.make(
                balancer.candidate_builder.members,
                (clock, rng),
                log,
                counters,
            ),
            count_gateways=lambda: 1,
        )

    return build


@pytest.fixture
def make_caller(make_context, scripted, route):
    """Function that builds a gateway over scripted upstreams, with a caller.

    The gateway has measured `WORK_S` seconds of work, warm and cold.
    """

    def build(*steps, upstreams=None, extra_retries=60, **changes):
        context = make_context(
            upstreams or scripted(*steps),
            SessionClock(),
            [route(**changes)],
            extra_retries,
        )
        latency = context.balancer.candidate_builder.latency
        times = latency.route('r1', 'orders', WORK_S)
        times.add_sample(WORK_S, is_warm=False)
        times.add_sample(WORK_S, is_warm=True)
        return Caller(context, GatewayForwarder(context))

    return build
