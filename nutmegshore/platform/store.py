"""Client of the platform's metadata store."""

import json
import socket
from collections.abc import Iterator
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
    PlatformFormatError,
    PlatformUnavailable,
    VersionConflict,
)
from nutmegshore.platform.era import read_era
from nutmegshore.platform.json_reader import read_parts
from nutmegshore.platform.stored_object import (
    BODY,
    OBJECT_LEVELS,
    OPERATION,
    UNKNOWN_REVISION,
    parse_object,
)
from nutmegshore.store.base import (
    WATCH_WAIT_S,
    Change,
    Changes,
    Expected,
    ListedInstance,
    Listing,
    Platform,
    StoredObject,
    Unnamed,
)
from nutmegshore.store.eras import StoreEras
from nutmegshore.store.failures import unanswered

__all__ = ('PlatformStore', 'StoreTimes')

_MAX_CLIENTS = 16
_MS_PER_S = 1000
#: Levels of an answer whose parts are read apart if the whole is unreadable.
_LISTING_LEVELS = 2 + OBJECT_LEVELS
_WATCH_LEVELS = 3 + OBJECT_LEVELS
#: Statuses that guarantee that the write was not applied.
_NOT_APPLIED = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
    ),
)
_MALFORMED_ERRORS = (ValueError, TypeError, LookupError, OverflowError)


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

    The store compares revisions only, and gives them out again after a restore.
    An object is therefore read before it is removed.

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
        raw = _parse_read(response, key, OBJECT_LEVELS)
        era = read_era(response.headers, self.eras)
        return parse_object(_kind(key), raw, era)

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
        reasons = list(page.unnamed)
        while page.has_more:
            page = await self._read_page(kind, _name(listed[-1].key))
            if not page.listed:
                raise PlatformUnavailable(f'{kind}: listing does not advance')
            if page.era != first.era:
                raise PlatformUnavailable(f'{kind}: restored while listing')
            listed.extend(page.listed)
            reasons.extend(page.unnamed)
        self.report_unnamed(prefix, Unnamed(tuple(reasons), is_listing=True))
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
        raw = _parse_read(response, kind, _WATCH_LEVELS)
        try:
            era = read_era(response.headers, self.eras)
            found = _parse_events(kind, raw['events'], era)
            changes = Changes(int(raw['StoreRevision']), found.parsed, era)
        except _MALFORMED_ERRORS as failure:
            raise PlatformUnavailable(f'{kind}: malformed answer') from failure
        if found.unnamed:
            self.report_unnamed(
                prefix, Unnamed(found.unnamed, is_listing=False)
            )
        return changes

    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object is as expected; None expects no object."""
        spec = {OPERATION: operation, BODY: json.loads(body)}
        metadata: dict[str, Any] = {'Name': _name(key)}
        if expected is not None:
            metadata['Revision'] = expected.version
        payload = json.dumps({'Metadata': metadata, 'Spec': spec})
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
        raw = _parse_written(response, key)
        era = read_era(response.headers, self.eras)
        return parse_object(_kind(key), raw, era)

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""
        present = await self.read(key)
        if present is None or Expected.of(present) != expected:
            raise VersionConflict(key, present)
        query = urlencode({'Revision': expected.version})
        await self._send_write(key, query=f'?{query}', method='DELETE')

    async def read_instances(self) -> list[ListedInstance]:
        """Return none: the platform does not list nutmegshore instances."""
        return []

    async def _read_page(self, kind: str, after: str) -> '_Page':
        query = urlencode({'after': after}) if after else ''
        response = await self._fetch(f'/{kind}?{query}')
        raw = _parse_read(response, kind, _LISTING_LEVELS)
        try:
            era = read_era(response.headers, self.eras)
            found = _parse_items(kind, raw['items'], era)
            return _Page(
                int(raw['StoreRevision']),
                found.parsed,
                bool(raw.get('HasMore')),
                found.unnamed,
                era,
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
        era = read_era(response.headers, self.eras)
        if response.code < HTTPStatus.MULTIPLE_CHOICES:
            return response
        if response.code == HTTPStatus.CONFLICT:
            present = _parse_conflicting(key, response, era)
            raise VersionConflict(key, present)
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
    unnamed: tuple[str, ...]
    era: int


@attrs.frozen
class _Parsed:
    """The objects or changes of an answer, and the reasons for the rest."""

    parsed: tuple[Any, ...]
    unnamed: tuple[str, ...]


def _kind(key: str) -> str:
    return key.partition('/')[0]


def _name(key: str) -> str:
    return key.partition('/')[2]


def _parse_read(response: HTTPResponse, subject: str, levels: int) -> Any:
    if response.code == HTTPStatus.GONE:
        raise HistoryLost(subject)
    if response.code != HTTPStatus.OK:
        raise PlatformUnavailable(f'{subject}: status {response.code}')
    try:
        return read_parts(response.body, levels)
    except PlatformFormatError as failure:
        raise PlatformUnavailable(f'{subject}: malformed JSON') from failure


def _parse_written(response: HTTPResponse, key: str) -> Any:
    """Parse the answer to a write; if malformed, the outcome is unknown."""
    try:
        return read_parts(response.body, OBJECT_LEVELS)
    except PlatformFormatError as failure:
        raise PlatformAnswerLost(f'{key}: malformed JSON') from failure


def _parse_conflicting(
    key: str, response: HTTPResponse, era: int
) -> StoredObject | None:
    try:
        raw = read_parts(response.body, OBJECT_LEVELS)
        return parse_object(_kind(key), raw, era)
    except PlatformFormatError:
        # The write conflicts even if the present object is unreadable.
        return None


def _parse_items(kind: str, items: list[Any], era: int) -> _Parsed:
    parsed: list[StoredObject] = []
    unnamed: list[str] = []
    for entry in items:
        try:
            parsed.append(parse_object(kind, entry, era))
        except PlatformFormatError as failure:
            unnamed.append(str(failure))
    return _Parsed(tuple(parsed), tuple(unnamed))


def _parse_events(kind: str, events: list[Any], era: int) -> _Parsed:
    parsed: list[Change] = []
    unnamed: list[str] = []
    for event in events:
        try:
            parsed.extend(_iter_changes(kind, event, era))
        except PlatformFormatError as failure:
            unnamed.append(str(failure))
    return _Parsed(tuple(parsed), tuple(unnamed))


def _iter_changes(kind: str, event: Any, era: int) -> Iterator[Change]:
    """Yield the change that an event describes."""
    if not isinstance(event, dict):
        raise PlatformFormatError('an event that is no JSON object')
    stored = parse_object(kind, event.get('Object'), era)
    is_removed = bool(event.get('Deleted'))
    # An object of unknown revision follows a removal, since it would appear
    # to be older than the one that is known.
    if is_removed or stored.version == UNKNOWN_REVISION:
        yield Change(stored.key, None)
    if not is_removed:
        yield Change(stored.key, stored)


def _status_error(key: str, status: int) -> PlatformError:
    message = f'{key}: status {status}'
    if status in _NOT_APPLIED:
        return PlatformUnavailable(message)
    return PlatformAnswerLost(message)
