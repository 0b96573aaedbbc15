"""Tests of a demonstration's caller whose answers are malformed."""

import asyncio

import pytest

from nutmegshore.demo.http_request import send_request
from tests.upstreams.malformed_heads import (
    MALFORMED,
    SOUND,
    UNFINISHED,
    make_head,
)
from tests.upstreams.malforming_upstream import MalformingUpstream

_HEAD = 'GET / HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n'
_LIMIT_S = 5
#: A fold comes to a gateway joined to the line before it.
_JOINED_BY_LIBCURL = frozenset(('fold',))


@pytest.fixture
def ask():
    """Function that sends a request to an upstream with one answer."""

    async def run(answer):
        async with MalformingUpstream(answer).open() as upstream:
            return await send_request(upstream.address, _HEAD, b'', _LIMIT_S)

    return lambda answer: asyncio.run(run(answer))


@pytest.mark.parametrize('answer', MALFORMED)
def test_a_malformed_answer_is_not_whole(ask, answer):
    """Guards against a run that counts a malformed answer as served, or that
    ends with it."""
    came = ask(MALFORMED[answer])
    assert not came.is_whole
    if answer not in UNFINISHED:
        assert (came.status, came.body) == (0, b'')
        assert came.failure.startswith('malformed ')


@pytest.mark.parametrize('own_lines', sorted(SOUND.keys() - _JOINED_BY_LIBCURL))
def test_a_sound_answer_is_whole(ask, own_lines):
    """Guards against a run that counts what the grammar allows as cut."""
    came = ask(b'%bok' % make_head(SOUND[own_lines]))
    assert came.is_whole
    assert (came.status, came.body) == (200, b'ok')


def test_an_answer_after_an_interim_head_is_whole(ask):
    """Guards against an interim head that is taken as the answer."""
    answer = b'%bok' % make_head(SOUND['length'])
    came = ask(b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\n%b' % answer)
    assert came.is_whole
    assert came.status == 200


def test_chunks_are_joined(ask):
    """Guards against a part of a chunked body that is taken as the whole."""
    head = make_head(b'Transfer-Encoding: chunked\r\n')
    came = ask(b'%b1\r\no\r\n1;a\r\nk\r\n0\r\nX-Sum: 1\r\n\r\n' % head)
    assert came.is_whole
    assert came.body == b'ok'


def test_a_fold_is_malformed(ask):
    """Guards against a caller that reads a fold as another line."""
    assert ask(b'%bok' % make_head(SOUND['fold'])).failure
