"""A small HTTP stand-in of the platform for tests and demonstrations."""

import asyncio
import json
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, HTTPError, RequestHandler

from nutmegshore.clock import SystemClock
from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.store import wire
from nutmegshore.store.base import (
    MAX_BODY_BYTES,
    Changes,
    Expected,
    ListingPage,
    StoredObject,
)
from nutmegshore.store.memory import Faults, MemoryPlatform, MemoryStore

__all__ = ('make_standin',)

_MAX_WATCH_WAIT_S = 60
_PAGE_OBJECTS = 500
_PAGE_BYTES = 4_000_000


def make_standin(store: MemoryStore) -> Application:
    """Application that serves a store; `store.faults` take effect on it.

    GET and PUT /faults read and set the faults (is_down, delay_s,
    lost_answers, list_lag_s) and GET /counts reads the call counts; these two
    are not part of the platform's API, count nothing and always answer.

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
            ('/faults', _FaultsHandler, options),
            ('/counts', _CountsHandler, options),
        ],
        log_function=_log_nothing,
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
            self.finish()

    def log_exception(self, *details: Any) -> None:
        """Log programming errors only; the other faults are wanted."""
        wanted = (
            VersionConflict,
            PlatformUnavailable,
            PlatformAnswerLost,
            HTTPError,
        )
        if not isinstance(details[1], wanted):
            super().log_exception(*details)

    def finish_json(self, fields: Any) -> None:
        self.finish(json.dumps(fields))

    def read_number(self, name: str, default: float) -> float:
        try:
            return float(self.get_query_argument(name, str(default)))
        except ValueError:
            raise HTTPError(HTTPStatus.BAD_REQUEST) from None


class _ObjectHandler(_StandinHandler):
    async def get(self, key: str) -> None:
        stored = await self.platform.read(key)
        if stored is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            self.finish()
            return
        self.finish_json(wire.write_stored(stored))

    async def put(self, key: str) -> None:
        if len(self.request.body) > MAX_BODY_BYTES:
            raise HTTPError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        stored = await self.platform.write(
            key,
            self.request.body,
            self._expected(),
            self.request.headers.get(wire.OPERATION, ''),
        )
        self.finish_json(wire.write_stored(stored))

    async def delete(self, key: str) -> None:
        expected = self._expected()
        if expected is None:
            raise HTTPError(HTTPStatus.BAD_REQUEST)
        await self.platform.remove(key, expected)
        self.finish_json(None)

    def _expected(self) -> Expected | None:
        """Read the condition; a change without one is refused."""
        headers = self.request.headers
        try:
            if headers.get(wire.IF_MATCH):
                return wire.parse_expected(headers[wire.IF_MATCH])
        except ValueError:
            raise HTTPError(HTTPStatus.BAD_REQUEST) from None
        if headers.get(wire.IF_NONE_MATCH) != '*':
            raise HTTPError(HTTPStatus.BAD_REQUEST)
        return None


class _ListHandler(_StandinHandler):
    async def get(self) -> None:
        found = await self.platform.iter_objects(
            self.get_query_argument('prefix', ''),
        )
        after = self.get_query_argument('after', '')
        rest = [stored for stored in found if stored.key > after]
        self.finish_json(wire.write_page(_cut_page(rest)))


def _cut_page(rest: list[StoredObject]) -> ListingPage:
    """First page of a listing, bounded by number and by bytes."""
    size = 0
    for number, stored in enumerate(rest):
        size += len(stored.body)
        if number and (number >= _PAGE_OBJECTS or size > _PAGE_BYTES):
            return ListingPage(tuple(rest[:number]), rest[number - 1].key)
    return ListingPage(tuple(rest))


class _PositionHandler(_StandinHandler):
    async def get(self) -> None:
        self.finish_json(await self.platform.read_position())


class _WatchHandler(_StandinHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        after = int(self.read_number('after', 0))
        wait_s = self.read_number('wait_s', _MAX_WATCH_WAIT_S)
        try:
            changes = await asyncio.wait_for(
                self.platform.watch(prefix, after),
                min(wait_s, _MAX_WATCH_WAIT_S),
            )
        except TimeoutError:
            changes = Changes(after, ())
        self.finish_json(wire.write_changes(changes))


class _InstancesHandler(_StandinHandler):
    async def get(self) -> None:
        listed = await self.platform.read_instances()
        self.finish_json([wire.write_instance(found) for found in listed])

    async def put(self) -> None:
        try:
            listed = json.loads(self.request.body)
            parsed = [wire.parse_instance(found) for found in listed]
        except (ValueError, TypeError):
            raise HTTPError(HTTPStatus.BAD_REQUEST) from None
        self.store.instances = parsed
        self.finish_json(None)


class _FaultsHandler(_StandinHandler):
    def get(self) -> None:
        self.finish_json(attrs.asdict(self.store.faults))

    def put(self) -> None:
        """Set the faults that the body names; the others stay."""
        try:
            named = Faults(**json.loads(self.request.body))
        except (ValueError, TypeError):
            raise HTTPError(HTTPStatus.BAD_REQUEST) from None
        for field in json.loads(self.request.body):
            setattr(self.store.faults, field, getattr(named, field))
        self.get()


class _CountsHandler(_StandinHandler):
    def get(self) -> None:
        self.finish_json(dict(self.store.call_counts))


def _log_nothing(handler: RequestHandler) -> None:
    """A trial makes many calls; their counts are read at /counts."""
