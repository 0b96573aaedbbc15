"""Fixtures: an operator API in memory, and a real listener."""

import json
import random

import attrs
import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from nutmegshore.clock import SystemClock, VirtualClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.operators import (
    Access,
    AccessList,
    ChangeLog,
    Declarer,
    OperatorApi,
    Providers,
    make_operator_application,
)
from nutmegshore.operators.access import Credential, Grant, Role, make_token
from nutmegshore.store import MemoryPlatform, MemoryStore


@attrs.define
class Side:
    """The operator side of one entry on a store that others may share."""

    store: MemoryStore
    platform: MemoryPlatform
    table: ConfigurationTable
    declarer: Declarer
    api: OperatorApi
    counters: Counters


@pytest.fixture
def make_side():
    """Function that builds an operator side; seeds differ per entry."""

    def build(store=None, seed=1, clock=None, providers=None):
        store = store or MemoryStore()
        platform = MemoryPlatform(store, clock or VirtualClock())
        table = ConfigurationTable()
        counters = Counters()
        declarer = Declarer(platform, table, random.Random(seed))
        api = OperatorApi(
            declarer,
            table,
            ChangeLog(table, f'epoch{seed}', max_watches=1, max_kept=2),
            providers or Providers(),
            counters,
        )
        return Side(store, platform, table, declarer, api, counters)

    return build


@attrs.define
class Listener:
    """A real listener with one writer, one reader and their tokens."""

    side: Side
    url: str
    tokens: dict

    async def call(self, method, path, body=None, **headers):
        """Status and parsed body; `token` is a name or a raw header."""
        token = headers.pop('token', 'ann')
        headers = {key.replace('_', '-'): text for key, text in headers.items()}
        if token:
            secret = self.tokens.get(token, token)
            headers['Authorization'] = f'Bearer {secret}'
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body if isinstance(body, (str, bytes)) else _encode(body),
            headers=headers,
            allow_nonstandard_methods=True,
        )
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
        return response, json.loads(response.body)


def _encode(body):
    return None if body is None else json.dumps(body, default=dict)


@pytest.fixture
def listen(make_side):
    """Function that opens a listener on a free loopback port."""

    def build(max_body_bytes=1000, anonymous=False, **options):
        side = make_side(clock=SystemClock(), **options)
        rng = random.Random(5)
        tokens = {}
        grants = []
        for name, role in (('ann', Role.WRITE), ('board', Role.READ)):
            token, hashed = make_token(rng)
            tokens[name] = token
            grants.append(Grant(Credential(name, role), hashed))
        allowed = AccessList(tuple(grants), (), anonymous)
        application = make_operator_application(
            side.api,
            Access(allowed, side.counters),
            max_body_bytes,
        )
        sock, port = bind_unused_port()
        HTTPServer(application).add_socket(sock)
        return Listener(side, f'http://127.0.0.1:{port}', tokens)

    return build
