"""Tests of the forwarder with scripted upstreams."""

import asyncio
import functools
import re

import pytest

from nutmegshore.callers import (
    CallerForwarder,
    ForwardHooks,
    IdempotencyClaim,
    IdempotencyRecords,
    OpenGate,
    ReplayableAnswer,
    RetryFreely,
)
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.upstreams import AnswerHead, AnswerReceiver, BodySource

_HEAD = AnswerHead(200, ())
_EARLIER_REQUESTS = 40
_LOST = ErrorKind.UPSTREAM_LOST
_REFUSED = ErrorKind.UPSTREAM_REFUSED
_UNREACHABLE = ErrorKind.UPSTREAM_UNREACHABLE


class _Ignore(AnswerReceiver):
    async def begin(self, head):
        self.head = head

    async def receive(self, chunk):
        self.last = chunk


class _Body(BodySource):
    def __init__(self, *pieces):
        self.pieces = pieces

    async def chunks(self):
        for piece in self.pieces:
            yield piece


class _SlowBody(BodySource):
    async def chunks(self):
        await asyncio.sleep(1)
        yield b'late'


class _Gate(OpenGate):
    def __init__(self):
        self.seen = []

    def check(self, request):
        if request.body_start == b'crash':
            raise RequestError(ErrorKind.QUARANTINED)

    def allows(self, request, upstream):
        return upstream == 'orders-2'

    def started(self, request, upstream):
        self.start = request.body_start
        self.seen.append(('started', upstream))

    def finished(self, request, upstream, failure):
        self.seen.append((failure, upstream))


class _Claim(IdempotencyClaim):
    def __init__(self):
        self.seen = []

    async def finish(self, head, body):
        self.seen.append(('finish', head.status, body))

    async def release(self):
        self.seen.append('release')

    async def lose(self):
        self.seen.append('lose')


class _FailingClaim(_Claim):
    async def finish(self, head, body):
        raise ArithmeticError('of a test')

    async def release(self):
        raise ArithmeticError('of a test')


class _Records(IdempotencyRecords):
    def __init__(self, found):
        self.found = found

    async def begin(self, request, deadline):
        return self.found


class _Never(RetryFreely):
    def may_retry(self, failure, service, deadline):
        return False


@pytest.fixture
def run(make_steering):
    """Function that forwards a request and returns its result."""

    def forwarded(upstreams_of, request, **hooks):
        async def session():
            upstreams = upstreams_of()
            counters = Counters()
            clock = VirtualClock()
            steering = make_steering(clock)
            # Earlier requests fill the retry budget.
            for _ in range(_EARLIER_REQUESTS):
                steering.components.budget.record_request()
            forwarder = CallerForwarder(
                steering,
                upstreams,
                clock,
                counters,
                ForwardHooks(**hooks),
            )
            try:
                head = await forwarder.forward(request, _Ignore())
            except RequestError as error:
                head = error.kind
            await forwarder.drain()
            in_flight = sum(steering.components.estimate.own.values())
            return head, upstreams, counters, in_flight

        return run_virtual(session)

    return forwarded


@pytest.mark.parametrize(
    'case',
    [
        ('orders', [_LOST], 1, _LOST),
        ('orders', [_REFUSED, None], 2, None),
        ('orders', [_UNREACHABLE, None], 2, None),
        ('orders', [_UNREACHABLE, _LOST], 2, _LOST),
        ('orders', [ErrorKind.DEADLINE_AFTER_SEND], 1, None),
        ('tallies', [_LOST, None], 2, None),
        ('tallies', [_LOST, _REFUSED], 3, _LOST),
        ('tallies', [ErrorKind.CALLER_STALLED], 1, ErrorKind.CALLER_STALLED),
    ],
)
def test_only_safe_retries_are_made(case, run, scripted, step, order):
    """Guards against a second run, and "not run" after an unknown outcome."""
    service, failures, tries, end = case
    steps = [step(kind, None if kind else _HEAD) for kind in failures]
    head, upstreams, _, in_flight = run(
        lambda: scripted(*steps), order(service=service)
    )
    assert len(upstreams.sent) == tries
    assert len({name for name, _ in upstreams.sent}) == tries
    assert in_flight == 0
    assert head == end or end is None


def test_no_retry_after_the_answer_began(run, scripted, step, order):
    """Guards against two answers on one connection."""
    cut = step(_LOST, _HEAD, (b'half',))
    head, upstreams, counters, _ = run(
        lambda: scripted(cut), order(service='tallies')
    )
    assert (head, len(upstreams.sent)) == (_LOST, 1)
    assert counters.total('retries_refused', obstacle='answer_begun') == 1


@pytest.mark.parametrize(
    ('pieces', 'bodies'),
    [
        ((b'ab', b'c'), [b'abc', b'abc']),
        ((b'x' * 65_536, b'y'), [b'%by' % (b'x' * 65_536)]),
    ],
)
def test_only_a_whole_kept_body_is_sent_again(
    pieces, bodies, run, scripted, step, order
):
    """Guards against a retry with a part of the body."""
    steps = (step(_REFUSED, None), step())
    _, upstreams, _, _ = run(
        lambda: scripted(*steps), order(body=_Body(*pieces))
    )
    assert upstreams.bodies == bodies


def test_the_policy_can_refuse_a_retry(run, scripted, step, order):
    """Guards against retries beyond the budget."""
    head, upstreams, counters, _ = run(
        lambda: scripted(step(_REFUSED, None)), order(), retries=_Never()
    )
    assert (head, len(upstreams.sent)) == (_REFUSED, 1)
    assert counters.total('retries_refused', obstacle='policy') == 1


def test_a_passed_deadline_stops_before_the_upstream(run, scripted, order):
    """Guards against work for a caller that has given up."""
    head, upstreams, _, _ = run(scripted, order(deadline=0))
    assert (head, upstreams.sent) == (ErrorKind.DEADLINE_BEFORE_SEND, [])


def test_a_passed_deadline_is_no_fault_of_the_sender(run, scripted, order):
    """Guards against a wait for the body of a caller that has given up."""
    late = order(deadline=0, body=_SlowBody())
    head, upstreams, _, _ = run(scripted, late)
    assert (head, upstreams.sent) == (ErrorKind.DEADLINE_BEFORE_SEND, [])


def test_each_attempt_goes_to_another_upstream(run, scripted, step, order):
    """Guards against a retry at the upstream that has just failed."""
    lost = functools.partial(scripted, step(_LOST, None))
    for _ in range(20):
        _, upstreams, _, _ = run(lost, order(service='tallies'))
        assert len({name for name, _ in upstreams.sent}) == 3


def test_the_gate_sees_each_attempt(run, scripted, step, order):
    """Guards against runs that the quarantine does not record."""
    gate = _Gate()
    run(lambda: scripted(step(_LOST, None)), order(), gate=gate)
    assert gate.seen == [('started', 'orders-2'), (_LOST, 'orders-2')]


def test_the_gate_sees_the_body_before_it_runs(run, scripted, order):
    """Guards against a crash-causing body that passes the check."""
    head, upstreams, _, _ = run(
        scripted, order(body=_Body(b'cr', b'ash')), gate=_Gate()
    )
    assert (head, upstreams.sent) == (ErrorKind.QUARANTINED, [])


@pytest.mark.parametrize('size', [1_000, 65_536, 40_000, 90_000])
@pytest.mark.parametrize('is_known', [True, False])
def test_the_start_of_a_body_does_not_depend_on_its_pieces(
    size, is_known, run, scripted, order
):
    """Guards against two fingerprints of one crash-causing request."""
    gate = _Gate()
    whole = bytes(number % 251 for number in range(180_000))
    pieces = re.findall(b'(?s).{1,%d}' % size, whole)
    body = _Body(*pieces)
    body.length = len(whole) if is_known else None
    _, upstreams, _, _ = run(scripted, order(body=body), gate=gate)
    assert gate.start == whole[:65_536]
    assert upstreams.bodies == [whole]


@pytest.mark.parametrize(
    ('failure', 'noted'),
    [
        (None, ('finish', 200, b'ok')),
        (_LOST, 'lose'),
        (_REFUSED, 'release'),
    ],
)
def test_the_claim_is_settled_by_the_outcome(
    failure, noted, run, scripted, step, order
):
    """Guards against a released record of a request that may have run."""
    claim = _Claim()
    only = step(failure, None if failure else _HEAD)
    run(
        lambda: scripted(only),
        order(idempotency_key='k'),
        records=_Records(claim),
    )
    assert claim.seen == [noted]


@pytest.mark.expects_faults
@pytest.mark.parametrize('failure', [None, _REFUSED])
def test_a_fault_as_a_claim_ends_hides_no_outcome(
    failure, run, scripted, step, order
):
    """Guards against a whole answer that is reset, a refusal that is hidden,
    and a record that a repeat may take over (issue 47)."""
    claim = _FailingClaim()
    only = step(failure, None if failure else _HEAD)
    outcome, _, counters, in_flight = run(
        lambda: scripted(only),
        order(idempotency_key='k'),
        records=_Records(claim),
    )
    assert outcome == (failure or _HEAD)
    assert claim.seen == ['lose']
    assert counters.total('internal_faults', part='forward') == 1
    assert not in_flight


def test_a_recorded_answer_is_replayed_without_a_run(run, scripted, order):
    """Guards against a second run of a keyed request."""
    head, upstreams, _, _ = run(
        scripted,
        order(idempotency_key='k'),
        records=_Records(ReplayableAnswer(_HEAD, b'done')),
    )
    assert (head, upstreams.sent) == (_HEAD, [])
