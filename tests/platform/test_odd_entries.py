"""Tests of following a list in which another writer left an odd entry.

The entries are raw bytes in the answers of a store on a loopback socket, read
by the real client, follower and replica.
"""

import asyncio
import contextlib
import json
import random
from types import MappingProxyType

import attrs
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.follower import FollowerContext, KindFollower
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.replicas import ReplicaContext, UpstreamReplica
from nutmegshore.gateway.state import FleetState
from nutmegshore.platform.registration import UPSTREAM_PREFIX
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store.calls import CallTimes

_ZONES = MappingProxyType({'west-a': 'west'})
_ODD = 'i-odd'
_FIRST = 10
_DEEP = 100_000
_DEADLINE_S = 4
_POLL_S = 0.02


def _nested(opening, closing, levels=_DEEP):
    return ''.join((opening * levels, '1', closing * levels))


_ARRAYS = _nested('[', ']')
_SHALLOW = _nested('[', ']', 400)
_TABLES = _nested('{"a":', '}')


def _quote(*texts):
    return json.dumps(''.join(texts))


_MANY = '9' * 5000
_LONG = 'n' * 100_000


@attrs.define
class _Entry:
    """The parts of an entry as JSON texts."""

    metadata: dict = attrs.field(factory=dict)
    spec: dict = attrs.field(factory=dict)
    info: dict = attrs.field(factory=dict)
    status: dict = attrs.field(factory=dict)
    whole: str | None = None
    after: str = ''


def _write_table(texts):
    fields = [f'"{name}":{text}' for name, text in texts.items() if text]
    joined = ','.join(fields)
    return f'{{{joined}}}'


def _write_entry(name, revision, entry):
    """Return the JSON text of an entry; parts of `entry` replace its own."""
    if entry.whole is not None:
        return entry.whole
    info = {'Service': '"orders"', 'Zone': '"west-a"', 'Slots': '3'}
    status = {'State': '"ready"', 'Sequence': '1', 'ColdLeftS': '0'}
    spec = {
        'Addr': '"10.0.0.9:80"',
        'born': '1700000000000',
        'Info': _write_table(info | entry.info),
        'Status': _write_table(status | entry.status),
    }
    metadata = {
        'Name': json.dumps(name),
        'Revision': str(revision),
        'CreatedAt': '7',
        'Finalizers': '[]',
        'Deleting': 'false',
    }
    text = _write_table(
        {
            'Metadata': _write_table(metadata | entry.metadata),
            'Spec': _write_table(spec | entry.spec),
            'Status': 'null',
        },
    )
    return ''.join((text[:-1], entry.after, '}'))


#: Entries that name no upstream, by what is odd about them.
_ODD_ENTRIES = MappingProxyType(
    {
        'arrays in Spec': _Entry(spec={'x': _ARRAYS}),
        'tables in Spec': _Entry(spec={'x': _TABLES}),
        'tables in Status': _Entry(status={'x': _TABLES}),
        'arrays beside Spec': _Entry(after=f',"x":{_ARRAYS}'),
        'arrays in Metadata': _Entry(metadata={'x': _ARRAYS}),
        'arrays as Name': _Entry(metadata={'Name': _ARRAYS}),
        'nesting that parsers still read': _Entry(spec={'x': _SHALLOW}),
        'Slots of 400 digits': _Entry(info={'Slots': '9' * 400}),
        'Slots of 5000 digits': _Entry(info={'Slots': _MANY}),
        'born of 400 digits': _Entry(spec={'born': '9' * 400}),
        'born of 5000 digits': _Entry(spec={'born': _MANY}),
        'Sequence of 5000 digits': _Entry(status={'Sequence': _MANY}),
        'ColdLeftS of 400 digits': _Entry(status={'ColdLeftS': '9' * 400}),
        'ColdLeftS of 1e400': _Entry(status={'ColdLeftS': '1e400'}),
        'ColdLeftS of 1e30': _Entry(status={'ColdLeftS': '1e30'}),
        'ColdLeftS NaN': _Entry(status={'ColdLeftS': 'NaN'}),
        'ColdLeftS Infinity': _Entry(status={'ColdLeftS': 'Infinity'}),
        'ColdLeftS negative': _Entry(status={'ColdLeftS': '-1'}),
        'ColdLeftS a boolean': _Entry(status={'ColdLeftS': 'true'}),
        'Slots of 0': _Entry(info={'Slots': '0'}),
        'Slots of 1e9': _Entry(info={'Slots': '1e9'}),
        'Slots a boolean': _Entry(info={'Slots': 'true'}),
        'Slots negative': _Entry(info={'Slots': '-3'}),
        'Slots a fraction': _Entry(info={'Slots': '1.5'}),
        'born a boolean': _Entry(spec={'born': 'true'}),
        'born negative': _Entry(spec={'born': '-1'}),
        'port -1': _Entry(spec={'Addr': '"10.0.0.9:-1"'}),
        'port 0': _Entry(spec={'Addr': '"10.0.0.9:0"'}),
        'port 65536': _Entry(spec={'Addr': '"10.0.0.9:65536"'}),
        'port of 5000 digits': _Entry(
            spec={'Addr': _quote('10.0.0.9:', _MANY)}
        ),
        'port in other digits': _Entry(spec={'Addr': '"10.0.0.9:٣"'}),
        'port with a sign': _Entry(spec={'Addr': '"10.0.0.9:+80"'}),
        'port with leading zeros': _Entry(spec={'Addr': '"10.0.0.9:0080"'}),
        'port after a blank': _Entry(spec={'Addr': '"10.0.0.9: 80"'}),
        'port before a line end': _Entry(spec={'Addr': r'"10.0.0.9:80\n"'}),
        'no port': _Entry(spec={'Addr': '"10.0.0.9"'}),
        'address of IPv6': _Entry(spec={'Addr': '"::1:80"'}),
        'address with a zone id': _Entry(spec={'Addr': '"fe80::1%lo:80"'}),
        'address 0.0.0.0': _Entry(spec={'Addr': '"0.0.0.0:80"'}),
        'address empty': _Entry(spec={'Addr': '""'}),
        'address a number': _Entry(spec={'Addr': '7'}),
        'Name empty': _Entry(metadata={'Name': '""'}),
        'Name with a slash': _Entry(metadata={'Name': '"a/b"'}),
        'Name with a control character': _Entry(metadata={'Name': r'"a\nb"'}),
        'Name of 100 KB': _Entry(metadata={'Name': _quote(_LONG)}),
        'Name a number': _Entry(metadata={'Name': '7'}),
        'Name a lone surrogate': _Entry(metadata={'Name': r'"\ud800"'}),
        'Metadata missing': _Entry(whole='{"Spec":{},"Status":null}'),
        'Metadata a text': _Entry(whole='{"Metadata":"x","Spec":{}}'),
        'Revision missing': _Entry(metadata={'Revision': ''}),
        'Revision a text': _Entry(metadata={'Revision': '"x"'}),
        'Revision of 5000 digits': _Entry(metadata={'Revision': _MANY}),
        'Revision of 30 digits': _Entry(metadata={'Revision': '9' * 30}),
        'Revision of 1e400': _Entry(metadata={'Revision': '1e400'}),
        'Revision negative': _Entry(metadata={'Revision': '-4'}),
        'CreatedAt of 5000 digits': _Entry(metadata={'CreatedAt': _MANY}),
        'CreatedAt a table': _Entry(metadata={'CreatedAt': '{}'}),
        'Service a lone surrogate': _Entry(info={'Service': r'"\ud800"'}),
        'Service with a line end': _Entry(info={'Service': r'"a\nb"'}),
        'Service of 100 KB': _Entry(info={'Service': _quote(_LONG)}),
        'a key twice': _Entry(
            spec={'Addr': '"10.0.0.9:80","Addr":"10.0.0.8:80"'}
        ),
        'Metadata twice': _Entry(
            after=',"Metadata":{"Name":"i-1","Revision":99}'
        ),
        'State a table': _Entry(status={'State': '{}'}),
        'State an array': _Entry(status={'State': '["ready"]'}),
        'Zone a table': _Entry(info={'Zone': '{}'}),
        'Zone an array': _Entry(info={'Zone': '["west-a"]'}),
        'Zone a number': _Entry(info={'Zone': '7'}),
        'Info an array': _Entry(spec={'Info': '[]'}),
        'Spec of bytes that are no UTF-8': _Entry(
            spec={'Addr': '"\udcff\udcfe"'}
        ),
        'Spec that is no JSON': _Entry(spec={'x': 'yes and no'}),
        'Spec with a raw control character': _Entry(spec={'Addr': '"\x01"'}),
        'a text': _Entry(whole='"x"'),
        'a number': _Entry(whole='7'),
        'null': _Entry(whole='null'),
        'an array': _Entry(whole='[[]]'),
        'nothing but nesting': _Entry(whole=_ARRAYS),
    }
)
#: Odd entries whose name is legible, so that they concern one upstream.
_NAMED = tuple(
    name
    for name, entry in _ODD_ENTRIES.items()
    if entry.whole is None
    and 'Name' not in entry.metadata
    and not entry.after.startswith(',"Metadata"')
)


class _RawStore:
    """Entries as JSON texts; a watch delivers what `change` adds."""

    def __init__(self):
        self.revision = _FIRST
        self.listed = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, name, entry=None):
        """Write an entry; `name` is that of the good ones' sequence."""
        self.revision += 1
        text = _write_entry(name, self.revision, entry or _Entry())
        self.listed[name] = text
        event = f'{{"Object":{text},"Deleted":false}}'
        self.events.append((self.revision, event))
        self.changed.set()

    def listing(self):
        """Return the bytes of the only page of a listing."""
        return self._write('"HasMore":false,"items"', self.listed.values())

    async def watch(self, after):
        """Return the bytes of the changes after a revision."""
        while self.revision <= after:
            self.changed.clear()
            await self.changed.wait()
        events = [text for number, text in self.events if number > after]
        return self._write('"events"', events)

    def _write(self, start, texts):
        joined = ','.join(texts)
        text = f'{{"StoreRevision":{self.revision},{start}:[{joined}]}}'
        return text.encode('utf-8', 'surrogateescape')


class _Handler(RequestHandler):
    def initialize(self, store):
        self._store = store

    async def get(self):
        after = self.get_query_argument('Watch', '')
        if after:
            self.write(await self._store.watch(int(after)))
        else:
            self.write(self._store.listing())


class _Followed:
    """A store, and a replica that follows it."""

    def __init__(self, address, lines):
        self.store = _RawStore()
        clock = SystemClock()
        self.counters = Counters()
        self.client = PlatformStore(address, CallTimes(1, 1))
        log = EventLog(lines, 'g1', clock, self.counters, 1_000_000)
        self.state = FleetState(clock)
        self.state.replace_evacuated(())
        shared = ReplicaContext(self.state, log, self.counters, clock)
        self.rejected = shared.rejected
        self.client.on_unnamed = self.rejected.handle_unnamed
        replica = UpstreamReplica(shared, _ZONES, lambda _: None)
        context = FollowerContext(
            self.client, clock, random.Random(7), self.counters, log
        )
        self.follower = KindFollower(UPSTREAM_PREFIX, replica, context, 2)
        self.lines = lines
        self._task = None

    def start(self):
        """Follow the store until `stop`."""
        self._task = asyncio.ensure_future(self.follower.run())

    async def stop(self):
        """End the follower and the client."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.client.close()

    async def wait_for(self, *expected):
        """Return what was seen: '' if these upstreams are in use in time."""
        names = set()
        for _ in range(int(_DEADLINE_S / _POLL_S)):
            names = {one.instance for one in self.state.usable('orders')}
            if self._task.done():
                return f'ended: {repr(self._task.exception())}'[:120]
            if names == set(expected):
                return ''
            await asyncio.sleep(_POLL_S)
        failures = self.counters.total('store_failures')
        used = sorted(name[:20] for name in names)
        return f'in use: {used}, failed answers: {failures}'

    def reported(self):
        """Return how many entries were logged, counted and are odd now."""
        return (
            [one['event'] for one in self.lines.lines].count('entry_rejected'),
            self.counters.total('entries_rejected', kind=UPSTREAM_PREFIX),
            self.rejected.counts().get(UPSTREAM_PREFIX, 0),
        )


class _Lines:
    """Writer that collects log lines."""

    def __init__(self):
        self.queued_bytes = 0
        self.lines = []

    def info(self, line):
        self.lines.append(json.loads(line))


@pytest.fixture
def follow():
    """Context manager that runs a store and its follower."""

    @contextlib.asynccontextmanager
    async def running():
        listening, port = bind_unused_port()
        followed = _Followed(f'127.0.0.1:{port}', _Lines())
        options = {'store': followed.store}
        server = HTTPServer(Application([('/.*', _Handler, options)]))
        server.add_socket(listening)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(server.close_all_connections)
            stack.callback(server.stop)
            yield followed
            await followed.stop()

    return running


def _run(session):
    asyncio.run(asyncio.wait_for(session(), 30))


@pytest.mark.parametrize('odd', _ODD_ENTRIES)
def test_an_odd_entry_in_a_listing_costs_only_itself(follow, odd):
    """Guards against LOST at boot: one odd entry ended the follower or hid
    all other entries."""

    async def session():
        async with follow() as followed:
            followed.store.put('i-1')
            followed.store.put(_ODD, _ODD_ENTRIES[odd])
            followed.store.put('i-2')
            followed.start()
            assert await followed.wait_for('i-1', 'i-2') == ''
            followed.store.put('i-3')
            assert await followed.wait_for('i-1', 'i-2', 'i-3') == ''
            assert followed.reported() == (1, 1, 1)

    _run(session)


@pytest.mark.parametrize('odd', _ODD_ENTRIES)
def test_an_odd_entry_in_a_watch_costs_only_itself(follow, odd):
    """Guards against LOST later on: one odd change ended the follower or
    stopped it."""

    async def session():
        async with follow() as followed:
            followed.store.put('i-1')
            followed.start()
            assert await followed.wait_for('i-1') == ''
            followed.store.put(_ODD, _ODD_ENTRIES[odd])
            followed.store.put('i-2')
            assert await followed.wait_for('i-1', 'i-2') == ''
            followed.store.put('i-3')
            assert await followed.wait_for('i-1', 'i-2', 'i-3') == ''
            assert followed.reported() == (1, 1, 1)

    _run(session)


@pytest.mark.parametrize('odd', _NAMED)
def test_an_upstream_is_used_again_after_an_odd_entry(follow, odd):
    """Guards against an upstream that stays in use after its entry turned
    odd, and against one that stays out of use after it was mended."""

    async def session():
        async with follow() as followed:
            followed.store.put('i-1')
            followed.store.put(_ODD)
            followed.start()
            assert await followed.wait_for('i-1', _ODD) == ''
            followed.store.put(_ODD, _ODD_ENTRIES[odd])
            assert await followed.wait_for('i-1') == ''
            followed.store.put(_ODD)
            assert await followed.wait_for('i-1', _ODD) == ''
            assert followed.reported() == (1, 1, 0)

    _run(session)
