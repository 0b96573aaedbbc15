"""Callers of a soak, and the judge of what they get."""

import asyncio
import collections
import contextlib
import re

import attrs

_LENGTH = re.compile(rb'(?i)\r\ncontent-length: ([0-9]+)\r\n')
_ID = re.compile(rb'(?i)\r\nrequest-id: *([^\r]*)')
_HEAD = (
    '{method} /{route}/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n'
    'Content-Length: {length}\r\n\r\n'
)
_BODY = b'a body of some bytes'
_SOUND = b'sound!'
_ANSWER_S = 10
_PAUSE_S = 0.02


@attrs.define
class Judge:
    """Counts what callers got, and keeps what no caller may get.

    `stopping` are the ports of gateways that were told to stop.
    """

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    breaches: list = attrs.field(factory=list)
    stopping: set = attrs.field(factory=set)
    runs_by_id: collections.Counter = attrs.field(factory=collections.Counter)

    def record_run(self, head):
        """An upstream has read a request; an unsafe one must run once."""
        found = _ID.search(head)
        request_id = found[1].decode() if found else ''
        self.runs_by_id[request_id] += 1
        if request_id.endswith('write') and self.runs_by_id[request_id] > 1:
            self.breaches.append(f'{request_id} ran again')

    def record_answer(self, request_id, head, body):
        """A caller got a whole answer."""
        status = head.split(b' ', 2)[1].decode()
        self.counts[status] += 1
        is_own = status == '200' and body == _SOUND
        is_refusal = status in {'502', '503', '504'}
        if b'alformed' in head + body or not (is_own or is_refusal):
            self.breaches.append(f'{request_id} got {head!r} {body!r}')

    def record_none(self, request_id, port, failure):
        """A caller's connection ended without a whole answer."""
        if port in self.stopping:
            self.counts['closed by a stop'] += 1
        else:
            self.breaches.append(f'{request_id} got none: {failure!r}')


@attrs.define
class Caller:
    """Sends one request after the other on a connection while it lasts."""

    name: str
    by_gateway: dict
    judge: Judge
    rng: object
    is_ending: bool = False

    async def run(self):
        """Call until told to end."""
        count = 0
        while not self.is_ending:
            child = self.by_gateway[self.rng.choice(sorted(self.by_gateway))]
            with contextlib.suppress(ConnectionRefusedError):
                count = await self._use_connection(child.port, count)
            await asyncio.sleep(_PAUSE_S)

    async def _use_connection(self, port, count):
        """Send requests up to the connection's end; returns their count."""
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        with contextlib.closing(writer):
            is_open = True
            while is_open and not self.is_ending:
                count += 1
                is_open = await self._ask(reader, writer, port, count)
                await asyncio.sleep(self.rng.uniform(0, _PAUSE_S))
        return count

    async def _ask(self, reader, writer, port, count):
        """Send a request; False if the connection cannot take another."""
        route = self.rng.choice(('read', 'write'))
        request_id = f'{self.name}-{port}-{count}-{route}'
        body = self.rng.choice((b'', _BODY))
        head = _HEAD.format(
            method='POST' if route == 'write' else 'GET',
            route=route,
            id=request_id,
            length=len(body),
        )
        try:
            async with asyncio.timeout(_ANSWER_S):
                writer.write(head.encode() + body)
                came = await reader.readuntil(b'\r\n\r\n')
                length = int(_LENGTH.search(came)[1])
                answer = await reader.readexactly(length)
        except (EOFError, OSError, TimeoutError) as failure:
            self.judge.record_none(request_id, port, failure)
            return False
        self.judge.record_answer(request_id, came, answer)
        return b'close' not in came
