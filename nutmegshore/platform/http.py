"""Client of the platform's object API over HTTP."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.platform import wire
from nutmegshore.platform.base import (
    Changes,
    Expected,
    ListedInstance,
    Platform,
    StoredObject,
)

__all__ = ('HttpPlatform',)

_CALL_TIMEOUT_S = 2
_WATCH_TIMEOUT_S = 60
_MAX_CLIENTS = 64


class HttpPlatform(Platform):
    """Client of an object API at a base URL such as http://127.0.0.1:9000.

    A write whose answer does not arrive raises `PlatformAnswerLost`, since it
    may have taken effect; a failed read raises `PlatformUnavailable`.
    """

    def __init__(self, base_url: str) -> None:
        """Remember the address; connections open on first use."""
        self._base_url = base_url.rstrip('/')
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None where there is none."""
        response = await self._get(_object_path(key))
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return wire.parse_stored(_parse_json(response))

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix."""
        query = urlencode({'prefix': prefix})
        response = await self._get(f'/objects?{query}')
        return [wire.parse_stored(found) for found in _parse_json(response)]

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None: it must not exist."""
        headers = {wire.OPERATION: operation, **_condition(expected)}
        request = self._request(
            _object_path(key),
            method='PUT',
            body=body,
            headers=headers,
        )
        response = await self._change(request, key)
        return wire.parse_stored(_parse_json(response))

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
        return _parse_json(await self._get('/position'))

    async def watch(self, prefix: str, after: int) -> Changes:
        """Wait for changes below the prefix after a position."""
        query = urlencode({'prefix': prefix, 'after': after})
        response = await self._get(f'/watch?{query}', _WATCH_TIMEOUT_S)
        return wire.parse_changes(_parse_json(response))

    async def read_instances(self) -> list[ListedInstance]:
        """Read the lagging list of live and leaving instances."""
        response = await self._get('/instances')
        return [wire.parse_instance(found) for found in _parse_json(response)]

    async def _get(
        self,
        path: str,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> HTTPResponse:
        request = self._request(path, request_timeout=timeout_s)
        response = await self._client.fetch(request, raise_error=False)
        answered = (HTTPStatus.OK, HTTPStatus.NOT_FOUND)
        if response.code not in answered:
            raise PlatformUnavailable(f'{path}: status {response.code}')
        return response

    async def _change(self, request: HTTPRequest, key: str) -> HTTPResponse:
        response = await self._client.fetch(request, raise_error=False)
        if response.code == HTTPStatus.PRECONDITION_FAILED:
            present = _parse_json(response)
            raise VersionConflict(
                f'{key}: not as expected',
                wire.parse_stored(present) if present else None,
            )
        if _is_not_applied(response):
            raise PlatformUnavailable(f'{key}: refused')
        if response.code != HTTPStatus.OK:
            raise PlatformAnswerLost(f'{key}: status {response.code}')
        return response

    def _request(self, path: str, **options: Any) -> HTTPRequest:
        options.setdefault('request_timeout', _CALL_TIMEOUT_S)
        # A repeat of a write by libcurl on a stale connection is harmless:
        # the condition lets only one of the two take effect, and the
        # operation id shows which.
        return HTTPRequest(
            f'{self._base_url}{path}',
            connect_timeout=_CALL_TIMEOUT_S,
            allow_nonstandard_methods=True,
            **options,
        )


def _is_not_applied(response: HTTPResponse) -> bool:
    """Whether the write surely took no effect; a bare 503 says nothing."""
    if response.code == HTTPStatus.SERVICE_UNAVAILABLE:
        return wire.NOT_APPLIED in response.headers
    error = response.error
    curl_code = getattr(error, 'errno', None)
    return curl_code == pycurl.E_COULDNT_CONNECT


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _condition(expected: Expected | None) -> dict[str, str]:
    if expected is None:
        return {wire.IF_NONE_MATCH: '*'}
    return {wire.IF_MATCH: wire.write_expected(expected)}


def _parse_json(response: HTTPResponse) -> Any:
    try:
        return json.loads(response.body)
    except ValueError as failure:
        raise PlatformUnavailable('answer is not JSON') from failure
