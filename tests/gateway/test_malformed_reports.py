"""Tests of what a gateway tells of malformed answers, and of health checks."""

import asyncio
import contextlib
import random
from types import MappingProxyType

import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.cold_checks import ColdChecks
from nutmegshore.gateway.cold_starts import ColdSource
from nutmegshore.gateway.malformed_answers import MalformedAnswers
from nutmegshore.gateway.route import Configuration, ServiceRules
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers.tasks import OwnedTasks
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import AnswerFault, MalformedAnswer
from nutmegshore.upstreams.curl import CurlUpstreams
from tests.gateway.one_upstream import fill
from tests.upstreams.malformed_heads import make_head
from tests.upstreams.malforming_upstream import MalformingUpstream

_REQUEST = (
    b'GET /orders/7 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n'
    b'Connection: close\r\n\r\n'
)
#: Faults by the line in which they are told.
_FAULTS_BY_LINE = MappingProxyType(
    {
        b'Secret Name: secret text\r\n': ('field_line', "'Secret Name'"),
        b'Transfer-Encoding: chunked\r\nContent-Length: 1\r\n': (
            'length',
            "'beside a coding'",
        ),
        b'Transfer-Encoding: a\r\n': ('coding', "'a'"),
    }
)
_HEALTHY = b'Instance-Id: u1\r\nCold-Ms: 0\r\n'


async def _ask(port):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.closing(writer):
        writer.write(_REQUEST)
        return await reader.read()


@pytest.mark.parametrize('line', _FAULTS_BY_LINE)
def test_a_gateway_tells_why_an_answer_was_refused(open_gateway, lines, line):
    """Guards against a refusal whose cause nobody can find, and against texts
    of customers in the log."""
    fault, text = _FAULTS_BY_LINE[line]

    async def session():
        malforming = MalformingUpstream(make_head(line))
        async with (
            malforming.open(),
            open_gateway(
                lambda store: fill(store, malforming.address)
            ) as opened,
        ):
            daemon, _ = opened
            await daemon.start()
            received = await _ask(daemon.caller_port)
            await daemon.stop()
            counters = daemon._assembly.dependencies.counters
            return received, counters.total(
                'malformed_answers', service='orders', fault=fault
            )

    received, count = asyncio.run(asyncio.wait_for(session(), 20))
    assert received.startswith(b'HTTP/1.1 502 ')
    assert count == 1
    told = lines.named('upstream_answer_malformed')
    assert [(one['request'], one['upstream']) for one in told] == [
        ('r1', 'i-1')
    ]
    assert [(one['fault'], one['text']) for one in told] == [(fault, text)]
    assert 'secret text' not in str(lines.lines)


def test_a_gateway_tells_of_malformed_answers_of_its_store(open_gateway, lines):
    """Guards against a store in trouble that nothing tells of."""

    async def session():
        async with open_gateway(lambda store: None) as (daemon, _):
            shared = daemon._assembly.dependencies
            shared.store.report_malformed(
                '/objects/servers', MalformedAnswer(AnswerFault.LENGTH, 'x')
            )
            return shared.counters

    counters = asyncio.run(session())
    assert counters.total('malformed_store_answers', fault='length') == 1
    told = lines.named('store_answer_malformed')
    assert [(one['target'], one['text']) for one in told] == [
        ('/objects/servers', "'x'")
    ]


@pytest.fixture
def check_health(upstream, make_log):
    """Function that checks an upstream of unknown state; returns what is known
    of it then, and the counters."""

    async def check(malforming, client, counters):
        clock = SystemClock()
        state = FleetState(clock)
        rules = ServiceRules(cold_s=3, cold_per_s=8, health_path='/up')
        services = MappingProxyType({'orders': rules})
        state.adopt(Configuration(1, (), services))
        one = upstream('u1', address=malforming.address)
        state.replace_upstreams([one], is_after_outage=False)
        dependencies = BalancerDependencies(
            clock, random.Random(7), 'g1', 'west', lambda region: ['g1'], 0.15
        )
        balancer = Balancer(state, dependencies)
        checks = ColdChecks(balancer.candidate_builder, client, clock, counters)
        state.cold_starts.handle_failure(one, ColdSource.LOST)
        tasks = OwnedTasks('test', counters)
        tasks.spawn(checks.run())
        async with asyncio.timeout(10):
            while not counters.total('cold_checks'):
                await clock.sleep(0.05)
        await tasks.stop()
        return state.cold_starts.iter_unsettled()

    async def run(answer):
        counters = Counters()
        clock = SystemClock()
        client = CurlUpstreams(clock, PlatformDialect())
        log = make_log(clock, counters)
        client.on_malformed = MalformedAnswers(log, counters).record
        malforming = MalformingUpstream(answer)
        async with malforming.open():
            with contextlib.closing(client):
                unsettled = await check(malforming, client, counters)
                return list(unsettled), counters

    return lambda answer: asyncio.run(run(answer))


@pytest.mark.parametrize(
    'line', [b'A B: x\r\n', b'x\r\n', b'Content-Length: x\r\n', b'A\x01: x\r\n']
)
@pytest.mark.parametrize('status', [b'200 OK', b'503 Busy', b'421 Moved'])
def test_a_malformed_health_page_says_nothing(
    check_health, lines, status, line
):
    """Guards against an upstream that counts as warm, or as too busy for its
    health page, because of an answer that is none."""
    own = b'%bNot-Run: 1\r\n%b' % (_HEALTHY, line)
    answer = make_head(own, b'HTTP/1.1 %b\r\n' % status)
    unsettled, counters = check_health(answer)
    assert [one.upstream.instance for one in unsettled] == ['u1']
    assert counters.total('cold_checks', result='upstream_lost')
    assert counters.total('malformed_answers', service='orders')
    assert lines.named('upstream_answer_malformed')


def test_a_sound_health_page_is_believed(check_health):
    """Guards against a check that no answer can pass."""
    head = make_head(b'%bContent-Length: 0\r\n' % _HEALTHY)
    unsettled, counters = check_health(head.replace(b'<id>', b''))
    assert not unsettled
    assert counters.total('cold_checks', result='warm')
    assert not counters.total('malformed_answers')
