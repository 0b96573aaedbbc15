"""Tests of attempts that end, stream or are cancelled at the same time."""

import asyncio
import random

import attrs
import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.answer import MAX_BUFFERED_BYTES
from nutmegshore.upstreams import AnswerHead
from nutmegshore.upstreams.curl import CurlUpstreams

#: An attempt is overdue after two and a half times the work that the callers'
#: gateway has measured.
_OVERDUE_S = 0.5
_LONG = MAX_BUFFERED_BYTES + 1
_UPSTREAMS = ('u1', 'u2', 'u3')
_FAILURES = (
    ErrorKind.UPSTREAM_LOST,
    ErrorKind.UPSTREAM_REFUSED,
    ErrorKind.UPSTREAM_UNREACHABLE,
    ErrorKind.UPSTREAM_SPOILED,
    ErrorKind.DEADLINE_AFTER_SEND,
    None,
    None,
    None,
)


def _head_for(request):
    identity = ('Request-Id', request.request_id)
    return AnswerHead(200, (identity, ('Server-Stamp', 's')))


async def _send_caught(caller):
    try:
        await caller.send()
    except RequestError as error:
        return error
    return None


def test_a_broken_streamed_answer_is_not_followed_by_a_kept_error(
    make_caller, step
):
    """Guards against MIXED: the kept 500 of one upstream was written behind
    the first piece of the other one's answer."""
    caller = make_caller(step(), step(status=500, body=b'kept'))
    upstreams = caller.context.upstreams
    send_whole = upstreams.send

    async def send(name, upstream, request, receiver):
        if upstreams.sent:
            return await send_whole(name, upstream, request, receiver)
        upstreams.sent.append((name, request))
        await asyncio.sleep(1)
        await receiver.begin(_head_for(request))
        await receiver.receive(b'a' * _LONG)
        await asyncio.sleep(0.1)
        raise RequestError(ErrorKind.UPSTREAM_LOST, name)

    upstreams.send = send
    failure = run_virtual(lambda: _send_caught(caller))
    assert failure.kind is ErrorKind.UPSTREAM_LOST
    assert [writer.mixed for writer in caller.writers] == [[]]


@attrs.define
class _Relay:
    """The relay of one long answer while a body is on its way."""

    both_ready: asyncio.Event
    mark: bytes
    request: object
    has_no_body: bool = False

    async def relay_body(self):
        """Send the body."""
        await asyncio.sleep(1)

    async def relay_answer(self, receiver, report):
        """Pass on the answer once those of both upstreams are ready."""
        await self.both_ready.wait()
        await receiver.begin(_head_for(self.request))
        await receiver.receive(self.mark * _LONG)
        await asyncio.sleep(0.1)
        return _head_for(self.request)


def test_only_one_of_two_long_answers_to_a_body_is_streamed(
    make_caller, scripted
):
    """Guards against MIXED: while a body is sent, the answer is relayed by a
    task of its own, which the cancel of its attempt reached one step late."""
    upstreams = scripted()
    both_ready = asyncio.Event()
    upstreams.report = None

    async def send(name, upstream, request, receiver):
        upstreams.sent.append((name, request))
        mark = b'a' if len(upstreams.sent) == 1 else b'b'
        if len(upstreams.sent) > 1:
            asyncio.get_running_loop().call_later(0.2, both_ready.set)
        relay = _Relay(both_ready, mark, request)
        return await CurlUpstreams._run(upstreams, relay, receiver)

    upstreams.send = send
    caller = make_caller(upstreams=upstreams)
    written = caller.run()
    assert not written.mixed
    assert written.body in {b'a' * _LONG, b'b' * _LONG}


def test_a_slow_caller_does_not_count_against_the_upstream(
    make_caller, step, lines
):
    """Guards against an upstream that counts as silent, and is logged as
    overdue, although its answer is on the way to a slow caller."""
    caller = make_caller(step(after_s=0.1, body=b'x' * _LONG))
    caller.read_s = 1.5
    caller.run()
    health = caller.context.balancer.candidate_builder.health
    assert not any(one.failures for one in health.by_id.values())
    assert not lines.named('request_overdue')
    assert not caller.context.counters.total('retries_refused')


@pytest.mark.parametrize('body', [b'x' * _LONG, b'ok'])
def test_a_caller_that_leaves_costs_the_upstream_nothing(
    make_caller, step, lines, body
):
    """Guards against the time in which a caller reads that counts as a silence
    of its upstream."""
    after_s = 0.1 if len(body) > 2 else None
    caller = make_caller(step(after_s=after_s, body=body), extra_retries=0)
    caller.read_s = 10

    async def session():
        sending = asyncio.ensure_future(caller.send())
        await asyncio.sleep(_OVERDUE_S + 0.2)
        sending.cancel()
        await asyncio.wait((sending,))

    run_virtual(session)
    ended = lines.named('request_abandoned')[0]['attempts']
    assert [attempt[-1] for attempt in ended] == ['abandoned']


def test_a_stop_passes_on_the_answer_that_is_kept(make_caller, step):
    """Guards against an error of our own in place of what an upstream has
    answered while another one was still at work."""
    caller = make_caller(step(after_s=None), step(status=500, body=b'kept'))

    async def session():
        sending = asyncio.ensure_future(caller.send())
        await asyncio.sleep(_OVERDUE_S + 0.2)
        caller.forwarder.end_requests()
        return await sending

    written = run_virtual(session)
    assert (written.status, written.body) == (500, b'kept')


def test_the_whole_answer_is_not_lost_while_others_end(make_caller, step):
    """Guards against LOST: the time of the request passes as the attempts that
    were beaten are cancelled."""
    caller = make_caller(step(after_s=None), step(after_s=0.1, body=b'second'))
    upstreams = caller.context.upstreams
    send = upstreams.send

    async def close_slowly(*options):
        try:
            return await send(*options)
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            caller.forwarder.end_requests()
            await asyncio.sleep(0)
            raise

    upstreams.send = close_slowly
    written = caller.run()
    assert (written.status, written.body) == (200, b'second')


@pytest.mark.expects_faults
def test_a_fault_at_the_moment_of_the_answer_is_reported(make_caller, step):
    """Guards against a fault of our own code that leaves no line."""
    caller = make_caller(step(), step(body=b'second'))
    upstreams = caller.context.upstreams
    send = upstreams.send
    both_ready = asyncio.Event()

    async def send_together(name, upstream, request, receiver):
        if upstreams.sent:
            asyncio.get_running_loop().call_later(0.1, both_ready.set)
            await both_ready.wait()
            return await send(name, upstream, request, receiver)
        upstreams.sent.append((name, request))
        await both_ready.wait()
        raise ZeroDivisionError('of a test')

    upstreams.send = send_together
    assert caller.run().status == 200
    assert caller.context.counters.total('internal_faults') == 1


def _make_steps(rng, step):
    return [
        step(
            failure=rng.choice(_FAILURES),
            status=rng.choice((200, 200, 500)),
            body=rng.choice((b'', b'x', b'y' * _LONG)),
            after_s=rng.choice((None, 0, 0.25, 0.5, 0.75, 1)),
        )
        for _ in range(6)
    ]


async def _end_early(caller, rng):
    """Send two requests and end them; return their exceptions."""
    sending = [asyncio.ensure_future(caller.send()) for _ in range(2)]
    await asyncio.sleep(rng.choice((0, 0.25, 0.5, 0.75, 1, 5)))
    if rng.choice((True, False)):
        caller.forwarder.end_requests()
    else:
        for one in sending:
            one.cancel()
    await asyncio.wait(sending)
    await asyncio.sleep(1)
    return [one.exception() for one in sending if not one.cancelled()]


@pytest.mark.parametrize('seed', range(200))
def test_nothing_is_left_over_whatever_happens(make_caller, step, seed):
    """Guards against requests in flight that are never taken back, after
    random answers, failures, cancels and stops."""
    rng = random.Random(seed)
    caller = make_caller(*_make_steps(rng, step), extra_retries=600)
    caller.read_s = rng.choice((0, 0.25))
    failures = run_virtual(lambda: _end_early(caller, rng))
    assert all(isinstance(one, RequestError | None) for one in failures)
    load = caller.context.balancer.candidate_builder.load
    assert not any(load.get(name).in_flight for name in _UPSTREAMS)
    assert not caller.forwarder.in_flight
    assert not any(writer.mixed for writer in caller.writers)
