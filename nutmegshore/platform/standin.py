"""In-memory stand-in for the platform's metadata store, with faults."""

import asyncio
import contextlib
import copy
import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

__all__ = (
    'StandinStore',
    'StoreCopy',
    'StoreFaults',
    'make_store_application',
)

_FIRST_REVISION = 4
_FIRST_ERA = 1
_ERA_HEADER = 'Store-Era'
_PAGE_SIZE = 500
_MS_PER_S = 1000
_METADATA = 'Metadata'

_Object = dict[str, Any]


@attrs.define
class StoreFaults:
    """Faults to inject; times in seconds.

    A non-zero `status` is the answer to every call, and `delay_s` delays each
    answer. The next `lost_answers` writes are applied and not answered. With
    `late_s`, replacements are applied that much later and not answered. After
    `remaining_reads` reads, further reads are answered with 429; None means
    no limit. `era_text` replaces the era in each answer; the header is left
    out if it is empty. The next `outdated_listings` listings show the store
    as it was before its last restore, with the era of that time.
    """

    status: int = 0
    delay_s: float = 0
    lost_answers: int = 0
    late_s: float = 0
    remaining_reads: int | None = None
    era_text: str | None = None
    outdated_listings: int = 0

    def consume_lost_answer(self) -> bool:
        """Consume one lost answer; False if none remains."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True

    def consume_read(self) -> bool:
        """Consume one read; False if none remains."""
        if self.remaining_reads is None:
            return True
        self.remaining_reads -= 1
        return self.remaining_reads >= 0

    def consume_outdated_listing(self) -> bool:
        """Consume one outdated listing; False if none remains."""
        if self.outdated_listings <= 0:
            return False
        self.outdated_listings -= 1
        return True


@attrs.frozen
class StoreCopy:
    """Contents of a store at one moment, with its history and its era."""

    era: int
    revision: int
    by_kind: dict[str, dict[str, _Object]]
    stale_by_kind: dict[str, dict[str, _Object]]
    log: list[tuple[int, str, bool, _Object]]
    oldest_revision: int


class StandinStore:
    """Objects by kind and name, with one revision counter.

    store = StandinStore()
    store.put('servers', 'i-1', {'Addr': '127.0.0.1:1'})
    store.compact()  # watches from older revisions answer 410
    kept = store.copy()
    store.restore(kept)  # what was written since the copy is gone
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.era = _FIRST_ERA
        self.revision = _FIRST_REVISION
        self.watch_generation = 0
        self.are_watches_hung = False
        self.faults = StoreFaults()
        self.calls = 0
        self.late_writes: list[asyncio.TimerHandle] = []
        self._by_kind: dict[str, dict[str, _Object]] = {}
        self._stale_by_kind: dict[str, dict[str, _Object]] = {}
        self._log: list[tuple[int, str, bool, _Object]] = []
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self.outdated = self.copy()

    def copy(self) -> StoreCopy:
        """Copy the objects, the history and the revision."""
        return copy.deepcopy(
            StoreCopy(
                self.era,
                self.revision,
                self._by_kind,
                self._stale_by_kind,
                self._log,
                self._oldest_revision,
            ),
        )

    def restore(self, kept: StoreCopy, *, hangs_watches: bool = False) -> None:
        """Return to a copy in a new era.

        Waiting watches are closed without an answer, or never answered.
        """
        self.outdated = self.copy()
        restored = copy.deepcopy(kept)
        self.era += 1
        self.revision = restored.revision
        self.watch_generation += 1
        self.are_watches_hung = hangs_watches
        self._by_kind = restored.by_kind
        self._stale_by_kind = restored.stale_by_kind
        self._log = restored.log
        self._oldest_revision = restored.oldest_revision
        self._wake_watches()

    def cut_watches(self) -> None:
        """Close the waiting watches, as a store that goes away does."""
        self.watch_generation += 1
        self.are_watches_hung = False
        self._wake_watches()

    def put(self, kind: str, name: str, spec: Any) -> _Object:
        """Create or replace an object unconditionally."""
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
        stored = {_METADATA: metadata, 'Spec': spec, 'Status': None}
        self._by_kind.setdefault(kind, {})[name] = stored
        self._record(kind, stored, is_deleted=False)
        return stored

    def mark_deleting(self, kind: str, name: str) -> None:
        """Remove an object, or mark it as deleting if it has finalizers."""
        stored = self._by_kind[kind][name]
        if not stored[_METADATA]['Finalizers']:
            self.delete(kind, name)
            return
        self.revision += 1
        stored[_METADATA].update(Deleting=True, Revision=self.revision)
        self._record(kind, stored, is_deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, whatever its finalizers."""
        removed = self._by_kind[kind].pop(name)
        self.revision += 1
        self._record(kind, removed, is_deleted=True)

    def get(self, kind: str, name: str) -> _Object | None:
        """Return an object, or None if it does not exist."""
        return self._by_kind.get(kind, {}).get(name)

    def compact(self) -> None:
        """Drop the history and wake the waiting watches."""
        self._oldest_revision = self.revision
        self._log.clear()
        self._wake_watches()

    def snapshot_stale(self) -> None:
        """Snapshot the present objects for later stale reads."""
        self._stale_by_kind = {
            kind: dict(by_name) for kind, by_name in self._by_kind.items()
        }

    def page(
        self,
        kind: str,
        after: str,
        *,
        is_stale: bool,
    ) -> tuple[list[_Object], bool]:
        """Return objects of a kind after a name, and whether more follow."""
        source = self._stale_by_kind if is_stale else self._by_kind
        return _page(source.get(kind, {}), after)

    def has_history(self, revision: int) -> bool:
        """Whether the changes since a revision are still in the history."""
        return self._oldest_revision <= revision <= self.revision

    def iter_events(self, kind: str, after: int) -> Iterator[_Object]:
        """Yield the changes of a kind after a revision in watch format."""
        for revision, changed_kind, is_deleted, changed in self._log:
            if revision > after and changed_kind == kind:
                yield {'Object': changed, 'Deleted': is_deleted}

    async def wait_change(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _record(self, kind: str, changed: _Object, *, is_deleted: bool) -> None:
        self._log.append((self.revision, kind, is_deleted, changed))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _ObjectsHandler(RequestHandler):
    """Handles requests for a kind or for one object."""

    def initialize(self, store: StandinStore, faults: StoreFaults) -> None:
        """Serve a store's objects with the faults of this application."""
        self._store = store
        self._faults = faults
        self._answered_era: int | None = None

    def finish(self, chunk: Any = None) -> Any:
        """Add the era to each answer, also to errors."""
        era = self._answered_era or self._store.era
        era_text = self._faults.era_text
        if era_text is None:
            era_text = str(era)
        if era_text:
            self.set_header(_ERA_HEADER, era_text)
        return super().finish(chunk)

    async def prepare(self) -> None:
        """Count the call and apply the configured faults."""
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
        submitted = json.loads(self.request.body)
        new_name = submitted[_METADATA]['Name']
        present = self._store.get(kind, new_name)
        if present is not None:
            self._answer_conflict(present)
            return
        self._finish_write(self._store.put(kind, new_name, submitted['Spec']))

    async def put(self, kind: str, name: str) -> None:
        """Replace an object if it has the revision that the body expects."""
        submitted = json.loads(self.request.body)
        if self._faults.late_s:
            self._put_late(kind, name, submitted)
            return
        present = self._store.get(kind, name)
        if present is None:
            self._answer(None)
        elif _has_expected_revision(submitted, present):
            self._finish_write(self._store.put(kind, name, submitted['Spec']))
        else:
            self._answer_conflict(present)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object if it has the revision that the query expects."""
        present = self._store.get(kind, name)
        expected_revision = self.get_query_argument('Revision', '')
        if present is None:
            self._answer(None)
        elif (
            expected_revision
            and int(expected_revision) != present[_METADATA]['Revision']
        ):
            self._answer_conflict(present)
        else:
            self._store.mark_deleting(kind, name)
            self._finish_write(present)

    def _put_late(self, kind: str, name: str, submitted: _Object) -> None:
        """Close the connection and write later, if the revision still fits."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            self._faults.late_s,
            _put_if_expected,
            self._store,
            kind,
            name,
            submitted,
        )
        self._store.late_writes.append(timer)
        self.request.connection.stream.close()

    def _list(self, kind: str) -> None:
        after = self.get_query_argument('after', '')
        is_stale = self.get_query_argument('AllowStale', '') == '1'
        position = self._store.revision
        listed, has_more = self._store.page(kind, after, is_stale=is_stale)
        if self._faults.consume_outdated_listing():
            outdated = self._store.outdated
            self._answered_era = outdated.era
            position = outdated.revision
            listed, has_more = _page(outdated.by_kind.get(kind, {}), after)
        self.write(
            {'items': listed, 'HasMore': has_more, 'StoreRevision': position},
        )

    async def _watch(self, kind: str) -> None:
        after = int(self.get_query_argument('Watch'))
        wait_s = int(self.get_query_argument('WaitMs')) / _MS_PER_S
        generation = self._store.watch_generation
        # A watch that times out answers with an empty list of events.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._wait_event(kind, after, generation)
        if self._store.watch_generation == generation:
            self._answer_watch(kind, after)
        else:
            await self._end_cut_watch()

    def _answer_watch(self, kind: str, after: int) -> None:
        if self._store.has_history(after):
            events = list(self._store.iter_events(kind, after))
            position = self._store.revision
            self.write({'events': events, 'StoreRevision': position})
        else:
            self.send_error(HTTPStatus.GONE)

    async def _wait_event(self, kind: str, after: int, generation: int) -> None:
        while (
            self._store.watch_generation == generation
            and self._store.has_history(after)
        ):
            if any(self._store.iter_events(kind, after)):
                return
            await self._store.wait_change()

    async def _end_cut_watch(self) -> None:
        """Close the connection of a watch that was cut, or hang."""
        if self._store.are_watches_hung:
            await asyncio.Event().wait()
        self.request.connection.stream.close()

    def _finish_write(self, written: _Object) -> None:
        if self._faults.consume_lost_answer():
            self.request.connection.stream.close()
            return
        self._answer(written)

    def _answer_conflict(self, present: _Object) -> None:
        self.set_status(HTTPStatus.CONFLICT)
        self.write(present)

    def _answer(self, stored: _Object | None) -> None:
        if stored is None:
            self.send_error(HTTPStatus.NOT_FOUND)
        else:
            self.write(stored)


def _page(
    by_name: dict[str, _Object], after: str
) -> tuple[list[_Object], bool]:
    names = sorted(name for name in by_name if name > after)
    listed = [by_name[name] for name in names[:_PAGE_SIZE]]
    return listed, len(names) > _PAGE_SIZE


def _has_expected_revision(submitted: _Object, present: _Object) -> bool:
    """Whether a write expects the object's revision, or none."""
    revision = present[_METADATA]['Revision']
    return submitted[_METADATA].get('Revision') in {None, revision}


def _put_if_expected(
    store: StandinStore,
    kind: str,
    name: str,
    submitted: _Object,
) -> None:
    present = store.get(kind, name)
    if present is not None and _has_expected_revision(submitted, present):
        store.put(kind, name, submitted['Spec'])


def make_store_application(
    store: StandinStore,
    faults: StoreFaults | None = None,
) -> Application:
    """Return a Tornado application that serves a store's objects.

    The store's own faults apply by default. Several applications with
    separate faults represent client machines that the store treats
    differently.
    """
    path = r'/objects/([^/]+)(?:/([^/]+))?'
    options = {'store': store, 'faults': faults or store.faults}
    return Application([(path, _ObjectsHandler, options)])
