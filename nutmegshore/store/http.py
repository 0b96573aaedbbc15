"""Client of the platform's object API over HTTP."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode, urlsplit

from nutmegshore.counters import Counters
from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.store import wire
from nutmegshore.store.base import (
    MAX_BODY_BYTES,
    WATCH_WAIT_S,
    Changes,
    Expected,
    ListedInstance,
    ListingPage,
    Platform,
    StoredObject,
)
from nutmegshore.store.calls import (
    CallFailed,
    CallTimes,
    StoreCall,
    StoreCalls,
    StoreReply,
)
from nutmegshore.store.failures import unanswered
from nutmegshore.upstreams import AnswerHead, Headers

__all__ = ('HttpPlatform',)

_CALL_TIMEOUT_S = 2
_PLACES = 64

_Parsed = TypeVar('_Parsed')


class HttpPlatform(Platform):
    """Client of an object API at a base URL such as http://127.0.0.1:9000.

    A failed read raises `PlatformUnavailable`. A write raises it only if it
    certainly had no effect: no connection could be opened, or the platform
    answered 4xx other than 408, or 503 with Not-Applied. Every other failed
    write raises `PlatformAnswerLost`, and status 412 `VersionConflict`.
    """

    def __init__(
        self,
        base_url: str,
        call_timeout_s: float = _CALL_TIMEOUT_S,
        watch_wait_s: float = WATCH_WAIT_S,
        counters: Counters | None = None,
    ) -> None:
        """Configure the client; connections are opened on first use."""
        parts = urlsplit(base_url)
        self._base_path = parts.path.rstrip('/')
        self._watch_wait_s = watch_wait_s
        self._calls = StoreCalls(
            f'{parts.scheme}://{parts.netloc}',
            CallTimes(call_timeout_s, call_timeout_s),
            _PLACES,
            counters,
        )
        self._calls.on_malformed = self.report_malformed

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""
        response = await self._get(_object_path(key), is_missing_allowed=True)
        if response.head.status == HTTPStatus.NOT_FOUND:
            return None
        return _parse_read_answer(response, wire.parse_stored)

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix, page by page.

        An object written between two pages may appear in its old or its new
        state; a watch from a position read before the listing returns the
        change.
        """
        page = await self._read_page(prefix, '')
        stored_objects = list(page.listed)
        while page.after:
            page = await self._read_page(prefix, page.after)
            stored_objects.extend(page.listed)
        return stored_objects

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object matches `expected`; None requires its absence."""
        if len(body) > MAX_BODY_BYTES:
            raise PlatformUnavailable(f'{key}: over {MAX_BODY_BYTES} bytes')
        call = self._make_call(
            _object_path(key),
            method='PUT',
            body=body,
            headers=(
                (wire.OPERATION, operation),
                *_condition_headers(expected),
            ),
        )
        try:
            response = await self._send_write(call, key)
        except VersionConflict as conflict:
            # A write is sent again if its kept connection closes; the second
            # one conflicts if the first one took effect.
            if conflict.present and conflict.present.operation == operation:
                return conflict.present
            raise
        return _parse_write_answer(response, wire.parse_stored)

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it matches `expected`."""
        call = self._make_call(
            _object_path(key),
            method='DELETE',
            headers=_condition_headers(expected),
        )
        await self._send_write(call, key)

    async def read_position(self) -> int:
        """Read the position of the store's last change."""
        return _parse_read_answer(await self._get('/position'), int)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait for changes below the prefix after a position."""
        wait_s = min(wait_s, self._watch_wait_s)
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait_s': wait_s},
        )
        response = await self._get(f'/watch?{query}', wait_s=wait_s)
        return _parse_read_answer(response, wire.parse_changes)

    async def read_instances(self) -> list[ListedInstance]:
        """Read the list of live and leaving instances, which may lag."""
        response = await self._get('/instances')
        return _parse_read_answer(response, wire.parse_instances)

    async def _read_page(self, prefix: str, after: str) -> ListingPage:
        query = urlencode({'prefix': prefix, 'after': after})
        response = await self._get(f'/objects?{query}')
        page = _parse_read_answer(response, wire.parse_page)
        if page.after and page.after <= after:
            raise PlatformUnavailable('listing page does not advance its key')
        return page

    async def _get(
        self, path: str, wait_s: float = 0, is_missing_allowed: bool = False
    ) -> StoreReply:
        call = self._make_call(path, wait_s=wait_s)
        try:
            response = await self._calls.send(call)
        except CallFailed as failure:
            raise PlatformUnavailable(str(failure)) from failure
        status = response.head.status
        is_missing = status == HTTPStatus.NOT_FOUND
        if status == HTTPStatus.OK or is_missing and is_missing_allowed:
            return response
        raise PlatformUnavailable(f'{path}: status {status}')

    async def _send_write(self, call: StoreCall, key: str) -> StoreReply:
        try:
            response = await self._calls.send(call)
        except CallFailed as failure:
            raise unanswered(failure) from failure
        if response.head.status == HTTPStatus.OK:
            return response
        if response.head.status == HTTPStatus.PRECONDITION_FAILED:
            present = _parse_write_answer(response, wire.parse_present)
            raise VersionConflict(
                f'{key}: uid or version does not match', present
            )
        raise _write_error(response, key)

    def _make_call(
        self, path: str, method: str = 'GET', **options: Any
    ) -> StoreCall:
        return StoreCall(method, f'{self._base_path}{path}', **options)


def _is_not_applied(head: AnswerHead) -> bool:
    """Whether the write had no effect; a 503 alone does not prove it."""
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return wire.NOT_APPLIED.lower() in head.fields
    if head.status == HTTPStatus.REQUEST_TIMEOUT:
        return False
    return HTTPStatus.BAD_REQUEST <= head.status < _FIRST_SERVER_ERROR


def _write_error(response: StoreReply, key: str) -> PlatformError:
    status = response.head.status
    message = f'{key}: status {status}'
    if _is_not_applied(response.head):
        return PlatformUnavailable(message)
    return PlatformAnswerLost(message)


_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _condition_headers(expected: Expected | None) -> Headers:
    if expected is None:
        return ((wire.IF_NONE_MATCH, '*'),)
    return ((wire.IF_MATCH, wire.encode_expected(expected)),)


def _parse_read_answer(
    response: StoreReply,
    parse: Callable[[Any], _Parsed],
) -> _Parsed:
    try:
        return parse(json.loads(response.body))
    except wire.MALFORMED as failure:
        raise PlatformUnavailable('malformed answer to a read') from failure


def _parse_write_answer(
    response: StoreReply,
    parse: Callable[[Any], _Parsed],
) -> _Parsed:
    """Parse the answer to a write, whose effect is unknown if malformed."""
    try:
        return parse(json.loads(response.body))
    except wire.MALFORMED as failure:
        raise PlatformAnswerLost('malformed answer to a write') from failure
