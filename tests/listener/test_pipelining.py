"""Tests of requests that a caller sends before earlier ones are answered."""

import asyncio
import random

import pytest

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener.pipeline import MAX_READ_AHEAD

_POST = b'POST /unsafe HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'
_LONG_HEAD = b'GET / HTTP/1.1\r\nHost: %b' % bytes(40_000)
_LAST = b'GET /safe/last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
#: More requests than all buffers of a connection hold.
_FLOOD = 20_000
_LONG_BYTES = 4_000_000


def test_requests_run_at_once_and_are_answered_in_order(converse):
    """Guards against a request that waits for the one ahead of it, and against
    an answer that overtakes the one ahead of it."""

    async def session(caller):
        caller.send('/safe/a', '/safe/b')
        await caller.desk.until(lambda: len(caller.desk.started) == 2)
        caller.desk.release('/safe/b')
        await caller.desk.settle()
        caller.desk.release('/safe/a')
        answers = [await caller.read_answer() for _ in range(2)]
        return answers, caller.counters.total('requests_run_ahead')

    answers, ahead = converse(session)
    assert answers == [(200, False, '/safe/a'), (200, False, '/safe/b')]
    assert ahead == 1


def test_no_byte_of_an_answer_comes_before_its_turn(converse):
    """Guards against an answer that is mixed into the one ahead of it: the
    second is ready while the first is being written."""

    async def write_slowly(writer):
        await writer.write_own(200, (), bytes(_LONG_BYTES))

    async def session(caller):
        caller.desk.plays['/safe/a'] = write_slowly
        caller.send('/safe/a', '/safe/b', '/safe/c')
        await caller.desk.until(lambda: len(caller.desk.started) == 3)
        caller.desk.release('/safe/c', '/safe/b')
        await caller.desk.settle()
        caller.desk.release('/safe/a')
        await caller.desk.settle()
        return [await caller.read_answer() for _ in range(3)]

    long, second, third = converse(session)
    assert long[2] == '\0' * _LONG_BYTES
    assert [second[2], third[2]] == ['/safe/b', '/safe/c']


@pytest.mark.parametrize('unsafe', ['/unsafe', _POST])
def test_an_unsafe_request_waits_for_the_answers_ahead(converse, unsafe):
    """Guards against an unsafe request that runs although the answer ahead of
    it may close the connection, and the caller then sends it again."""

    async def session(caller):
        desk = caller.desk
        caller.send('/safe/a', '/safe/b', unsafe, '/safe/c')
        await desk.until(lambda: len(desk.started) == 2)
        await desk.settle()
        desk.release('/safe/b')
        await desk.settle()
        early = list(desk.started)
        desk.release('/safe/a')
        await desk.until(lambda: '/unsafe' in desk.started)
        desk.release('/unsafe', '/safe/c')
        answers = [await caller.read_answer() for _ in range(4)]
        return early, [body for _, _, body in answers], desk.bodies

    early, bodies, sent = converse(session)
    assert early == ['/safe/a', '/safe/b']
    assert bodies == ['/safe/a', '/safe/b', '/unsafe', '/safe/c']
    assert sent in ({}, {'/unsafe': b'body'})


def test_a_safe_request_with_a_body_waits(converse):
    """Guards against reading a body while another request is under way."""
    post = _POST.replace(b'/unsafe', b'/safe/p')

    async def session(caller):
        caller.send('/safe/a', post, '/safe/c')
        await caller.desk.until(lambda: caller.desk.started)
        await caller.desk.settle()
        early = list(caller.desk.started)
        caller.desk.release('/safe/a', '/safe/p', '/safe/c')
        answers = [await caller.read_answer() for _ in range(3)]
        return early, [body for _, _, body in answers], caller.desk.bodies

    early, bodies, sent = converse(session)
    assert early == ['/safe/a']
    assert bodies == ['/safe/a', '/safe/p', '/safe/c']
    assert sent == {'/safe/p': b'body'}


@pytest.mark.parametrize('tls', [False, True])
def test_a_caller_cannot_run_more_than_the_bound_ahead(converse, tls):
    """Guards against memory for answers that grows with what a caller sends,
    and against a connection that is cut because of it."""

    async def session(caller):
        targets = [f'/safe/{number}' for number in range(_FLOOD)]
        caller.send(*targets)
        await caller.desk.until(
            lambda: len(caller.desk.started) > MAX_READ_AHEAD
        )
        await caller.desk.settle()
        early = len(caller.desk.started)
        caller.desk.release(*targets)
        answers = [await caller.read_answer() for _ in targets]
        return targets, early, [body for _, _, body in answers]

    targets, early, bodies = converse(session, tls=tls)
    assert early == MAX_READ_AHEAD + 1
    assert bodies == targets


async def _fail(writer):
    raise ValueError('a fault of the program')


async def _cut(writer):
    await writer._write_head(200, (), '10')
    raise RequestError(ErrorKind.UPSTREAM_LOST, 'cut')


async def _close(writer):
    writer.keeps_alive = False
    await writer.write_own(200, (), b'closing')


@pytest.mark.parametrize(
    ('play', 'status'),
    [
        pytest.param(_fail, 503, marks=pytest.mark.expects_faults),
        (_close, 200),
        (_cut, None),
    ],
)
def test_an_answer_that_closes_cancels_those_behind_it(converse, play, status):
    """Guards against work that goes on for requests which the caller sends
    again, and against their answers behind the last one."""

    async def session(caller):
        desk = caller.desk
        desk.plays['/safe/b'] = play
        caller.send('/safe/a', '/safe/b', '/safe/c', '/safe/d', '/unsafe')
        await desk.until(lambda: len(desk.started) == 4)
        desk.release('/safe/d', '/safe/b')
        await desk.settle()
        desk.release('/safe/a')
        first = await caller.read_answer()
        try:
            rest = await caller.read_rest()
        except ConnectionResetError:
            rest = None
        await desk.until(lambda: len(desk.cancelled) == 2)
        await desk.settle()
        return first, rest, desk

    first, rest, desk = converse(session)
    assert first == (200, False, '/safe/a')
    assert sorted(desk.cancelled) == ['/safe/c', '/safe/d']
    assert '/unsafe' not in desk.started
    if status is None:
        assert not rest or rest.endswith(b'\r\n\r\n')
    else:
        assert rest.startswith(f'HTTP/1.1 {status} '.encode())
        assert rest.count(b'HTTP/1.1 ') == 1
        assert b'\r\nConnection: close\r\n' in rest


def test_nothing_is_read_behind_a_request_that_asks_for_the_close(converse):
    """Guards against work for requests that are certain to be dropped."""

    async def session(caller):
        caller.send('/safe/a', _LAST, '/safe/behind')
        await caller.desk.until(lambda: len(caller.desk.started) == 2)
        await caller.desk.settle()
        caller.desk.release('/safe/a', '/safe/last', '/safe/behind')
        answers = [await caller.read_answer() for _ in range(2)]
        return answers, await caller.read_rest(), caller.desk.started

    answers, rest, started = converse(session)
    assert answers == [(200, False, '/safe/a'), (200, True, '/safe/last')]
    assert rest == b''
    assert started == ['/safe/a', '/safe/last']


@pytest.mark.parametrize('head', [b'GET nothing\r\n\r\n', _LONG_HEAD])
def test_a_malformed_head_is_refused_behind_the_answers_ahead(converse, head):
    """Guards against good requests that lose their answers because of what
    the caller sent behind them."""

    async def session(caller):
        caller.send('/safe/a', '/safe/b', head)
        await caller.desk.until(lambda: len(caller.desk.started) == 2)
        await caller.desk.settle()
        caller.desk.release('/safe/b', '/safe/a')
        answers = [await caller.read_answer() for _ in range(2)]
        return [body for _, _, body in answers], await caller.read_rest()

    bodies, rest = converse(session)
    assert bodies == ['/safe/a', '/safe/b']
    assert rest.startswith(b'HTTP/1.1 4')
    assert b'\r\nConnection: close\r\n' in rest


def test_a_caller_that_leaves_cancels_all_its_requests(converse):
    """Guards against upstreams that work for a caller that is gone."""

    async def session(caller):
        desk = caller.desk
        caller.send('/safe/a', '/safe/b', '/safe/c', '/unsafe')
        await desk.until(lambda: len(desk.started) == 3)
        await desk.settle()
        desk.release('/safe/b')
        await desk.settle()
        caller.writer.close()
        await desk.until(lambda: len(desk.cancelled) == 3)
        await desk.until(lambda: not caller.server.connection_count)
        return desk.started, caller.counters.total('caller_disconnects')

    started, disconnects = converse(session)
    assert started == ['/safe/a', '/safe/b', '/safe/c']
    assert disconnects == 3


@pytest.mark.parametrize('unsafe', ['/unsafe', _POST])
def test_a_stop_answers_all_that_was_read(converse, unsafe):
    """Guards against LOST: a stop announced the close on an answer with
    requests behind it, which were read and passed on."""

    async def session(caller):
        desk = caller.desk
        caller.send('/safe/a', '/safe/b', '/safe/c', unsafe)
        await desk.until(lambda: len(desk.started) == 3)
        await desk.settle()
        caller.server.leave()
        finishing = asyncio.ensure_future(caller.server.finish())
        await desk.settle()
        caller.send('/safe/late')
        desk.release('/safe/c', '/safe/b')
        await desk.settle()
        desk.release('/safe/a', '/unsafe')
        answers = [await caller.read_answer() for _ in range(4)]
        rest = await caller.read_rest()
        caller.writer.close()
        await finishing
        return answers, rest, desk, caller.server.idle_closed

    answers, rest, desk, idle_closed = converse(session)
    assert [body for _, _, body in answers] == [
        '/safe/a',
        '/safe/b',
        '/safe/c',
        '/unsafe',
    ]
    assert [closes for _, closes, _ in answers] == [False, False, False, True]
    assert rest == b''
    assert not desk.cancelled
    assert idle_closed == 0


def test_a_stop_starts_no_request_whose_head_is_still_arriving(converse):
    """Guards against LOST: a stop had announced the close on the last answer,
    and a request behind it was read and passed on all the same."""

    async def session(caller):
        desk = caller.desk
        caller.send('/safe/a', '/safe/b', b'GET /safe/late HTTP/1.1\r\n')
        await desk.until(lambda: len(desk.started) == 2)
        await desk.settle()
        caller.server.leave()
        caller.send(b'Host: a\r\n\r\n')
        await desk.settle()
        desk.release('/safe/a', '/safe/b', '/safe/late')
        answers = [await caller.read_answer() for _ in range(2)]
        return answers, await caller.read_rest(), desk.started

    answers, rest, started = converse(session)
    assert answers == [(200, False, '/safe/a'), (200, True, '/safe/b')]
    assert rest == b''
    assert started == ['/safe/a', '/safe/b']


def test_a_stop_that_cuts_ends_all_requests(converse):
    """Guards against requests that go on after their connection was cut."""

    async def session(caller):
        desk = caller.desk
        caller.send('/safe/a', '/safe/b', '/unsafe')
        await desk.until(lambda: len(desk.started) == 2)
        await caller.server.close_all_connections()
        return desk.cancelled, asyncio.all_tasks()

    cancelled, tasks = converse(session)
    assert sorted(cancelled) == ['/safe/a', '/safe/b']
    assert len(tasks) == 1


def test_a_connection_with_requests_under_way_is_not_idle(converse):
    """Guards against the end of the idle time while answers are due, and
    against a connection that is never closed after them."""

    async def session(caller):
        caller.send('/safe/a', '/safe/b')
        await caller.desk.until(lambda: len(caller.desk.started) == 2)
        await caller.desk.settle()
        early = caller.counters.total('idle_connections_closed')
        caller.desk.release('/safe/a', '/safe/b')
        answers = [await caller.read_answer() for _ in range(2)]
        return early, answers, await caller.read_rest()

    early, answers, rest = converse(session, idle_s=0.01)
    assert early == 0
    assert [body for _, _, body in answers] == ['/safe/a', '/safe/b']
    assert rest == b''


def test_the_idle_time_begins_with_the_last_answer(converse):
    """Guards against a connection that is closed soon after the answer to a
    request which took longer than the idle time."""
    idle_s = 1

    async def session(caller):
        caller.send('/safe/a')
        await caller.desk.until(lambda: caller.desk.started)
        await asyncio.sleep(1.9 * idle_s)
        caller.desk.release('/safe/a', '/safe/b')
        await caller.read_answer()
        await asyncio.sleep(0.3 * idle_s)
        caller.send('/safe/b')
        return await caller.read_answer()

    assert converse(session, idle_s=idle_s)[2] == '/safe/b'


def test_a_head_that_stalls_does_not_harm_the_requests_ahead(converse):
    """Guards against good requests that lose their answers because a further
    head stops half-way."""

    async def session(caller):
        caller.send('/safe/a', b'GET /safe/b HTTP/1.1\r\n')
        await caller.desk.until(lambda: caller.desk.started)
        await caller.desk.settle()
        await caller.desk.settle()
        caller.desk.release('/safe/a')
        return await caller.read_answer(), await caller.read_rest()

    answer, rest = converse(session, head_s=0.01)
    assert answer == (200, False, '/safe/a')
    assert rest.startswith(b'HTTP/1.1 408 ')


def test_a_body_that_waits_for_continue_is_asked_for_in_its_turn(converse):
    """Guards against an interim answer inside the answer ahead of it."""
    post = _POST.replace(b'\r\n\r\nbody', b'\r\nExpect: 100-continue\r\n\r\n')

    async def session(caller):
        caller.send('/safe/a', post)
        await caller.desk.until(lambda: caller.desk.started)
        await caller.desk.settle()
        caller.desk.release('/safe/a', '/unsafe')
        first = await caller.read_answer()
        interim = await caller.reader.readuntil(b'\r\n\r\n')
        caller.send(b'body')
        return first, interim, await caller.read_answer()

    first, interim, last = converse(session)
    assert first[2] == '/safe/a'
    assert interim.startswith(b'HTTP/1.1 100 ')
    assert last[2] == '/unsafe'


def test_a_cut_answer_is_not_counted_as_a_caller_that_left(converse):
    """Guards against a count of callers that gave up which includes those
    whose connection the listener reset."""

    async def session(caller):
        caller.desk.plays['/safe/a'] = _cut
        caller.send('/safe/a', '/safe/b')
        await caller.desk.until(lambda: len(caller.desk.started) == 2)
        caller.desk.release('/safe/a')
        await caller.desk.until(lambda: caller.desk.cancelled)
        await caller.desk.until(lambda: not caller.server.connection_count)
        return caller.counters

    counters = converse(session)
    assert counters.total('caller_disconnects') == 0
    assert counters.total('answers_aborted') == 1
    assert counters.total('requests_withdrawn') == 1


def _draw_requests(rng):
    """Draw targets, and the bytes that ask for them."""
    for number in range(rng.randint(1, 40)):
        target = f'/{rng.choice(("safe", "safe", "unsafe"))}/{number}'
        head = f'GET {target} HTTP/1.1\r\nHost: a\r\n'
        if rng.randrange(5) == 0:
            size = rng.choice((1, 70_000))
            body = 'x' * size
            yield target, f'{head}Content-Length: {size}\r\n\r\n{body}'
        else:
            yield target, f'{head}\r\n'


@pytest.mark.parametrize('seed', range(20))
def test_any_mix_of_requests_is_answered_in_order(converse, seed):
    """Guards against races between reading, running and writing: bytes arrive
    in any pieces and answers are ready in any order."""
    rng = random.Random(seed)
    drawn = list(_draw_requests(rng))

    async def send_pieces(caller):
        left = ''.join(raw for _, raw in drawn).encode()
        while left:
            size = rng.choice((1, 30, 300, 100_000))
            caller.send(left[:size])
            left = left[size:]
            await caller.writer.drain()
            await asyncio.sleep(0)

    async def session(caller):
        targets = [target for target, _ in drawn]
        sending = asyncio.ensure_future(send_pieces(caller))
        receiving = asyncio.ensure_future(_read_all(caller, len(targets)))
        for target in rng.sample(targets, len(targets)):
            caller.desk.release(target)
            await asyncio.sleep(rng.choice((0, 0.001)))
        await sending
        return targets, await receiving, caller.desk.started

    targets, answers, started = converse(session)
    assert [body for _, _, body in answers] == targets
    assert started == targets


async def _read_all(caller, count):
    return [await caller.read_answer() for _ in range(count)]
