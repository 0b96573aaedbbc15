"""A small stand-in of the platform's metadata store, with its faults."""

import asyncio
import contextlib
import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

__all__ = ('StandinStore', 'StoreFaults', 'make_store_application')

_FIRST_REVISION = 4
_PAGE = 500
_MS_PER_S = 1000
_METADATA = 'Metadata'

_Object = dict[str, Any]


@attrs.define
class StoreFaults:
    """Faults of the store.

    `status` answers every call with an error, `delay_s` slows each answer,
    `lost_answers` is the number of next writes that are done and not
    answered, `late_s` does writes so much later and answers none of them, and
    `reads_left` are the reads after which 429 is answered.
    """

    status: int = 0
    delay_s: float = 0
    lost_answers: int = 0
    late_s: float = 0
    reads_left: int | None = None

    def consume_lost_answer(self) -> bool:
        """Use up one lost answer, if any is left."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True

    def consume_read(self) -> bool:
        """Use up one read; False where the rate is used up."""
        if self.reads_left is None:
            return True
        self.reads_left -= 1
        return self.reads_left >= 0


class StandinStore:
    """Objects by kind and name, under one revision counter.

    store = StandinStore()
    store.put('servers', 'i-1', {'Addr': '127.0.0.1:1'})
    store.compact()  # watches from before answer 410
    """

    def __init__(self) -> None:
        """Start empty and reachable."""
        self.revision = _FIRST_REVISION
        self.faults = StoreFaults()
        self.calls = 0
        self.late_writes: list[asyncio.TimerHandle] = []
        self._by_kind: dict[str, dict[str, _Object]] = {}
        self._stale: dict[str, dict[str, _Object]] = {}
        self._log: list[tuple[int, str, bool, _Object]] = []
        self._history_from = 0
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> _Object:
        """Create or replace an object as its owner would."""
        known = self.get(kind, name)
        created = known[_METADATA]['CreatedAt'] if known else self.revision + 1
        self.revision += 1
        metadata = {
            'Name': name,
            'Revision': self.revision,
            'CreatedAt': created,
            'Finalizers': [],
            'Deleting': False,
        }
        made = {_METADATA: metadata, 'Spec': spec, 'Status': None}
        self._by_kind.setdefault(kind, {})[name] = made
        self._record(kind, made, is_deleted=False)
        return made

    def mark_deleting(self, kind: str, name: str) -> None:
        """Remove an object, or mark it while it has finalizers."""
        found = self._by_kind[kind][name]
        if not found[_METADATA]['Finalizers']:
            self.delete(kind, name)
            return
        self.revision += 1
        found[_METADATA].update(Deleting=True, Revision=self.revision)
        self._record(kind, found, is_deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        gone = self._by_kind[kind].pop(name)
        self.revision += 1
        self._record(kind, gone, is_deleted=True)

    def get(self, kind: str, name: str) -> _Object | None:
        """An object, or None where there is none."""
        return self._by_kind.get(kind, {}).get(name)

    def compact(self) -> None:
        """Forget the history, and cut the watches that wait."""
        self._history_from = self.revision
        self._log.clear()
        self._wake()

    def keep_stale(self) -> None:
        """Answer stale reads with the objects as they are now."""
        self._stale = {kind: dict(own) for kind, own in self._by_kind.items()}

    def page(
        self,
        kind: str,
        after: str,
        *,
        is_stale: bool,
    ) -> tuple[list[_Object], bool]:
        """Objects of a kind after a name, and whether there are more."""
        source = self._stale if is_stale else self._by_kind
        known = source.get(kind, {})
        names = sorted(name for name in known if name > after)
        listed = [known[name] for name in names[:_PAGE]]
        return listed, len(names) > _PAGE

    def has_history(self, revision: int) -> bool:
        """Whether the changes since a revision are still known."""
        return revision >= self._history_from

    def iter_events(self, kind: str, after: int) -> Iterator[_Object]:
        """Changes of a kind after a revision, as a watch delivers them."""
        for revision, changed_kind, is_deleted, found in self._log:
            if revision > after and changed_kind == kind:
                yield {'Object': found, 'Deleted': is_deleted}

    async def wait_change(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _record(self, kind: str, found: _Object, *, is_deleted: bool) -> None:
        self._log.append((self.revision, kind, is_deleted, found))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _ObjectsHandler(RequestHandler):
    """Calls on a kind or on one object."""

    def initialize(self, store: StandinStore, faults: StoreFaults) -> None:
        """Serve the objects of a store, with the faults of one way to it."""
        self._store = store
        self._faults = faults

    async def prepare(self) -> None:
        """Count the call, and answer it with the fault in force."""
        faults = self._faults
        self._store.calls += 1
        await asyncio.sleep(faults.delay_s)
        is_read = self.request.method == 'GET'
        if faults.status:
            self.send_error(faults.status)
        elif is_read and not faults.consume_read():
            self.send_error(HTTPStatus.TOO_MANY_REQUESTS)

    async def get(self, kind: str, name: str | None) -> None:
        """List, watch, or read one object."""
        if name:
            self._answer(self._store.get(kind, name))
        elif self.get_query_argument('Watch', ''):
            await self._watch(kind)
        else:
            self._list(kind)

    async def post(self, kind: str, name: str | None) -> None:
        """Create the object that the body names."""
        found = json.loads(self.request.body)
        wanted = found[_METADATA]['Name']
        present = self._store.get(kind, wanted)
        if present is not None:
            self._conflict(present)
            return
        self._finish_write(self._store.put(kind, wanted, found['Spec']))

    async def put(self, kind: str, name: str) -> None:
        """Replace an object if it is at the revision of the body."""
        found = json.loads(self.request.body)
        if self._faults.late_s:
            self._put_late(kind, name, found)
            return
        present = self._store.get(kind, name)
        if present is None:
            self._answer(None)
        elif _fits(found, present):
            self._finish_write(self._store.put(kind, name, found['Spec']))
        else:
            self._conflict(present)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object if it is at the revision of the query."""
        present = self._store.get(kind, name)
        wanted = self.get_query_argument('Revision', '')
        if present is None:
            self._answer(None)
        elif wanted and int(wanted) != present[_METADATA]['Revision']:
            self._conflict(present)
        else:
            self._store.mark_deleting(kind, name)
            self._finish_write(present)

    def _put_late(self, kind: str, name: str, found: _Object) -> None:
        """Answer nothing, and write later if the condition still holds."""
        loop = asyncio.get_running_loop()
        late = loop.call_later(
            self._faults.late_s,
            _put_if_fits,
            self._store,
            kind,
            name,
            found,
        )
        self._store.late_writes.append(late)
        self.request.connection.stream.close()

    def _list(self, kind: str) -> None:
        listed, has_more = self._store.page(
            kind,
            self.get_query_argument('after', ''),
            is_stale=self.get_query_argument('AllowStale', '') == '1',
        )
        self.write(
            {
                'items': listed,
                'HasMore': has_more,
                'StoreRevision': self._store.revision,
            },
        )

    async def _watch(self, kind: str) -> None:
        after = int(self.get_query_argument('Watch'))
        wait_s = int(self.get_query_argument('WaitMs')) / _MS_PER_S
        # A watch without changes answers with none.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wait_event(kind, after)
        if self._store.has_history(after):
            events = list(self._store.iter_events(kind, after))
            position = self._store.revision
            self.write({'events': events, 'StoreRevision': position})
        else:
            self.send_error(HTTPStatus.GONE)

    async def _wait_event(self, kind: str, after: int) -> None:
        while self._store.has_history(after):
            if any(self._store.iter_events(kind, after)):
                return
            await self._store.wait_change()

    def _finish_write(self, written: _Object) -> None:
        if self._faults.consume_lost_answer():
            self.request.connection.stream.close()
            return
        self._answer(written)

    def _conflict(self, present: _Object) -> None:
        self.set_status(HTTPStatus.CONFLICT)
        self.write(present)

    def _answer(self, found: _Object | None) -> None:
        if found is None:
            self.send_error(HTTPStatus.NOT_FOUND)
        else:
            self.write(found)


def _fits(found: _Object, present: _Object) -> bool:
    """Whether a write's condition holds for an object."""
    revision = present[_METADATA]['Revision']
    return found[_METADATA].get('Revision') in {None, revision}


def _put_if_fits(
    store: StandinStore,
    kind: str,
    name: str,
    found: _Object,
) -> None:
    present = store.get(kind, name)
    if present is not None and _fits(found, present):
        store.put(kind, name, found['Spec'])


def make_store_application(
    store: StandinStore,
    faults: StoreFaults | None = None,
) -> Application:
    """Tornado application that serves a store's objects.

    Without faults of its own it has those of the store. Several applications
    with their own are as many machines, some of which the store turns away.
    """
    path = r'/objects/([^/]+)(?:/([^/]+))?'
    options = {'store': store, 'faults': faults or store.faults}
    return Application([(path, _ObjectsHandler, options)])
