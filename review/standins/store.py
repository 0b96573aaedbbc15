"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import read_body, read_head, write_head

_STATUS = {200: 'OK', 404: 'Not Found', 409: 'Conflict'}


class Store:
    """Objects by kind and name with one revision counter.

    `cut_watches` closes the connections of the watches that wait, which the
    protocol allows at any time.
    """

    def __init__(self):
        self.revision = 4
        self.by_kind = {}
        self.log = []
        self.waiting = set()
        self._changed = asyncio.Event()
        self._server = None

    async def open(self, host):
        """Serve on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return '%s:%d' % self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()
        self.cut_watches()

    def put(self, kind, name, spec):
        """Create or replace an object."""
        kept = self.by_kind.setdefault(kind, {})
        self.revision += 1
        before = kept.get(name)
        created = before['Metadata']['CreatedAt'] if before else self.revision
        metadata = {
            'Name': name,
            'Revision': self.revision,
            'CreatedAt': created,
            'Finalizers': [],
            'Deleting': False,
        }
        kept[name] = {'Metadata': metadata, 'Spec': spec, 'Status': None}
        self._record(kind, kept[name], is_deleted=False)
        return kept[name]

    def delete(self, kind, name):
        """Remove an object."""
        removed = self.by_kind[kind].pop(name)
        self.revision += 1
        self._record(kind, removed, is_deleted=True)
        return removed

    def cut_watches(self):
        """Close the connections of all waiting watches; return how many."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    def _record(self, kind, stored, *, is_deleted):
        event = {'Object': stored, 'Deleted': is_deleted}
        self.log.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                status, answer = await self._handle(head, body, writer)
                encoded = json.dumps(answer).encode()
                headers = (
                    ('Content-Type', 'application/json'),
                    ('Content-Length', len(encoded)),
                )
                start = f'HTTP/1.1 {status} {_STATUS[status]}'
                writer.write(write_head(start, headers) + encoded)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, head, body, writer):
        method, target = head.start[0], head.start[1]
        url = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split('/')[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if method == 'GET':
            return await self._read(kind, name, query, writer)
        return self._write(method, kind, name, query, body)

    async def _read(self, kind, name, query, writer):
        kept = self.by_kind.get(kind, {})
        if name:
            stored = kept.get(name)
            return (200, stored) if stored else (404, {'Error': 'none'})
        if 'Watch' in query:
            return 200, await self._watch(kind, query, writer)
        names = sorted(one for one in kept if one > query.get('after', ''))
        items = [kept[one] for one in names]
        page = {'items': items, 'HasMore': False}
        return 200, {**page, 'StoreRevision': self.revision}

    async def _watch(self, kind, query, writer):
        after = int(query['Watch'])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get('WaitMs', 0)) / 1000
        self.waiting.add(writer)
        try:
            while not self._events(kind, after):
                left_s = ends_at - loop.time()
                if left_s <= 0:
                    break
                changed = self._changed
                try:
                    await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
                except TimeoutError:
                    pass
                if writer.is_closing():
                    raise ConnectionError('cut')
        finally:
            self.waiting.discard(writer)
        return {
            'events': self._events(kind, after),
            'StoreRevision': self.revision,
        }

    def _events(self, kind, after):
        return [
            event
            for revision, changed, event in self.log
            if revision > after and changed == kind
        ]

    def _write(self, method, kind, name, query, body):
        submitted = json.loads(body) if body else {}
        name = name or submitted.get('Metadata', {}).get('Name', '')
        present = self.by_kind.get(kind, {}).get(name)
        expected = submitted.get('Metadata', {}).get('Revision')
        expected = expected or query.get('Revision')
        if method == 'POST' and present is not None:
            return 409, present
        if method != 'POST' and present is None:
            return 404, {'Error': 'none'}
        if expected and int(expected) != present['Metadata']['Revision']:
            return 409, present
        if method == 'DELETE':
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, submitted['Spec'])
