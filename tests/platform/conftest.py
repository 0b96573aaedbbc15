"""Fixtures for tests of the platform adapter."""

import contextlib

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from nutmegshore.platform.standin import StandinStore, make_store_application
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store.calls import CallTimes

_TIMES = CallTimes(connect_s=1, call_s=1)


@pytest.fixture
def serve_store():
    """Context manager that serves a stand-in store and yields a client."""

    @contextlib.asynccontextmanager
    async def served():
        store = StandinStore()
        listening, port = bind_unused_port()
        server = HTTPServer(make_store_application(store))
        server.add_socket(listening)
        client = PlatformStore(f'127.0.0.1:{port}', _TIMES)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(server.close_all_connections)
            stack.callback(server.stop)
            stack.callback(client.close)
            yield store, client

    return served
