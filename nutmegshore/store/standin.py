"""HTTP stand-in for the platform, for tests and demonstrations."""

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
    """Make an application that serves a store and applies its faults.

    GET and PUT /faults read and set the faults (is_down, delay_s,
    lost_answers, list_lag_s), and GET /counts reads the call counts. These
    two paths are not part of the platform's API: they are not counted and
    not affected by the faults.

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
        log_function=_skip_access_log,
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
            self.finish_json(wire.encode_stored(present) if present else None)
        elif isinstance(error, PlatformUnavailable):
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header(wire.NOT_APPLIED, '1')
            self.finish()
        elif isinstance(error, PlatformAnswerLost):
            # The write took effect; the client only sees a closed connection.
            self.request.connection.stream.close()
        else:
            self.finish()

    def log_exception(self, *details: Any) -> None:
        """Log only unexpected errors; the others are answers or faults."""
        expected_errors = (
            VersionConflict,
            PlatformUnavailable,
            PlatformAnswerLost,
            HTTPError,
        )
        if not isinstance(details[1], expected_errors):
            super().log_exception(*details)

    def finish_json(self, fields: Any) -> None:
        self.finish(json.dumps(fields))

    def parse_number(self, name: str, default: float) -> float:
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
        self.finish_json(wire.encode_stored(stored))

    async def put(self, key: str) -> None:
        if len(self.request.body) > MAX_BODY_BYTES:
            raise HTTPError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        stored = await self.platform.write(
            key,
            self.request.body,
            self._parse_condition(),
            self.request.headers.get(wire.OPERATION, ''),
        )
        self.finish_json(wire.encode_stored(stored))

    async def delete(self, key: str) -> None:
        expected = self._parse_condition()
        if expected is None:
            raise HTTPError(HTTPStatus.BAD_REQUEST)
        await self.platform.remove(key, expected)
        self.finish_json(None)

    def _parse_condition(self) -> Expected | None:
        """Parse the condition; answers 400 if it is absent or malformed."""
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
        remaining = [stored for stored in found if stored.key > after]
        self.finish_json(wire.encode_page(_first_page(remaining)))


def _first_page(remaining: list[StoredObject]) -> ListingPage:
    """Return the first page, bounded by object count and body bytes."""
    size = 0
    for count, stored in enumerate(remaining):
        size += len(stored.body)
        if count and (count >= _PAGE_OBJECTS or size > _PAGE_BYTES):
            return ListingPage(
                tuple(remaining[:count]), remaining[count - 1].key
            )
    return ListingPage(tuple(remaining))


class _PositionHandler(_StandinHandler):
    async def get(self) -> None:
        self.finish_json(await self.platform.read_position())


class _WatchHandler(_StandinHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix', '')
        after = int(self.parse_number('after', 0))
        wait_s = self.parse_number('wait_s', _MAX_WATCH_WAIT_S)
        try:
            changes = await asyncio.wait_for(
                self.platform.watch(prefix, after),
                min(wait_s, _MAX_WATCH_WAIT_S),
            )
        except TimeoutError:
            changes = Changes(after, ())
        self.finish_json(wire.encode_changes(changes))


class _InstancesHandler(_StandinHandler):
    async def get(self) -> None:
        listed = await self.platform.read_instances()
        self.finish_json([wire.encode_instance(found) for found in listed])

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
        """Set the faults named in the body and keep the others."""
        try:
            updated = Faults(**json.loads(self.request.body))
        except (ValueError, TypeError):
            raise HTTPError(HTTPStatus.BAD_REQUEST) from None
        for field in json.loads(self.request.body):
            setattr(self.store.faults, field, getattr(updated, field))
        self.get()


class _CountsHandler(_StandinHandler):
    def get(self) -> None:
        self.finish_json(dict(self.store.call_counts))


def _skip_access_log(handler: RequestHandler) -> None:
    """Skip access logs, which would flood tests; /counts has the counts."""
