"""Client of the platform's metadata store."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformUnavailable, VersionConflict
from nutmegshore.platform.store_answers import (
    Page,
    kind_of,
    parse_conflicting,
    parse_page,
    parse_stored,
    parse_watch,
    parse_written,
    status_error,
)
from nutmegshore.platform.store_http import StoreAnswer, StoreHttp
from nutmegshore.platform.stored_object import BODY, OPERATION
from nutmegshore.store.base import (
    WATCH_WAIT_S,
    Changes,
    Expected,
    ListedInstance,
    Listing,
    Platform,
    StoredObject,
    Unnamed,
)
from nutmegshore.store.calls import CallTimes

__all__ = ('PlatformStore',)

_MS_PER_S = 1000


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

    def __init__(
        self,
        address: str,
        times: CallTimes | None = None,
        counters: Counters | None = None,
    ) -> None:
        """Create the client; connections open on first use."""
        self._http = StoreHttp(address, times, counters, self.report_malformed)
        self.eras = self._http.eras

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def read(self, key: str) -> StoredObject | None:
        """Read one object, or None if it does not exist."""
        answer = await self._http.read(f'/{quote(key)}')
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return parse_stored(key, answer)

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
        kind = kind_of(prefix)
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
        kind = kind_of(prefix)
        wait_ms = int(wait_s * _MS_PER_S)
        query = urlencode({'Watch': after, 'WaitMs': wait_ms})
        answer = await self._http.read(f'/{kind}?{query}', wait_s)
        found = parse_watch(kind, answer)
        if found.unnamed:
            self.report_unnamed(
                prefix, Unnamed(found.unnamed, is_listing=False)
            )
        return Changes(found.position, found.changes, answer.era)

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
            answer = await self._send_write(
                kind_of(key) if is_new else key,
                method='POST' if is_new else 'PUT',
                body=payload,
            )
        except VersionConflict as conflict:
            # An earlier attempt at the same write may have been applied.
            if conflict.present and conflict.present.operation == operation:
                return conflict.present
            raise
        return parse_written(key, answer)

    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it is as expected."""
        present = await self.read(key)
        if present is None or Expected.of(present) != expected:
            raise VersionConflict(key, present)
        query = urlencode({'Revision': expected.version})
        await self._send_write(key, 'DELETE', f'?{query}')

    async def read_instances(self) -> list[ListedInstance]:
        """Return none: the platform does not list nutmegshore instances."""
        return []

    async def _read_page(self, kind: str, after: str) -> Page:
        query = urlencode({'after': after}) if after else ''
        return parse_page(kind, await self._http.read(f'/{kind}?{query}'))

    async def _send_write(
        self, key: str, method: str, query: str = '', body: str | None = None
    ) -> StoreAnswer:
        path = f'/{quote(key)}{query}'
        answer = await self._http.write(path, method, body)
        if answer.status < HTTPStatus.MULTIPLE_CHOICES:
            return answer
        if answer.status == HTTPStatus.CONFLICT:
            raise VersionConflict(key, parse_conflicting(key, answer))
        raise status_error(key, answer.status)


def _name(key: str) -> str:
    return key.partition('/')[2]
