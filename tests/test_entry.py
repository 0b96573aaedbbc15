"""End-to-end tests of an entry over real sockets."""

import asyncio
import json
import pathlib

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from nutmegshore.entry import EntryDaemon
from nutmegshore.errors import SettingsError
from nutmegshore.store import MemoryStore
from nutmegshore.store.standin import make_standin
from nutmegshore.settings import parse_settings
from tests.entry.whole_entry import SETTINGS, call, free_port, until_ready

_TLS = pathlib.Path(__file__).parent / 'operators' / 'tls'


class _Named(RequestHandler):
    def initialize(self, name):
        self.name = name

    def get(self):
        self.finish(self.name)


def _listen(application):
    sock, port = bind_unused_port()
    server = HTTPServer(application)
    server.add_socket(sock)
    return port


async def _call(method, url, spec=None):
    return (await call(method, url, spec)).body.decode()


async def _session():
    ports = {
        'callers': free_port(),
        'operators': free_port(),
        'platform': _listen(make_standin(MemoryStore())),
    }
    daemon = EntryDaemon(parse_settings(SETTINGS.format(**ports)))
    await daemon.start()
    operators = 'http://127.0.0.1:{operators}/objects'.format(**ports)
    callers = 'http://127.0.0.1:{callers}'.format(**ports)
    place = {'region': 'west', 'availability_zone': 'west-a'}
    await until_ready('http://127.0.0.1:{operators}/ready'.format(**ports))
    await _call(
        'PUT', f'{operators}/region/west', {'availability_zones': ['west-a']}
    )
    await _call('PUT', f'{operators}/service/tallies', {'idempotent': True})
    for name in ('t1', 't2'):
        port = _listen(Application([('.*', _Named, {'name': name})]))
        spec = {
            **place,
            'service': 'tallies',
            'address': f'127.0.0.1:{port}',
            'slots': 3,
        }
        await _call('PUT', f'{operators}/upstream/{name}', spec)
    entry = {
        **place,
        'caller_address': '127.0.0.1:{callers}'.format(**ports),
    }
    await _call('PUT', f'{operators}/entry/e1', entry)
    found = json.loads(await _call('GET', f'{callers}/lookup'))
    url = 'http://{0}/tallies/x'.format(found['entries'][0]['address'])
    before = {await _call('GET', url) for _ in range(20)}
    await _call('PUT', f'{operators}/drain/d', {'upstream': 't1'})
    after = {await _call('GET', url) for _ in range(20)}
    await daemon.stop()
    return before, after


def test_a_declared_drain_moves_requests_away():
    """Guards against a declared drain that has no effect end to end."""
    before, after = asyncio.run(_session())
    assert before == {'t1', 't2'}
    assert after == {'t2'}


async def _start_on_taken_port():
    taken, port = bind_unused_port()
    ports = {
        'callers': port,
        'operators': free_port(),
        'platform': _listen(make_standin(MemoryStore())),
    }
    daemon = EntryDaemon(parse_settings(SETTINGS.format(**ports)))
    with pytest.raises(OSError, match='in use'):
        await daemon.start()
    await daemon.stop()
    taken.close()
    return asyncio.all_tasks() - {asyncio.current_task()}


def test_a_start_on_a_taken_port_can_be_stopped():
    """Guards against a failed start that leaves tasks running."""
    pending = asyncio.run(_start_on_taken_port())
    own = [task for task in pending if 'nutmegshore' in repr(task)]
    assert own == []


async def _write_before_ready():
    store = MemoryStore()
    store.faults.is_down = True
    ports = {
        'callers': free_port(),
        'operators': free_port(),
        'platform': _listen(make_standin(store)),
    }
    daemon = EntryDaemon(parse_settings(SETTINGS.format(**ports)))
    await daemon.start()
    url = 'http://127.0.0.1:{operators}/objects/drain/d'.format(**ports)
    answer = await _call('PUT', url, {'region': 'west'})
    await daemon.stop()
    return json.loads(answer)['error']


def test_a_write_before_the_entry_is_ready_is_refused():
    """Guards against a generation derived from an outdated table."""
    assert asyncio.run(_write_before_ready()) == 'not_ready'


async def _look_up_over_tls():
    ports = {
        'callers': free_port(),
        'operators': free_port(),
        'platform': _listen(make_standin(MemoryStore())),
    }
    text = SETTINGS.format(**ports)
    files = f'certificate={_TLS}/server.pem\nkey={_TLS}/server.key'
    text = text.replace('[callers]', '[callers]\ntls = yes')
    daemon = EntryDaemon(parse_settings(f'{text}\n[tls]\n{files}'))
    await daemon.start()
    await until_ready('http://127.0.0.1:{operators}/ready'.format(**ports))
    url = 'https://127.0.0.1:{callers}/lookup'.format(**ports)
    request = HTTPRequest(url, ca_certs=f'{_TLS}/ca.pem')
    response = await AsyncHTTPClient().fetch(request)
    plain = url.replace('https', 'http')
    with pytest.raises(OSError, match='reset|closed'):
        await AsyncHTTPClient().fetch(plain)
    await daemon.stop()
    return response.code


def test_callers_can_be_served_over_tls():
    """Guards against callers' credentials sent in clear text."""
    assert asyncio.run(_look_up_over_tls()) == 200


@pytest.mark.parametrize('key', ['[callers]\nprot = 1', '[callerz]\nport=1'])
def test_a_misspelled_setting_names_the_nearest(key):
    """Guards against an unknown key that is silently ignored."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(key)
    assert 'nearest is' in str(caught.value)
