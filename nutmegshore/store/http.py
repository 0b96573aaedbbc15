"""Client of the platform's object API over HTTP."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

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
from nutmegshore.store.failures import unanswered

__all__ = ('HttpPlatform',)

_CALL_TIMEOUT_S = 2
_MAX_CLIENTS = 64

_Parsed = TypeVar('_Parsed')


class HttpPlatform(Platform):
    """Client of an object API at a base URL such as http://127.0.0.1:9000.

    A failed read raises `PlatformUnavailable`. A write raises it only where
    it surely took no effect: the connection was refused, or the platform
    answered 4xx or 503 with Not-Applied. Everything else that is not an
    answer raises `PlatformAnswerLost`.
    """

    def __init__(
        self,
        base_url: str,
        call_timeout_s: float = _CALL_TIMEOUT_S,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Remember the address; connections open on first use."""
        self._base_url = base_url.rstrip('/')
        self._call_timeout_s = call_timeout_s
        self._watch_wait_s = watch_wait_s
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None where there is none."""
        response = await self._get(_object_path(key), is_missing_allowed=True)
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return _parse_read(response, wire.parse_stored)

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix, by pages.

        An object that is written between two pages can be seen in its old or
        its new state; a watch from a position that was read before finds it.
        """
        page = await self._read_page(prefix, '')
        found = list(page.listed)
        while page.after:
            page = await self._read_page(prefix, page.after)
            found.extend(page.listed)
        return found

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None: it must not exist."""
        if len(body) > MAX_BODY_BYTES:
            raise PlatformUnavailable(f'{key}: over {MAX_BODY_BYTES} bytes')
        headers = {wire.OPERATION: operation, **_condition(expected)}
        request = self._request(
            _object_path(key),
            method='PUT',
            body=body,
            headers=headers,
        )
        try:
            response = await self._change(request, key)
        except VersionConflict as conflict:
            # libcurl repeats a request on a connection that turns out to be
            # closed; the repeat then meets what the first one wrote.
            if conflict.present and conflict.present.operation == operation:
                return conflict.present
            raise
        return _parse_written(response, wire.parse_stored)

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""
        request = self._request(
            _object_path(key),
            method='DELETE',
            headers=_condition(expected),
        )
        await self._change(request, key)

    async def read_position(self) -> int:
        """Read the position of the store's last change."""
        return _parse_read(await self._get('/position'), int)

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
        response = await self._get(
            f'/watch?{query}',
            wait_s + self._call_timeout_s,
        )
        return _parse_read(response, wire.parse_changes)

    async def read_instances(self) -> list[ListedInstance]:
        """Read the lagging list of live and leaving instances."""
        response = await self._get('/instances')
        return _parse_read(response, wire.parse_instances)

    async def _read_page(self, prefix: str, after: str) -> ListingPage:
        query = urlencode({'prefix': prefix, 'after': after})
        response = await self._get(f'/objects?{query}')
        page = _parse_read(response, wire.parse_page)
        if page.after and page.after <= after:
            raise PlatformUnavailable('listing does not advance')
        return page

    async def _get(
        self,
        path: str,
        timeout_s: float | None = None,
        is_missing_allowed: bool = False,
    ) -> HTTPResponse:
        request = self._request(
            path,
            request_timeout=timeout_s or self._call_timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as failure:
            raise PlatformUnavailable(f'{path}: {failure}') from failure
        is_missing = response.code == HTTPStatus.NOT_FOUND
        if response.code == HTTPStatus.OK or is_missing and is_missing_allowed:
            return response
        raise PlatformUnavailable(f'{path}: {_describe(response)}')

    async def _change(self, request: HTTPRequest, key: str) -> HTTPResponse:
        # Without an answer, `fetch` raises in spite of raise_error=False.
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as failure:
            raise unanswered(key, failure) from failure
        if response.code == HTTPStatus.OK:
            return response
        if response.code == HTTPStatus.PRECONDITION_FAILED:
            present = _parse_written(response, wire.parse_present)
            raise VersionConflict(f'{key}: not as expected', present)
        raise _failure(response, key)

    def _request(self, path: str, **options: Any) -> HTTPRequest:
        options.setdefault('request_timeout', self._call_timeout_s)
        # A repeat of a write by libcurl on a stale connection is harmless:
        # the condition lets only one of the two take effect, and the
        # operation id shows which.
        return HTTPRequest(
            f'{self._base_url}{path}',
            connect_timeout=self._call_timeout_s,
            allow_nonstandard_methods=True,
            **options,
        )


def _is_not_applied(response: HTTPResponse) -> bool:
    """Whether the write surely took no effect; a bare 503 says nothing."""
    if response.code == HTTPStatus.SERVICE_UNAVAILABLE:
        return wire.NOT_APPLIED in response.headers
    if response.code == HTTPStatus.REQUEST_TIMEOUT:
        return False
    return HTTPStatus.BAD_REQUEST <= response.code < _FIRST_SERVER_ERROR


def _failure(response: HTTPResponse, key: str) -> PlatformError:
    message = f'{key}: {_describe(response)}'
    if _is_not_applied(response):
        return PlatformUnavailable(message)
    return PlatformAnswerLost(message)


_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR


def _describe(response: HTTPResponse) -> str:
    return f'status {response.code}, {response.reason}'


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _condition(expected: Expected | None) -> dict[str, str]:
    if expected is None:
        return {wire.IF_NONE_MATCH: '*'}
    return {wire.IF_MATCH: wire.write_expected(expected)}


def _parse_read(
    response: HTTPResponse,
    parse: Callable[[Any], _Parsed],
) -> _Parsed:
    try:
        return parse(json.loads(response.body))
    except wire.MALFORMED as failure:
        raise PlatformUnavailable('answer is malformed') from failure


def _parse_written(
    response: HTTPResponse,
    parse: Callable[[Any], _Parsed],
) -> _Parsed:
    """Parse the answer to a write; a malformed one leaves it unknown."""
    try:
        return parse(json.loads(response.body))
    except wire.MALFORMED as failure:
        raise PlatformAnswerLost('answer is malformed') from failure
