"""Tests of requests that reach upstreams more often than decided (issue 61)."""

import asyncio
import contextlib

import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams.curl import CurlUpstreams
from tests.gateway.virtual_caller import Caller
from tests.upstreams.closing_upstream import ClosingUpstream

_WORK_S = 0.15
_IDLE_S = 0.005


@pytest.fixture
def session(make_context, upstream, route):
    """Function that runs a session at a gateway with real connections."""

    def run(upstreams, work, extra_retries=60, **changes):
        async def main():
            clock = SystemClock()
            client = CurlUpstreams(clock, PlatformDialect())
            context = make_context(
                client, clock, [route(**changes)], extra_retries
            )
            registered = [
                upstream(f'u{number}', address=(await one.start()).address)
                for number, one in enumerate(upstreams, 1)
            ]
            context.state.replace_upstreams(registered, is_after_outage=False)
            caller = Caller(context, GatewayForwarder(context))
            with contextlib.closing(client):
                return await work(caller)

        return asyncio.run(asyncio.wait_for(main(), 30))

    return run


async def _warm(caller, upstreams):
    """Have a kept connection to each upstream."""
    while not all(one.arrivals for one in upstreams):
        await asyncio.gather(*(caller.send() for _ in range(8)))


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'DELETE', 'OPTIONS'])
@pytest.mark.parametrize(('extra_retries', 'retries'), [(-1000, 0), (60, 1)])
def test_each_arrival_is_in_the_retry_budget(
    session, extra_retries, retries, method
):
    """Guards against BUDGET: libcurl's repeats reached the upstream that had
    lost the answer, though no budget and no attempt was left."""
    upstreams = [ClosingUpstream(work_s=_WORK_S) for _ in range(2)]

    async def work(caller):
        await _warm(caller, upstreams)
        for one in upstreams:
            one.loses = True
            one.arrivals.clear()
        status = (await caller.send(method)).status
        await asyncio.sleep(_WORK_S)
        return status, caller.context.counters.total('retries')

    found = session(upstreams, work, extra_retries)
    assert found == (502, retries)
    arrivals = [len(one.arrivals) for one in upstreams]
    assert sorted(arrivals) == [retries, 1]


def test_a_retry_has_the_time_that_is_left(session):
    """Guards against BUDGET: a repeat bore the time of the first send."""
    upstreams = [ClosingUpstream(work_s=_WORK_S) for _ in range(2)]

    async def work(caller):
        await _warm(caller, upstreams)
        for one in upstreams:
            one.loses = True
            one.arrivals.clear()
            one.remaining_ms.clear()
        await caller.send()

    session(upstreams, work)
    both = [one.remaining_ms for one in upstreams]
    assert [len(found) for found in both] == [1, 1]
    (first,), (second,) = sorted(both, reverse=True)
    assert first - second >= 1000 * _WORK_S


def test_a_lost_answer_is_retried_elsewhere(session):
    """Guards against a caller's time that is used up at the upstream that
    lost the answer, while another one is well."""
    upstreams = [ClosingUpstream(work_s=_WORK_S) for _ in range(2)]

    async def work(caller):
        await _warm(caller, upstreams)
        upstreams[0].loses = True
        return [(await caller.send()).status for _ in range(12)]

    statuses = session(upstreams, work)
    assert (len(statuses), set(statuses)) == (12, {200})


def test_a_drained_upstream_gets_no_repeat(session, upstream):
    """Guards against DRAIN: a repeat reached an upstream that had drained
    while the first send was on its way."""
    only = ClosingUpstream(work_s=_WORK_S)

    async def work(caller):
        await _warm(caller, [only])
        only.loses = True
        only.arrivals.clear()
        asking = asyncio.ensure_future(caller.send())
        await asyncio.sleep(_WORK_S / 2)
        caller.context.state.replace_upstreams([], is_after_outage=False)
        return (await asking).status

    assert session([only], work) == 502
    assert len(only.arrivals) == 1


@pytest.mark.parametrize('count', [1, 2])
def test_idle_closes_cost_neither_answers_nor_trust(session, count):
    """Guards against 502 and 503 after a burst whose connections the upstreams
    had closed: libcurl gave up after five closed ones, and both upstreams were
    judged ill, which nothing had reached."""
    upstreams = [ClosingUpstream(idle_s=_IDLE_S) for _ in range(count)]

    async def work(caller):
        await asyncio.gather(*(caller.send() for _ in range(40)))
        before = sum(len(one.arrivals) for one in upstreams)
        statuses = []
        for _ in range(30):
            await asyncio.sleep(10 * _IDLE_S)
            statuses.append((await caller.send()).status)
        extra = sum(len(one.arrivals) for one in upstreams) - before - 30
        return statuses, extra, caller.context.counters.total('retries')

    statuses, extra, retries = session(upstreams, work)
    assert (len(statuses), set(statuses)) == (30, {200})
    assert (extra, retries) == (0, 0)


@pytest.mark.parametrize('count', [1, 2])
def test_a_close_that_crosses_a_request_costs_no_answer(session, count):
    """Guards against 502 where the only upstream closes an idle connection as
    the next request is on its way, and against judging it ill for that."""
    upstreams = [ClosingUpstream() for _ in range(count)]

    async def work(caller):
        for one in upstreams:
            one.loses_kept = True
        statuses = [(await caller.send()).status for _ in range(12)]
        health = caller.context.balancer.candidate_builder.health
        return statuses, [one.failures for one in health.by_id.values()]

    statuses, failures = session(upstreams, work)
    assert (len(statuses), set(statuses)) == (12, {200})
    assert set(failures) == {0}
