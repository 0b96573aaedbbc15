"""Tests of the operators' HTTP client against the real listener."""

import asyncio
import contextlib

import pytest
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from nutmegshore.errors import ErrorKind, NutmegshoreError
from nutmegshore.operators.client import EntryUnreachable, OperatorError
from nutmegshore.operators.http_client import HttpOperatorClient, Server


def _open(url, token=''):
    return contextlib.closing(HttpOperatorClient(Server(url, token)))


def test_every_call_crosses_the_wire(listen):
    """Guards against a client and a listener with different formats."""

    async def session():
        listener = listen()
        with _open(listener.url, listener.tokens['ann']) as client:
            spec = {'region': 'west'}
            made = await client.write('drain', 'd', spec, 0, 'a & b')
            assert made == await client.get('drain', 'd')
            assert await client.iter_objects('drain') == [made]
            assert await client.iter_objects('') == [made]
            wish = {'kind': 'drain', 'name': 'd', 'spec': None}
            found = await client.dry_run([wish])
            assert found['previews'][0]['change'] == 'delete'
            assert (await client.watch(''))['envelopes'] == [made]
            assert await client.explain('', '') == []
            assert await client.read_statuses('', '') == []
            gone = await client.write('drain', 'd', None, 1, '')
        return made, gone

    made, gone = asyncio.run(session())
    assert (made['reason'], made['author']) == ('a & b', 'ann')
    assert (gone['is_deleted'], gone['generation']) == (True, 2)


def test_errors_keep_their_kind(listen):
    """Guards against refusals that cannot be told apart."""

    async def session():
        listener = listen()
        kinds = []
        for token, name in (('', 'd'), ('board', 'd'), ('ann', 'a b')):
            secret = listener.tokens.get(token, '')
            with _open(listener.url, secret) as client:
                with pytest.raises(OperatorError) as caught:
                    await client.write('drain', name, {'entry': 'e'}, 0, '')
                kinds.append(caught.value.kind.value)
        return kinds

    found = asyncio.run(session())
    assert found == ['unauthorized', 'forbidden', 'invalid_object']


@pytest.mark.expects_faults
def test_a_fault_of_the_entry_is_no_malformed_request(listen, monkeypatch):
    """Guards against an operator who looks for the fault in the command, and
    against "nothing changed" for a write that may be stored."""

    def fail(declaration):
        raise ArithmeticError('of a test')

    async def session():
        listener = listen()
        monkeypatch.setattr(listener.side.api, 'declare', fail)
        with _open(listener.url, listener.tokens['ann']) as client:
            with pytest.raises(OperatorError) as caught:
                await client.write('drain', 'd', {'entry': 'e'}, 0, '')
        return caught.value

    error = asyncio.run(session())
    assert error.kind == ErrorKind.OUTCOME_UNKNOWN
    assert error.fields['error'] == 'internal'


class _Closing(TCPServer):
    """Reads a request and closes the connection without an answer."""

    async def handle_stream(self, stream, address):
        await stream.read_until(b'\r\n\r\n')
        stream.close()


def test_a_write_without_an_answer_is_unknown():
    """Guards against "nothing changed" for a write that may be stored."""

    async def session():
        sock, port = bind_unused_port()
        server = _Closing()
        server.add_socket(sock)
        with _open(f'http://127.0.0.1:{port}') as client:
            with pytest.raises(NutmegshoreError) as caught:
                await client.write('drain', 'd', None, 1, '')
            with pytest.raises(EntryUnreachable):
                await client.get('drain', 'd')
            server.stop()
            with pytest.raises(EntryUnreachable):
                await client.write('drain', 'd', None, 1, '')
        return caught.value.kind

    assert asyncio.run(session()) == ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ('given', 'used'),
    [
        ('10.0.0.1:8081', 'http://10.0.0.1:8081'),
        ('https://10.0.0.1:8081', 'https://10.0.0.1:8081'),
    ],
)
def test_an_address_without_a_scheme_is_plain_http(given, used):
    """Guards against the error "unsupported url scheme" for IP:port."""
    assert Server(given).url == used
