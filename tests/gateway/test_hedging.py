"""Tests of attempts that run beside one that is overdue."""

import asyncio

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.answer import MAX_BUFFERED_BYTES
from nutmegshore.gateway.route import RouteKind

#: An attempt is overdue after two and a half times the work that the callers'
#: gateway has measured.
_OVERDUE_S = 0.5
#: Attempts that the route allows.
_MAX_ATTEMPTS = 2
_SILENT = ErrorKind.UPSTREAM_SILENT.value


@pytest.fixture
def admit_once(monkeypatch):
    """Function that lets the balancer refuse all but the first attempt."""

    def limit(context):
        choose = context.balancer.choose

        def refuse_second(request):
            if request.tried:
                raise RefusedError(ErrorKind.OVERLOADED, 'orders', 0.5)
            return choose(request)

        monkeypatch.setattr(context.balancer, 'choose', refuse_second)

    return limit


def _obstacles(lines):
    """Why there was no further attempt at the requests that failed."""
    return [line['no_retry'] for line in lines.named('request_failed')]


def test_a_slow_upstream_is_not_given_up_for_a_refusal(
    make_caller, step, admit_once
):
    """Guards against LOST: an attempt at which its upstream was at work was
    cancelled, no second one was admitted, and the caller got 502 (issue
    47)."""
    caller = make_caller(step(after_s=2 * _OVERDUE_S))
    admit_once(caller.context)
    written = caller.run()
    assert (written.status, written.body) == (200, b'ok')
    assert not caller.context.upstreams.cancelled


def test_a_slow_upstream_that_answers_first_is_not_given_up(make_caller, step):
    """Guards against LOST: work was cancelled for another upstream, which had
    yet to begin (issue 47)."""
    caller = make_caller(
        step(after_s=_OVERDUE_S + 0.1, body=b'slow'), step(after_s=1)
    )
    written = caller.run()
    assert written.body == b'slow'
    assert caller.took_s == pytest.approx(_OVERDUE_S + 0.1, abs=0.01)
    assert caller.context.upstreams.cancelled == 1


def test_a_silent_upstream_costs_no_answer(make_caller, step, lines):
    """Guards against a read that waits for its deadline although another
    upstream could answer it."""
    caller = make_caller(step(after_s=None), step(after_s=0.1, body=b'second'))
    written = caller.run()
    assert written.body == b'second'
    assert caller.took_s == pytest.approx(_OVERDUE_S + 0.1, abs=0.01)
    assert caller.context.upstreams.cancelled == 1
    overdue = lines.named('request_overdue')
    sent = caller.context.upstreams.sent
    assert [line['hedge'] for line in overdue] == [sent[1][0]]
    attempts = lines.named('request_served')[0]['attempts']
    assert [attempt[-1] for attempt in attempts] == ['200', _SILENT]


def test_a_silent_upstream_without_another_fails_at_the_deadline(
    make_caller, step, admit_once, lines
):
    """Guards against an error before the deadline, and against one that does
    not say why no other upstream was asked."""
    caller = make_caller(step(after_s=None))
    admit_once(caller.context)
    written = caller.run()
    assert written.status == 504
    assert caller.took_s == pytest.approx(1.95, abs=0.03)
    assert _obstacles(lines) == ['overloaded']
    waited = [line['waited_s'] for line in lines.named('request_overdue')]
    assert waited == pytest.approx([_OVERDUE_S, 2 * _OVERDUE_S], abs=0.02)


def test_a_refused_second_upstream_costs_no_budget(
    make_caller, step, admit_once
):
    """Guards against retries that are charged although none is sent."""
    caller = make_caller(step(after_s=2 * _OVERDUE_S))
    admit_once(caller.context)
    budget = caller.context.budget

    async def session():
        before = budget.remaining('orders', 1)
        await caller.send()
        return before, budget.remaining('orders', 1)

    before, after = run_virtual(session)
    assert after >= before


def test_a_retry_that_no_upstream_admits_costs_no_budget(
    make_caller, step, admit_once, lines
):
    """Guards against a failure whose line names no reason for the missing
    retry, and against a charge for it."""
    caller = make_caller(step(failure=ErrorKind.UPSTREAM_LOST))
    admit_once(caller.context)
    assert caller.run().status == 502
    assert _obstacles(lines) == ['overloaded']
    assert not lines.named('request_retried')
    assert not caller.context.counters.total('retries')


@pytest.mark.parametrize(
    'failure',
    [
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_UNREACHABLE,
    ],
)
def test_a_second_upstream_that_fails_costs_no_answer(
    make_caller, step, failure
):
    """Guards against giving up the work of the first upstream because the
    second one has failed."""
    caller = make_caller(
        step(after_s=1, body=b'slow'),
        step(failure=failure),
        step(after_s=None),
    )
    assert caller.run().body == b'slow'


def test_an_error_of_the_second_upstream_is_no_better_answer(make_caller, step):
    """Guards against giving up the work of the first upstream for a failure
    that the second one answers."""
    caller = make_caller(
        step(after_s=1, body=b'slow'), step(status=500), step(after_s=None)
    )
    written = caller.run()
    assert (written.status, written.body) == (200, b'slow')


def test_the_only_answer_is_passed_on_although_it_is_a_failure(
    make_caller, step
):
    """Guards against an error of the gateway's own in place of what an
    upstream answered."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST, after_s=1)
    caller = make_caller(lost, step(status=500, body=b'broken'))
    written = caller.run()
    assert (written.status, written.body) == (500, b'broken')


def test_a_long_answer_to_a_slow_caller_is_not_given_up(make_caller, step):
    """Guards against LOST: the time that a caller takes to read a long answer
    counted as the silence of its upstream, and the answer was cut."""
    body = b'x' * (MAX_BUFFERED_BYTES + 1)
    caller = make_caller(step(after_s=0.1, body=body))
    caller.read_s = 2 * _OVERDUE_S
    written = caller.run()
    assert written.body == body
    assert len(caller.context.upstreams.sent) == 1


def test_only_one_of_two_long_answers_is_streamed(make_caller, step):
    """Guards against MIXED: pieces of two answers in one."""
    size = MAX_BUFFERED_BYTES + 1
    both = (
        step(after_s=_OVERDUE_S + 0.1, body=b'a' * size),
        step(after_s=0.1, body=b'b' * size),
    )
    caller = make_caller(*both)
    caller.read_s = 0.3
    written = caller.run()
    assert len(written.body) == size
    assert len(set(written.body)) == 1


@pytest.mark.parametrize('kind', [RouteKind.UNSAFE, RouteKind.UPLOAD])
def test_what_must_not_run_twice_goes_to_one_upstream(make_caller, step, kind):
    """Guards against TWICE: a second attempt beside one that may run it."""
    caller = make_caller(step(after_s=1.5), kind=kind)
    assert caller.run('POST').status == 200
    assert len(caller.context.upstreams.sent) == 1


def test_the_attempts_of_a_route_bound_those_at_a_time(make_caller, step):
    """Guards against BUDGET: more upstreams for a request than its route
    allows."""
    caller = make_caller(step(after_s=None))
    assert caller.run().status == 504
    assert len(caller.context.upstreams.sent) == _MAX_ATTEMPTS


def test_nothing_runs_on_once_the_caller_has_left(make_caller, step):
    """Guards against GONE: an attempt that goes on without a caller, and
    requests in flight that are never taken back."""
    caller = make_caller(step(after_s=None))

    async def session():
        sending = asyncio.ensure_future(caller.send())
        await asyncio.sleep(_OVERDUE_S + 0.1)
        sending.cancel()
        await asyncio.wait((sending,))

    run_virtual(session)
    assert caller.context.upstreams.cancelled == 2
    load = caller.context.balancer.candidate_builder.load
    assert not any(load.get(name).in_flight for name in ('u1', 'u2', 'u3'))


@pytest.mark.expects_faults
def test_a_fault_in_the_choice_of_a_second_upstream_costs_no_answer(
    make_caller, step, monkeypatch
):
    """Guards against giving up the work of an upstream for a fault of the
    gateway's own."""
    caller = make_caller(step(after_s=1, body=b'slow'))
    balancer = caller.context.balancer
    choose = balancer.choose

    def fail_second(request):
        if request.tried:
            raise ZeroDivisionError('of a test')
        return choose(request)

    monkeypatch.setattr(balancer, 'choose', fail_second)
    assert caller.run().body == b'slow'
    assert caller.context.counters.total('internal_faults')


def test_a_stop_interrupts_no_attempt_that_is_overdue(make_caller, step):
    """Guards against interrupting a request after SIGTERM while its upstream
    works on it: LOST in the demo vks-boots trouble-2, seed 480333519239."""
    caller = make_caller(
        step(after_s=_OVERDUE_S + 0.5, body=b'slow'), step(after_s=2)
    )

    async def session():
        sending = asyncio.ensure_future(caller.send())
        await asyncio.sleep(_OVERDUE_S - 0.001)
        caller.forwarder.refuse_new()
        return await sending

    assert run_virtual(session).body == b'slow'


def _failures(caller):
    """Failures in a row of the upstreams that a caller's request reached."""
    health = caller.context.balancer.candidate_builder.health
    names = [name for name, _ in caller.context.upstreams.sent]
    return [health.by_id[name].failures for name in names]


def test_an_upstream_that_is_beaten_counts_as_failing(make_caller, step):
    """Guards against further requests for an upstream that hangs."""
    caller = make_caller(step(after_s=None), step(after_s=0.1))
    caller.run()
    assert _failures(caller) == [1, 0]


def test_slow_upstreams_that_nothing_beats_are_not_avoided(make_caller, step):
    """Guards against a service that is slow as a whole and is avoided as a
    whole, although it answers each request."""
    caller = make_caller(step(after_s=2 * _OVERDUE_S), extra_retries=0)
    health = caller.context.balancer.candidate_builder.health

    async def session():
        sending = [asyncio.ensure_future(caller.send()) for _ in range(12)]
        await asyncio.sleep(_OVERDUE_S + 0.05)
        avoided = [name for name in health.by_id if health.is_avoided(name)]
        await asyncio.gather(*sending)
        return avoided

    assert not run_virtual(session)


def test_an_overdue_attempt_that_is_lost_counts_once(make_caller, step):
    """Guards against one attempt that counts as two failures."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST, after_s=_OVERDUE_S + 0.3)
    caller = make_caller(lost, step(after_s=1))
    caller.run()
    assert _failures(caller) == [1, 0]


@pytest.mark.parametrize('status', [500, 408, 429])
@pytest.mark.parametrize('size', [2, MAX_BUFFERED_BYTES + 1])
def test_no_error_of_a_hedge_ends_the_work_of_the_first(
    make_caller, step, status, size
):
    """Guards against LOST: work is given up for an error, long or short."""
    caller = make_caller(
        step(after_s=1, body=b'slow'), step(status=status, body=b'e' * size)
    )
    written = caller.run()
    assert (written.status, written.body) == (200, b'slow')


def test_retries_after_a_crash_stay_within_the_budget(make_caller, step):
    """Guards against BUDGET: requests whose answers are lost together all see
    the same budget before any of them spends it."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST, after_s=0.1)
    caller = make_caller(lost, lost, lost, lost, lost, step())
    caller.context.budget.resize(0, 10, 2)

    async def session():
        await asyncio.gather(*(caller.send() for _ in range(5)))

    run_virtual(session)
    assert caller.context.counters.total('retries') == 1


def test_a_retry_looks_at_the_budget_after_its_check(
    make_caller, step, listening, monkeypatch
):
    """Guards against a retry that was allowed before the check for a crash,
    and is no longer."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST, after_s=0.1)
    caller = make_caller(lost, step(after_s=0.1))

    async def probe(self, address, within_s):
        await asyncio.sleep(within_s)
        caller.context.budget.resize(0, 10, 0)
        return True

    monkeypatch.setattr(type(listening), '__call__', probe)
    caller.run()
    assert len(caller.context.upstreams.sent) == 1


class _Probes:
    """Checks of upstreams that take `takes_s` each, in turn."""

    def __init__(self, context, *takes_s):
        self.running = 0
        #: Checks that ran as each attempt was sent.
        self.at_sends = []
        self._takes_s = iter(takes_s)
        self._send = context.upstreams.send
        context.upstreams.send = self.send

    async def probe(self, address, within_s):
        """Check an address."""
        self.running += 1
        await asyncio.sleep(next(self._takes_s))
        self.running -= 1
        return True

    async def send(self, *options):
        """Send an attempt."""
        self.at_sends.append(self.running)
        return await self._send(*options)


def test_a_retry_waits_for_the_checks_of_all_lost_attempts(
    make_caller, step, listening, monkeypatch
):
    """Guards against a third upstream for a request that crashed two: the
    newer of two checks hid the one that took longer."""
    lost = ErrorKind.UPSTREAM_LOST
    caller = make_caller(
        step(failure=lost, after_s=_OVERDUE_S + 0.2),
        step(failure=lost, after_s=0.1),
        step(),
        extra_retries=600,
        max_attempts=4,
    )
    probes = _Probes(caller.context, 0.25, 0)
    monkeypatch.setattr(
        type(listening), '__call__', lambda _, *options: probes.probe(*options)
    )
    caller.run()
    assert probes.at_sends == [0, 0, 0]


def test_no_hedge_is_sent_during_a_crash_check(
    make_caller, step, listening, monkeypatch
):
    """Guards against a further upstream for a request before it is known
    whether it crashed the last one."""
    lost = step(failure=ErrorKind.UPSTREAM_LOST, after_s=2 * _OVERDUE_S - 0.05)
    caller = make_caller(
        lost,
        step(after_s=None),
        step(),
        extra_retries=600,
        max_attempts=4,
        timeout_s=4,
    )
    probes = _Probes(caller.context, 0.25)
    monkeypatch.setattr(
        type(listening), '__call__', lambda _, *options: probes.probe(*options)
    )
    caller.run()
    assert probes.at_sends == [0, 0, 0]
