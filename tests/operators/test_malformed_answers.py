"""Tests of the operators' client at an entry that answers malformed."""

import asyncio
import contextlib

import pytest

from nutmegshore.errors import ErrorKind, NutmegshoreError
from nutmegshore.operators.client import EntryUnreachable
from nutmegshore.operators.http_client import HttpOperatorClient, Server
from tests.upstreams.malformed_heads import MALFORMED
from tests.upstreams.malforming_upstream import MalformingUpstream

_JSON = b'[1,2,3,4,5,67]'
#: tornado passes over a head with status 101, takes higher minor versions, and
#: decodes chunks of HTTP/1.0: what the caller gets is the body that was sent.
_HARMLESS = frozenset(
    (
        'start: switch of protocols',
        'start: version 1.2',
        'interim: switch before an answer',
        'coding: HTTP/1.0',
    )
)
_ANSWERS = tuple(name for name in MALFORMED if name not in _HARMLESS)
_STATUSES = (b'000', b'099', b'600', b'999')


@pytest.fixture
def call():
    """Function that calls an entry; returns the failure and the entry."""

    async def run(answer, work):
        entry = MalformingUpstream(answer)
        async with entry.open():
            client = HttpOperatorClient(Server(entry.address))
            with contextlib.closing(client):
                try:
                    await work(client)
                except NutmegshoreError as failure:
                    return failure, entry
        return None, entry

    return lambda *given: asyncio.run(run(*given))


def _read(client):
    return client.iter_objects('drain')


def _write(client):
    return client.write('drain', 'd', {'entry': 'e'}, 0, '')


def _delete(client):
    return client.write('drain', 'd', None, 1, '')


@pytest.mark.parametrize('answer', _ANSWERS)
def test_an_operator_reads_no_malformed_answer(call, answer):
    """Guards against objects that the entry did not tell."""
    sent = MALFORMED[answer].replace(b'malformed body', _JSON)
    failure, entry = call(sent, _read)
    assert isinstance(failure, EntryUnreachable)
    assert len(entry.targets) == 1


@pytest.mark.parametrize('work', [_write, _delete])
@pytest.mark.parametrize('answer', _ANSWERS)
def test_a_write_with_a_malformed_answer_may_be_done(call, answer, work):
    """Guards against a write that is told as refused, or sent again."""
    sent = MALFORMED[answer].replace(b'malformed body', _JSON)
    failure, entry = call(sent, work)
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(entry.targets) == 1


@pytest.mark.parametrize('work', [_write, _delete])
@pytest.mark.parametrize('body', [b'{}', b'{"error": "forbidden"}'])
@pytest.mark.parametrize('status', _STATUSES)
def test_no_refusal_is_read_from_an_invalid_status(call, status, body, work):
    """Guards against "not run" for a write that may be stored."""
    answer = b'HTTP/1.1 %b No\r\nContent-Length: %d\r\n\r\n%b'
    failure, _ = call(answer % (status, len(body), body), work)
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    'status', [b'200 OK', b'201 Made', b'403 No', b'502 Bad Gateway']
)
@pytest.mark.parametrize('body', [b'', b'<html>', b'{"error": "for', b'[]'])
def test_a_write_whose_answer_cannot_be_read_may_be_done(call, status, body):
    """Guards against "nothing changed" for a write that may be stored, and
    against a crash on JSON of another form."""
    answer = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b'
    failure, _ = call(answer % (status, len(body), body), _write)
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


def test_a_write_with_a_sound_refusal_was_not_run(call):
    """Guards against a doubt that every refusal leaves."""
    body = b'{"error": "forbidden"}'
    answer = b'HTTP/1.1 403 No\r\nContent-Length: %d\r\n\r\n%b'
    failure, _ = call(answer % (len(body), body), _write)
    assert failure.kind is ErrorKind.FORBIDDEN


def test_a_read_with_a_list_and_another_status_has_no_answer(call):
    """Guards against a crash on JSON of another form."""
    answer = b'HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\n[]'
    failure, _ = call(answer, _read)
    assert isinstance(failure, EntryUnreachable)
