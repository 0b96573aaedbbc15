"""Tests of the callers' listener over raw sockets."""

import asyncio

import pytest

from nutmegshore.callers import OpenGate
from nutmegshore.errors import ErrorKind
from nutmegshore.steering import Permit
from nutmegshore.upstreams import AnswerHead

_GET = b'GET /orders/1 HTTP/1.1\r\nHost: a\r\n'
_POST = b'POST /orders HTTP/1.1\r\nHost: a\r\n'
_LENGTH = b'Content-Length: 1\r\n'
_CLOSE = b'Connection: close\r\n\r\n'
_CHUNKED_HEAD = AnswerHead(200, (('Transfer-Encoding', 'chunked'),))


def _raw(*parts):
    return b''.join(parts)


@pytest.mark.parametrize(
    ('sent', 'kind'),
    [
        (_raw(_GET, b'A' * 3_000), ErrorKind.HEADER_TOO_LARGE),
        (
            _raw(_GET, b'A: ', b'1' * 3_000, b'\r\n\r\n'),
            ErrorKind.HEADER_TOO_LARGE,
        ),
        (
            _raw(_POST, _LENGTH, b'Transfer-Encoding: chunked\r\n\r\n'),
            ErrorKind.AMBIGUOUS_LENGTH,
        ),
        (
            _raw(_POST, _LENGTH, b'Content-Length: 2\r\n\r\nab'),
            ErrorKind.AMBIGUOUS_LENGTH,
        ),
        (
            _raw(_POST, b'Content-Length: 1x\r\n\r\na'),
            ErrorKind.MALFORMED_REQUEST,
        ),
        (_raw(_GET, b'Nutmegshore-Load: 1\r\n\r\n'), ErrorKind.INTERNAL_HEADER),
        (
            _raw(_POST, b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n'),
            ErrorKind.MALFORMED_REQUEST,
        ),
        (
            _raw(b'GET /nothing HTTP/1.1\r\nHost: a\r\n', _CLOSE),
            ErrorKind.UNKNOWN_SERVICE,
        ),
        (
            _raw(_GET, b'Nutmegshore-Deadline-Ms: 0\r\n', _CLOSE),
            ErrorKind.DEADLINE_BEFORE_SEND,
        ),
        (
            _raw(b'POST /lookup HTTP/1.1\r\nHost: a\r\n', _CLOSE),
            ErrorKind.MALFORMED_REQUEST,
        ),
    ],
)
def test_refusals_carry_kind_and_outcome(sent, kind, listen, scripted):
    """Guards against a refused request that runs or goes uncounted."""

    async def session():
        upstreams = scripted()
        async with listen(upstreams) as listener:
            answer = await listener.talk(sent)
            return answer.decode(), listener.refused(kind), upstreams.sent

    answer, count, runs = asyncio.run(session())
    assert f'Nutmegshore-Error: {kind.value}\r\n' in answer
    assert 'Nutmegshore-Outcome: not-run\r\n' in answer
    assert (count, runs) == (1, [])


@pytest.mark.parametrize(
    ('sent', 'limit'),
    [
        (_GET, {'head_s': 0.03}),
        (_raw(_POST, b'Content-Length: 9\r\n\r\nabc'), {'body_s': 0.03}),
        (
            _raw(
                _POST,
                b'Nutmegshore-Deadline-Ms: 30\r\n',
                b'Content-Length: 9\r\n\r\nabc',
            ),
            {'body_s': 600},
        ),
    ],
)
def test_slow_senders_are_refused(sent, limit, listen, scripted):
    """Guards against connections kept open by callers that never finish."""

    async def session():
        upstreams = scripted()
        async with listen(upstreams, **limit) as listener:
            answer = await listener.talk(sent)
            return answer, listener.refused(ErrorKind.SLOW_SENDER), upstreams

    answer, count, upstreams = asyncio.run(session())
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert (count, upstreams.sent) == (1, [])


def test_a_refusal_survives_an_unread_body(listen, scripted):
    """Guards against a reset that overtakes the answer to a long upload."""

    async def session():
        async with listen(scripted()) as listener:
            head = b'POST /nothing HTTP/1.1\r\nHost: a\r\n'
            length = b'Content-Length: 900000\r\n\r\n'
            return await listener.talk(head, length, b'z' * 900_000)

    assert asyncio.run(session()).startswith(b'HTTP/1.1 404 ')


def test_a_body_that_stops_late_has_an_unknown_outcome(listen, scripted):
    """Guards against "not run" after a part of the body was forwarded."""

    async def session():
        async with listen(scripted(), body_s=0.1) as listener:
            head = _raw(_POST, b'Content-Length: 200000\r\n\r\n')
            return await listener.talk(head, b'z' * 150_000)

    answer = asyncio.run(session())
    assert b'Nutmegshore-Error: caller_stalled\r\n' in answer
    assert b'Nutmegshore-Outcome: unknown\r\n' in answer


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize(
    'head', [_CHUNKED_HEAD, AnswerHead(200, (('Content-Length', '9'),))]
)
def test_a_cut_answer_resets_the_connection(
    version, head, listen, scripted, step
):
    """Guards against a truncated answer that looks complete."""

    async def session():
        cut = step(ErrorKind.UPSTREAM_LOST, head, (b'half',))
        async with listen(scripted(cut)) as listener:
            with pytest.raises(ConnectionResetError):
                await listener.talk(_GET.replace(b'1.1', version), b'\r\n')
            return listener.counters.total('answers_aborted')

    assert asyncio.run(session()) == 1


@pytest.mark.parametrize(
    ('sent', 'head', 'expected'),
    [
        (_GET, _CHUNKED_HEAD, b'\r\n\r\n2\r\nok\r\n0\r\n\r\n'),
        (_GET.replace(b'1.1', b'1.0'), _CHUNKED_HEAD, b'\r\n\r\nok'),
        (_GET, AnswerHead(200, (('Content-Length', '2'),)), b'\r\n\r\nok'),
        (_GET.replace(b'GET', b'HEAD'), _CHUNKED_HEAD, b'close\r\n\r\n'),
        (_GET, AnswerHead(204, ()), b'close\r\n\r\n'),
        (_GET, AnswerHead(304, (('Content-Length', '2'),)), b'\r\n\r\n'),
    ],
)
def test_each_answer_is_framed(sent, head, expected, listen, scripted, step):
    """Guards against a body where none is allowed, or one without an end."""

    async def session():
        async with listen(scripted(step(None, head))) as listener:
            return await listener.talk(sent, _CLOSE)

    answer = asyncio.run(session())
    assert answer.endswith(expected)
    assert b'Nutmegshore-Outcome: upstream\r\n' in answer


@pytest.mark.expects_faults
@pytest.mark.parametrize('part', ['gate', 'permit'])
def test_a_fault_at_the_end_of_an_attempt_costs_no_answer(
    part, listen, scripted, monkeypatch
):
    """Guards against a reset of an answer that had come whole, and against a
    slot that stays taken, after a fault in what is recorded about it."""
    owner = {'gate': OpenGate, 'permit': Permit}[part]
    method = {'gate': 'finished', 'permit': 'release'}[part]
    released = []
    release = Permit.release

    def record_release(permit, failure):
        released.append(permit.name)
        release(permit, failure)

    def fail(*given):
        raise ZeroDivisionError('of a test')

    monkeypatch.setattr(Permit, 'release', record_release)
    monkeypatch.setattr(owner, method, fail)

    async def session():
        async with listen(scripted()) as listener:
            return await listener.talk(_GET, _CLOSE)

    assert asyncio.run(session()).endswith(b'\r\n\r\nok')
    assert released or part == 'permit'


def test_pipelined_requests_are_answered_in_order(listen, scripted):
    """Guards against an answer to another request of the connection."""

    async def session():
        upstreams = scripted()
        async with listen(upstreams) as listener:
            first = _raw(_POST, b'Transfer-Encoding: chunked\r\n\r\n')
            rest = b'2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n'
            answer = await listener.talk(_raw(first, rest, _GET, _CLOSE))
        return answer.count(b'HTTP/1.1 200'), upstreams.bodies

    assert asyncio.run(session()) == (2, [b'abc', b''])


def test_a_caller_that_expects_continue_receives_it(listen, scripted):
    """Guards against both sides waiting for the other."""

    async def session():
        async with listen(scripted()) as listener:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', listener.port
            )
            expect = b'Expect: 100-continue\r\nContent-Length: 2\r\n'
            writer.write(_raw(_POST, expect, _CLOSE))
            interim = await reader.readuntil(b'\r\n\r\n')
            writer.write(b'hi')
            answer = await reader.read()
            writer.close()
            return interim, answer

    interim, answer = asyncio.run(session())
    assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert answer.endswith(b'ok')


def test_a_caller_that_leaves_cancels_the_work(listen, scripted):
    """Guards against upstream work for an answer that nobody reads."""

    async def session():
        upstreams = scripted()
        upstreams.gate.clear()
        async with listen(upstreams) as listener:
            _, writer = await asyncio.open_connection(
                '127.0.0.1', listener.port
            )
            writer.write(_raw(_GET, b'\r\n'))
            while not upstreams.bodies:
                await asyncio.sleep(0)
            writer.close()
            await upstreams.cancelled.wait()
            await listener.forwarder.drain()
            return listener.forwarder.in_flight

    assert asyncio.run(session()) == 0


def test_a_caller_that_does_not_read_slows_the_answer(listen, scripted, step):
    """Guards against an answer that the entry buffers without bound."""

    async def session():
        read_numbers = []
        chunks = _recorded_chunks(b'x' * 65_536, 1_000, read_numbers)
        upstreams = scripted(step(None, _CHUNKED_HEAD, chunks))
        async with listen(upstreams) as listener:
            _, writer = await asyncio.open_connection(
                '127.0.0.1', listener.port, limit=1_000
            )
            writer.write(_raw(_GET, b'\r\n'))
            while not read_numbers:
                await asyncio.sleep(0)
            for _ in range(3_000):
                await asyncio.sleep(0)
            writer.close()
            return len(read_numbers)

    assert asyncio.run(session()) < 500


def _recorded_chunks(chunk, count, read_numbers):
    for number in range(count):
        read_numbers.append(number)
        yield chunk


def test_lookup_answers_set_a_cache_lifetime(listen, scripted):
    """Guards against callers that cache an entry for too long."""

    async def session():
        async with listen(scripted()) as listener:
            path = b'GET /lookup?service=orders HTTP/1.1\r\nHost: a\r\n'
            return await listener.talk(path, _CLOSE)

    answer = asyncio.run(session())
    assert b'Cache-Control: max-age=5\r\n' in answer
    assert b'"name": "e1"' in answer
