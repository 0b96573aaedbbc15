"""Tests of an entry whose upstreams answer with malformed heads."""

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from nutmegshore.clock import SystemClock
from nutmegshore.entry import EntryDaemon
from nutmegshore.settings import parse_settings
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.store.standin import make_standin
from nutmegshore.upstreams import AnswerFault, MalformedAnswer
from tests.entry.whole_entry import SETTINGS, call, free_port, until_ready
from tests.upstreams.malforming_upstream import SOUND_TARGET, MalformingUpstream

#: Requests that allow for retries of later ones.
_WARMUP = 40
_REPORTS = b'Nutmegshore-Load: 1\r\nNutmegshore-Leaving: 1\r\n'
_SOUND = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
#: Answers by the fault that is told of them.
_ANSWERS = (
    ('status_line', b'HTTP/3.1 200 OK\r\n%b\r\nmalformed'),
    ('unreadable', b'HTTP/1.1 20 OK\r\n%b\r\nmalformed'),
    ('field_line', b'HTTP/1.1 200 OK\r\n%bContent-Length : 9\r\n\r\nmalformed'),
    ('field_line', b'HTTP/1.1 200 OK\r\n%bA\x01: x\r\n\r\nmalformed'),
    (
        'length',
        b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n'
        b'Content-Length: 9\r\n\r\nmalformed',
    ),
    ('coding', b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: x\r\n\r\nmalformed'),
    (
        'chunk',
        b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n'
        b'9z\r\nmalformed\r\n0\r\n\r\n',
    ),
)


@pytest.fixture
def ask():
    """Function that sends requests to a service through a whole entry.

    The first `_WARMUP` get sound answers. It returns the answer to the one that
    follows, and the entry's counters.
    """

    async def declare(url, peers, is_idempotent):
        place = {'region': 'west', 'availability_zone': 'west-a'}
        await call(
            'PUT', f'{url}/region/west', {'availability_zones': ['west-a']}
        )
        spec = {'idempotent': is_idempotent}
        await call('PUT', f'{url}/service/tallies', spec)
        for number, peer in enumerate(peers):
            own = {'service': 'tallies', 'address': peer.address, 'slots': 3}
            await call('PUT', f'{url}/upstream/t{number}', {**place, **own})

    async def run(peers, method='GET', *, is_idempotent=False):
        listening, platform = bind_unused_port()
        server = HTTPServer(make_standin(MemoryStore()))
        server.add_socket(listening)
        ports = {
            'callers': free_port(),
            'operators': free_port(),
            'platform': platform,
        }
        daemon = EntryDaemon(parse_settings(SETTINGS.format(**ports)))
        await daemon.start()
        operators = f'http://127.0.0.1:{ports["operators"]}'
        callers = f'http://127.0.0.1:{ports["callers"]}'
        await until_ready(f'{operators}/ready')
        await declare(f'{operators}/objects', peers, is_idempotent)
        for _ in range(_WARMUP):
            await call('GET', f'{callers}/tallies/sound')
        spec = None if method == 'GET' else {}
        answer = await call(method, f'{callers}/tallies/x', spec)
        await daemon.stop()
        server.stop()
        await server.close_all_connections()
        return answer, daemon.counters

    return run


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(('fault', 'answer'), _ANSWERS)
def test_an_entry_passes_on_no_malformed_answer(ask, fault, answer, method):
    """Guards against MIXED at entries, against a second run of an unsafe
    request, and against a refusal that nothing explains."""

    async def session():
        malforming = MalformingUpstream(answer % _REPORTS)
        async with malforming.open():
            received, counters = await ask([malforming], method)
            return received, counters, malforming

    received, counters, malforming = asyncio.run(session())
    assert received.code == 502
    assert b'malformed' not in received.body
    assert malforming.targets.count(b'/tallies/x') == 1
    assert counters.total('malformed_answers', fault=fault) == 1


class OnceMalforming(MalformingUpstream):
    """Answers malformed unless it or another with the same `asked` has.

    `asked` collects who was asked, but for requests of the warm-up.
    """

    def __init__(self, answer, asked):
        super().__init__(answer)
        self._asked = asked

    def _answer(self, writer, head):
        if not head.split()[1].endswith(SOUND_TARGET):
            self.answer = _SOUND if self._asked else self.answer
            self._asked.append(self)
        return super()._answer(writer, head)


@pytest.mark.parametrize(('fault', 'answer'), _ANSWERS)
def test_an_entry_sends_an_idempotent_request_elsewhere(ask, fault, answer):
    """Guards against a refusal that a retry avoids."""
    asked = []

    async def session():
        peers = [OnceMalforming(answer % _REPORTS, asked) for _ in range(2)]
        async with peers[0].open(), peers[1].open():
            return await ask(peers, is_idempotent=True)

    received, counters = asyncio.run(session())
    assert received.body == b'ok'
    assert counters.total('malformed_answers', fault=fault) == 1
    assert len(set(asked)) == 2
    assert len(asked) == 2


def test_an_entry_tells_of_malformed_answers_of_its_platform():
    """Guards against a platform in trouble that nothing tells of."""

    async def session():
        platform = MemoryPlatform(MemoryStore(), SystemClock())
        ports = {'callers': 1, 'operators': 1, 'platform': 1}
        daemon = EntryDaemon(parse_settings(SETTINGS.format(**ports)), platform)
        platform.report_malformed('/x', MalformedAnswer(AnswerFault.LENGTH))
        return daemon.counters

    counters = asyncio.run(session())
    assert counters.total('malformed_store_answers', fault='length') == 1
