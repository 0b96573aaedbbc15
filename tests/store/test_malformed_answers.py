"""Tests of both clients of a store whose answers are malformed."""

import asyncio
import contextlib

import pytest

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import HttpPlatform
from tests.upstreams.malformed_heads import MALFORMED, UNFINISHED
from tests.upstreams.malforming_upstream import MalformingUpstream

_KEY = 'servers/i-1'
#: A key whose call gets an answer with a sound head.
_SOUND_KEY = 'servers/sound'
#: One of each fault; gateways are tested with all.
_ANSWERS = tuple(
    name
    for name in MALFORMED
    if not name.startswith(('last line: ', 'line of chunks: '))
)
_REFUSED = tuple(name for name in _ANSWERS if name not in UNFINISHED)


def _make_store(address):
    return PlatformStore(address)


def _make_platform(address):
    return HttpPlatform(f'http://{address}')


@pytest.fixture(params=[_make_store, _make_platform])
def call(request):
    """Function that calls a store that answers malformed; returns what the
    client raised and told, and the store."""

    async def talk(client, store, work, is_kept):
        if is_kept:
            with contextlib.suppress(PlatformError):
                await client.read(_SOUND_KEY)
        store.targets.clear()
        try:
            await work(client)
        except (PlatformUnavailable, PlatformAnswerLost) as failure:
            return type(failure)
        return None

    async def run(answer, work, is_kept):
        told = []
        store = MalformingUpstream(answer)
        async with store.open():
            client = request.param(store.address)
            client.on_malformed = lambda *given: told.append(given)
            with contextlib.closing(client):
                raised = await talk(client, store, work, is_kept)
        return raised, told, store

    return lambda *given: asyncio.run(run(*given))


def _read(client):
    return client.read(_KEY)


def _write(client):
    return client.write(_KEY, b'{}', None, 'op')


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('answer', _ANSWERS)
def test_a_read_with_a_malformed_answer_has_none(call, answer, is_kept):
    """Guards against an object, or its absence, that the store did not tell,
    and against a second call to a store in trouble."""
    raised, _, store = call(MALFORMED[answer], _read, is_kept)
    assert raised is PlatformUnavailable
    assert len(store.targets) == 1


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('answer', _ANSWERS)
def test_a_write_with_a_malformed_answer_may_be_done(call, answer, is_kept):
    """Guards against a write that is told as not done, or sent again, after
    the store had read it."""
    raised, _, store = call(MALFORMED[answer], _write, is_kept)
    assert raised is PlatformAnswerLost
    assert len(store.targets) == 1


@pytest.mark.parametrize('work', [_read, _write])
@pytest.mark.parametrize('answer', _REFUSED)
def test_a_store_client_tells_why_an_answer_was_refused(call, answer, work):
    """Guards against a store in trouble that nothing tells of."""
    _, told, store = call(MALFORMED[answer], work, False)
    assert [target.encode() for target, _ in told] == store.targets


@pytest.mark.parametrize(
    'status', [b'404 Not Found', b'412 Failed', b'503 Busy', b'400 Bad']
)
def test_a_malformed_refusal_of_a_write_promises_nothing(call, status):
    """Guards against a write that is told as not done because of an answer
    that is none."""
    answer = b'HTTP/1.1 %b\r\nNot-Applied: 1\r\nA B: x\r\n\r\n' % status
    raised, _, _ = call(answer, _write, False)
    assert raised is PlatformAnswerLost
