"""Tests of the operator listener built from settings."""

import asyncio
import contextlib
import pathlib
import random

import pytest
from structlog.testing import capture_logs
from tornado.testing import bind_unused_port

from nutmegshore.clock import SystemClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import NutmegshoreError, SettingsError
from nutmegshore.operators import make_token
from nutmegshore.operators.assembly import make_operator_side
from nutmegshore.operators.http_client import HttpOperatorClient, Server
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.settings import parse_settings, write_example

_FILES = pathlib.Path(__file__).parent / 'tls'
_TLS = """
certificate = {0}/server.pem
key = {0}/server.key
client_ca = {0}/ca.pem
"""


def _settings(port, operators, tls=''):
    text = write_example('vestfold')
    text = text.replace('port = 8081', f'port = {port}')
    text = text.replace('\nunauthenticated = yes', f'\n{operators}')
    return parse_settings(text.replace('[tls]', f'[tls]{tls}'))


def _free_port():
    sock, port = bind_unused_port()
    sock.close()
    return port


@contextlib.contextmanager
def _listen(settings):
    platform = MemoryPlatform(MemoryStore(), SystemClock())
    side = make_operator_side(
        settings, platform, ConfigurationTable(), Counters()
    )
    server = side.listen()
    with contextlib.ExitStack() as stack:
        stack.callback(server.stop)
        yield side


async def _write(port, scheme='https', token='', who=''):
    """Author of an accepted write, or the kind of the error."""
    certificate = str(_FILES / f'{who}.pem') if who else ''
    key = str(_FILES / f'{who}.key') if who else ''
    server = Server(
        f'{scheme}://127.0.0.1:{port}',
        token,
        str(_FILES / 'ca.pem'),
        certificate,
        key,
    )
    with contextlib.closing(HttpOperatorClient(server)) as client:
        try:
            found = await client.write(
                'drain', 'd', {'entry': 'e'}, None, 'why'
            )
        except NutmegshoreError as error:
            return error.kind.value
        return found['author']


def test_a_client_certificate_names_the_author():
    """Guards against admitting every certificate that the CA signed."""
    token, hashed = make_token(random.Random(1))
    operators = f'tls = yes\nsubjects = ann write\ntokens = ben write {hashed}'

    async def session():
        port = _free_port()
        with _listen(_settings(port, operators, _TLS.format(_FILES))):
            return [
                await _write(port, who='ann'),
                await _write(port, who='eve'),
                await _write(port),
                await _write(port, token=token),
                await _write(port, scheme='http'),
            ]

    assert asyncio.run(session()) == [
        'ann',
        'unauthorized',
        'unauthorized',
        'ben',
        'outcome_unknown',
    ]


def test_a_reload_replaces_tokens_and_keeps_them_after_a_fault(tmp_path):
    """Guards against a removed token that stays valid, and a lockout."""
    pairs = [make_token(random.Random(seed)) for seed in (1, 2)]
    lines = [f'tls = yes\ntokens = ann write {pair[1]}' for pair in pairs]
    tls = _TLS.format(_FILES)

    async def session():
        port = _free_port()
        with _listen(_settings(port, lines[0], tls)) as side:
            found = [await _write(port, token=pairs[0][0])]
            with pytest.raises(SettingsError):
                side.reload(_settings(port, lines[1], _TLS.format(tmp_path)))
            found.append(await _write(port, token=pairs[0][0]))
            side.reload(_settings(port, lines[1], tls))
            found.append(await _write(port, token=pairs[0][0]))
            found.append(await _write(port, token=pairs[1][0]))
        return found

    assert asyncio.run(session()) == ['ann', 'ann', 'unauthorized', 'ann']


def test_a_reload_removes_a_client_ca():
    """Guards against certificates of a withdrawn CA that stay valid."""
    operators = 'tls = yes\nsubjects = ann write'
    tls = _TLS.format(_FILES)
    other = tls.replace('ca.pem', 'server.pem')

    async def session():
        port = _free_port()
        with _listen(_settings(port, operators, tls)) as side:
            before = await _write(port, who='ann')
            side.reload(_settings(port, operators, other))
            return before, await _write(port, who='ann')

    before, after = asyncio.run(session())
    assert before == 'ann'
    assert after in {'outcome_unknown', 'link_closed'}


def test_a_change_is_logged_with_who_what_and_why():
    """Guards against changes whose author is not logged."""

    async def session():
        port = _free_port()
        with _listen(_settings(port, 'unauthenticated = yes')):
            await _write(port, 'http')
            await _write(port, 'http', token='x')

    with capture_logs() as lines:
        asyncio.run(session())
    assert lines == [
        {
            'event': 'object_written',
            'log_level': 'info',
            'part': 'operators',
            'kind': 'drain',
            'name': 'd',
            'generation': 1,
            'author': 'unauthenticated',
            'reason': 'why',
        },
    ]


def test_a_missing_tls_file_is_a_fault_of_the_settings(tmp_path):
    """Guards against a traceback, and a listener without TLS."""
    settings = _settings(1, 'tls = yes', _TLS.format(tmp_path))
    with pytest.raises(SettingsError, match='server.pem'):
        make_operator_side(settings, None, ConfigurationTable(), Counters())
