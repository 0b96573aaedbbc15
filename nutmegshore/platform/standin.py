"""A small HTTP stand-in of the platform for tests and demonstrations."""

import asyncio
import json
from http import HTTPStatus
from typing import Any

from tornado.web import Application, RequestHandler

from nutmegshore.clock import SystemClock
from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.platform import wire
from nutmegshore.platform.base import Changes, Expected
from nutmegshore.platform.memory import MemoryPlatform, MemoryStore

__all__ = ('make_standin',)

_WATCH_WAIT_S = 30


def make_standin(store: MemoryStore) -> Application:
    """Application that serves a store; `store.faults` take effect on it.

    store = MemoryStore()
    server = make_standin(store).listen(0, '127.0.0.1')
    """
    options = {'store': store}
    return Application(
        [
            (r'/objects/(.+)', _ObjectHandler, options),
            ('/objects', _ListHandler, options),
            ('/position', _PositionHandler, options),
            ('/watch', _WatchHandler, options),
            ('/instances', _InstancesHandler, options),
        ],
    )


class _StandinHandler(RequestHandler):
    def initialize(self, store: MemoryStore) -> None:
        self.store = store
        self.platform = MemoryPlatform(store, SystemClock())

    def write_error(self, status_code: int, **options: Any) -> None:
        error = options.get('exc_info', (None, None))[1]
        if isinstance(error, VersionConflict):
            self.set_status(HTTPStatus.PRECONDITION_FAILED)
            present = error.present
            self.finish_json(wire.write_stored(present) if present else None)
        elif isinstance(error, PlatformUnavailable):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header(wire.NOT_APPLIED, '1')
            self.finish()
        elif isinstance(error, PlatformAnswerLost):
            # The effect stays; the client sees a connection that breaks.
            self.request.connection.stream.close()
        else:
            super().write_error(status_code, **options)

    def log_exception(self, *details: Any) -> None:
        """Stay silent: the faults are wanted."""

    def finish_json(self, fields: Any) -> None:
        self.finish(json.dumps(fields))


class _ObjectHandler(_StandinHandler):
    async def get(self, key: str) -> None:
        stored = await self.platform.read(key)
        if stored is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            self.finish()
            return
        self.finish_json(wire.write_stored(stored))

    async def put(self, key: str) -> None:
        stored = await self.platform.write(
            key,
            self.request.body,
            self._expected(),
            self.request.headers.get(wire.OPERATION, ''),
        )
        self.finish_json(wire.write_stored(stored))

    async def delete(self, key: str) -> None:
        expected = self._expected() or Expected('', 0)
        await self.platform.remove(key, expected)
        self.finish_json(None)

    def _expected(self) -> Expected | None:
        condition = self.request.headers.get(wire.IF_MATCH)
        return wire.parse_expected(condition) if condition else None


class _ListHandler(_StandinHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        found = await self.platform.iter_objects(prefix)
        self.finish_json([wire.write_stored(stored) for stored in found])


class _PositionHandler(_StandinHandler):
    async def get(self) -> None:
        self.finish_json(await self.platform.read_position())


class _WatchHandler(_StandinHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        after = int(self.get_query_argument('after', '0'))
        try:
            changes = await asyncio.wait_for(
                self.platform.watch(prefix, after),
                _WATCH_WAIT_S,
            )
        except TimeoutError:
            changes = Changes(after, ())
        self.finish_json(wire.write_changes(changes))


class _InstancesHandler(_StandinHandler):
    async def get(self) -> None:
        listed = await self.platform.read_instances()
        self.finish_json([wire.write_instance(found) for found in listed])

    async def put(self) -> None:
        listed = json.loads(self.request.body)
        self.store.instances = [wire.parse_instance(found) for found in listed]
        self.finish_json(None)
