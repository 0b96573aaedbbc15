"""Client of the platform's metadata store."""

import json
import socket
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from nutmegshore.errors import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.platform.era import read_era
from nutmegshore.store.base import (
    WATCH_WAIT_S,
    Change,
    Changes,
    Expected,
    ListedInstance,
    Listing,
    Platform,
    StoredObject,
)
from nutmegshore.store.eras import StoreEras
from nutmegshore.store.failures import unanswered

__all__ = ('PlatformStore', 'StoreTimes')

_MAX_CLIENTS = 16
_MS_PER_S = 1000
#: Fields around each body that this client writes: the operation id
#: identifies a write whose answer was lost.
_OPERATION = 'operation'
_BODY = 'body'
_SPEC = 'Spec'
_STATUS = 'Status'
#: Statuses that guarantee that the write was not applied.
_NOT_APPLIED = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
    ),
)
_MALFORMED_ERRORS = (ValueError, TypeError, LookupError)


@attrs.frozen
class StoreTimes:
    """Timeouts of calls to the store in seconds.

    The kernel closes a connection on which the store acknowledges nothing
    for `silent_s`.
    """

    connect_s: float = 1
    call_s: float = 2
    silent_s: float = 2


class PlatformStore(Platform):
    """Client of the store at IP:port.

    Keys are `KIND/NAME`. The body of an object that this client wrote is the
    written JSON; that of any other object is JSON of its spec and status.

    Reads raise `PlatformUnavailable`. Writes raise it where nothing was
    applied, `PlatformAnswerLost` where the outcome is unknown, and
    `VersionConflict` where the object is not as expected. An answer without a
    readable era counts for the newest era that any answer has named.

        store = PlatformStore('10.0.0.1:8642')
        listing = await store.read_listing('servers/')
    """

    def __init__(self, address: str, times: StoreTimes | None = None) -> None:
        """Create the client; connections open on first use."""
        self._base_url = f'http://{address}/objects'
        self._times = times or StoreTimes()
        self.eras = StoreEras()
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None if it does not exist."""
        response = await self._fetch(f'/{quote(key)}')
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return _parse_object(_kind(key), _parse_read(response, key))

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read all objects of a kind; the prefix is `KIND/`."""
        return list((await self.read_listing(prefix)).listed)

    async def read_position(self) -> int:
        """Read the position of the store's last change."""
        return (await self._read_page('config', '')).position

    async def read_listing(self, prefix: str) -> Listing:
        """Read all objects of a kind, page by page.

        The position is that of the first page, so that a watch from there
        delivers the changes made between two pages.
        """
        kind = _kind(prefix)
        first = await self._read_page(kind, '')
        page = first
        listed = list(page.listed)
        while page.has_more:
            page = await self._read_page(kind, _name(listed[-1].key))
            if not page.listed:
                raise PlatformUnavailable(f'{kind}: listing does not advance')
            if page.era != first.era:
                raise PlatformUnavailable(f'{kind}: restored while listing')
            listed.extend(page.listed)
        return Listing(first.position, tuple(listed), first.era)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait up to `wait_s` for changes of a kind after a position.

        Raises `HistoryLost` if the store no longer has these changes.
        """
        kind = _kind(prefix)
        wait_ms = int(wait_s * _MS_PER_S)
        query = urlencode({'Watch': after, 'WaitMs': wait_ms})
        response = await self._fetch(
            f'/{kind}?{query}',
            request_timeout=wait_s + self._times.call_s,
        )
        raw = _parse_read(response, kind)
        try:
            return _parse_changes(
                kind, raw, read_era(response.headers, self.eras)
            )
        except _MALFORMED_ERRORS as failure:
            raise PlatformUnavailable(f'{kind}: malformed answer') from failure

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None expects no object."""
        spec = {_OPERATION: operation, _BODY: json.loads(body)}
        metadata: dict[str, Any] = {'Name': _name(key)}
        if expected is not None:
            metadata['Revision'] = expected.version
        payload = json.dumps({'Metadata': metadata, _SPEC: spec})
        is_new = expected is None
        try:
            response = await self._send_write(
                _kind(key) if is_new else key,
                method='POST' if is_new else 'PUT',
                body=payload,
            )
        except VersionConflict as conflict:
            # An earlier attempt at the same write may have been applied.
            if conflict.present and conflict.present.operation == operation:
                return conflict.present
            raise
        return _parse_object(_kind(key), _parse_written(response, key))

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""
        query = urlencode({'Revision': expected.version})
        await self._send_write(key, query=f'?{query}', method='DELETE')

    async def read_instances(self) -> list[ListedInstance]:
        """Return none: the platform does not list nutmegshore instances."""
        return []

    async def _read_page(self, kind: str, after: str) -> '_Page':
        query = urlencode({'after': after}) if after else ''
        response = await self._fetch(f'/{kind}?{query}')
        raw = _parse_read(response, kind)
        try:
            return _Page(
                int(raw['StoreRevision']),
                tuple(_parse_object(kind, entry) for entry in raw['items']),
                bool(raw.get('HasMore')),
                read_era(response.headers, self.eras),
            )
        except _MALFORMED_ERRORS as failure:
            raise PlatformUnavailable(f'{kind}: malformed answer') from failure

    async def _send_write(
        self,
        key: str,
        query: str = '',
        **options: Any,
    ) -> HTTPResponse:
        request = self._build_request(f'/{quote(key)}{query}', **options)
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as failure:
            raise unanswered(key, failure) from failure
        read_era(response.headers, self.eras)
        if response.code < HTTPStatus.MULTIPLE_CHOICES:
            return response
        if response.code == HTTPStatus.CONFLICT:
            raise VersionConflict(key, _parse_conflicting(key, response))
        raise _status_error(key, response.code)

    async def _fetch(self, path: str, **options: Any) -> HTTPResponse:
        request = self._build_request(path, **options)
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as failure:
            raise PlatformUnavailable(f'{path}: {failure}') from failure
        read_era(response.headers, self.eras)
        return response

    def _build_request(self, path: str, **options: Any) -> HTTPRequest:
        options.setdefault('request_timeout', self._times.call_s)
        if 'body' in options:
            options['headers'] = {'Content-Type': 'application/json'}
        return HTTPRequest(
            f'{self._base_url}{path}',
            connect_timeout=self._times.connect_s,
            prepare_curl_callback=self._configure_curl,
            allow_nonstandard_methods=True,
            **options,
        )

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._set_socket_options)

    def _set_socket_options(self, fd: int, purpose: int) -> int:
        """Make the kernel close a connection that is silent too long."""
        silent_s = max(int(self._times.silent_s), 1)
        with socket.socket(fileno=socket.dup(fd)) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, seconds in (
                (socket.TCP_KEEPIDLE, 1),
                (socket.TCP_KEEPINTVL, 1),
                (socket.TCP_KEEPCNT, silent_s),
                (socket.TCP_USER_TIMEOUT, silent_s * _MS_PER_S),
            ):
                connection.setsockopt(socket.IPPROTO_TCP, option, seconds)
        return pycurl.SOCKOPT_OK


@attrs.frozen
class _Page:
    """One page of a listing, and the store's position when it was read."""

    position: int
    listed: tuple[StoredObject, ...]
    has_more: bool
    era: int


def _kind(key: str) -> str:
    return key.partition('/')[0]


def _name(key: str) -> str:
    return key.partition('/')[2]


def _parse_read(response: HTTPResponse, subject: str) -> Any:
    if response.code == HTTPStatus.GONE:
        raise HistoryLost(subject)
    if response.code != HTTPStatus.OK:
        raise PlatformUnavailable(f'{subject}: status {response.code}')
    try:
        return json.loads(response.body)
    except ValueError as failure:
        raise PlatformUnavailable(f'{subject}: malformed JSON') from failure


def _parse_written(response: HTTPResponse, key: str) -> Any:
    """Parse the answer to a write; if malformed, the outcome is unknown."""
    try:
        return json.loads(response.body)
    except ValueError as failure:
        raise PlatformAnswerLost(f'{key}: malformed JSON') from failure


def _parse_conflicting(key: str, response: HTTPResponse) -> StoredObject | None:
    try:
        return _parse_object(_kind(key), json.loads(response.body))
    except _MALFORMED_ERRORS:
        # The write conflicts even if the present object is unreadable.
        return None


def _parse_changes(kind: str, raw: dict[str, Any], era: int) -> Changes:
    return Changes(
        int(raw['StoreRevision']),
        tuple(_parse_change(kind, event) for event in raw['events']),
        era,
    )


def _parse_change(kind: str, event: dict[str, Any]) -> Change:
    stored = _parse_object(kind, event['Object'])
    return Change(stored.key, None if event.get('Deleted') else stored)


def _parse_object(kind: str, raw: dict[str, Any]) -> StoredObject:
    metadata = raw['Metadata']
    operation, body = _parse_body(raw.get(_SPEC), raw.get(_STATUS))
    return StoredObject(
        key=f'{kind}/{metadata["Name"]}',
        body=body,
        uid=str(metadata.get('CreatedAt', '')),
        version=int(metadata['Revision']),
        operation=operation,
    )


def _parse_body(spec: Any, status: Any) -> tuple[str, bytes]:
    if isinstance(spec, dict) and set(spec) == {_OPERATION, _BODY}:
        return str(spec[_OPERATION]), json.dumps(spec[_BODY]).encode()
    return '', json.dumps({_SPEC: spec, _STATUS: status}).encode()


def _status_error(key: str, status: int) -> PlatformError:
    message = f'{key}: status {status}'
    if status in _NOT_APPLIED:
        return PlatformUnavailable(message)
    return PlatformAnswerLost(message)
