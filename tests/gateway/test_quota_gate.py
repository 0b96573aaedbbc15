"""Tests of the admission of requests within their customer's quota."""

import asyncio

import attrs
import pytest

from nutmegshore.balancing.customer_quotas import QuotaChange, QuotaState
from nutmegshore.clock import run_virtual
from nutmegshore.errors import ErrorKind
from nutmegshore.gateway.customer import Customer, CustomerTable
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.gateway.quota_gate import QuotaGate
from tests.gateway.virtual_caller import Caller

_CUSTOMER = Customer('c1', frozenset(('k1',)), max_rate=2)
_WAIT_S = 1.5


@attrs.define
class PlainQuotas:
    """Quotas with room for a number of requests."""

    room: int
    taken: int = 0
    on_change: object = None

    def acquire(self, customer):
        if not self.room:
            return _WAIT_S
        self.room -= 1
        self.taken += 1
        return 0

    def release(self, customer, admitted_at):
        self.room += 1


@pytest.fixture
def make_customer(make_caller):
    """Function that builds the caller of a customer, and the quotas."""

    def build(*steps, room=1, customer=_CUSTOMER, **changes):
        context = make_caller(*steps, **changes).context
        context.state.configuration = attrs.evolve(
            context.state.configuration, customers=CustomerTable.of([customer])
        )
        quotas = PlainQuotas(room)
        gate = QuotaGate(quotas, context.log, context.counters)
        context = attrs.evolve(context, quotas=gate)
        return Caller(context, GatewayForwarder(context)), quotas

    return build


def _run(caller, count=1, method='GET'):
    """Send requests one after the other; return what the caller got."""

    async def session():
        sent = []
        for _ in range(count):
            sent.append(await caller.send(method, [('Key', 'k1')]))
        return sent

    return run_virtual(session)


def test_a_request_beyond_the_quota_is_refused_before_it_is_sent(
    make_customer, lines
):
    """Guards against work for requests that a customer has no right to."""
    caller, _ = make_customer(room=1)
    served, refused = _run(caller, 2)
    assert (served.status, refused.status) == (200, 429)
    assert refused.headers['Retry-After'] == str(_WAIT_S)
    assert len(caller.context.upstreams.sent) == 1
    counters = caller.context.counters
    assert counters.total('customer_quota_refusals', customer='c1') == 1
    refusals = lines.named('request_refused')
    assert [line['reason'] for line in refusals] == ['quota_exceeded']


def test_a_customer_without_a_rate_takes_no_credit(make_customer):
    """Guards against an absent rate that is read as a quota of 0."""
    customer = attrs.evolve(_CUSTOMER, max_rate=0)
    caller, quotas = make_customer(room=0, customer=customer)
    assert [writer.status for writer in _run(caller, 3)] == [200, 200, 200]
    assert quotas.taken == 0


def test_a_retried_request_takes_one_credit(make_customer, step):
    """Guards against a quota that failures of upstreams use up."""
    steps = [step(failure=ErrorKind.UPSTREAM_UNREACHABLE), step()]
    caller, quotas = make_customer(*steps, room=5)
    served = _run(caller)[0]
    assert served.status == 200
    assert len(caller.context.upstreams.sent) == 2
    assert (quotas.taken, quotas.room) == (1, 4)


def test_a_request_that_did_not_run_gives_its_credit_back(make_customer, step):
    """Guards against a quota that refusals for other reasons use up."""
    caller, quotas = make_customer(
        step(failure=ErrorKind.UPSTREAM_UNREACHABLE), room=5
    )
    refused = _run(caller)[0]
    assert refused.status == 503
    assert quotas.room == 5


def test_a_stopping_gateway_gives_the_credit_back(make_customer):
    """Guards against a quota that a gateway uses up as it stops."""
    caller, quotas = make_customer(room=5)
    caller.forwarder.refuse_new()
    refused = _run(caller)[0]
    assert refused.status == 503
    assert quotas.room == 5


def test_a_request_that_may_have_run_keeps_its_credit(make_customer, step):
    """Guards against a bound that lost answers exceed."""
    caller, quotas = make_customer(
        step(failure=ErrorKind.UPSTREAM_LOST), room=5
    )
    failed = _run(caller, method='POST')[0]
    assert failed.status >= 500
    assert quotas.room == 4


def test_a_request_whose_caller_leaves_keeps_its_credit(make_customer, step):
    """Guards against a bound that callers exceed by leaving early."""
    caller, quotas = make_customer(step(after_s=None), room=5)

    async def session():
        task = asyncio.ensure_future(caller.send(extra=[('Key', 'k1')]))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_virtual(session)
    assert quotas.room == 4


def test_the_begin_and_the_end_of_a_limit_are_logged(make_customer, lines):
    """Guards against limits that only refusals tell of."""
    _, quotas = make_customer()
    for is_limited in (True, False):
        state = QuotaState(15, 2, 10, 0)
        quotas.on_change(QuotaChange(_CUSTOMER, is_limited, state, 0.9))
    found = lines.named('customer_quota_changed')
    assert [line['change'] for line in found] == ['limited', 'free']
    assert {line['customer'] for line in found} == {'c1'}
