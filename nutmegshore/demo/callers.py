"""Callers that look up entries, send requests and keep their own ledger."""

import asyncio
import hashlib
import json
import random
from collections.abc import Callable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.demo.http_request import HttpResult, NotAccepted, send_request
from nutmegshore.demo.ledgers import (
    Asked,
    CallerConclusion,
    CallerLedger,
    CallerResult,
)
from nutmegshore.demo.upstreams import (
    CALLER_REGION,
    DIGEST,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
)

__all__ = (
    'Caller',
    'CallerSetting',
    'Kind',
    'judge',
    'make_kinds',
    'run_callers',
)

_LIMIT_S = 6
_LOOKUP_LIMIT_S = 2
_DEADLINE_MS = 5000
#: Part of the answered requests with a key that are repeated all the same.
_REPEAT_SHARE = 0.1
_MAX_SENDS = 3
_OK = 200
_LOOKUP_WEIGHT = 0.65
_WRITE_WEIGHT = 0.2
_UPLOAD_WEIGHT = 0.08
_BULK_WEIGHT = 0.07
_WRITE_BYTES = 200
_UPLOAD_BYTES = 300_000


@attrs.frozen
class Kind:
    """One kind of request: its service, size and part of the mix."""

    service: str
    weight: float
    body_bytes: int = 0
    is_keyed: bool = False


@attrs.frozen
class CallerSetting:
    """What all callers share.

    `phase()` names the present phase of the run, and
    `is_crashing_upstreams()` says whether an upstream was killed during the
    last seconds.
    """

    kinds: tuple[Kind, ...]
    ledger: CallerLedger
    clock: Clock
    phase: Callable[[], str]
    is_crashing_upstreams: Callable[[], bool]


@attrs.define
class _RequestPlan:
    """One request and its repeats, which share the key."""

    kind: Kind
    key: str
    body: bytes


class Caller:
    """One caller in one region; `run` goes on until it is cancelled."""

    def __init__(
        self,
        name: str,
        region: str,
        first_entries: list[str],
        setting: CallerSetting,
        rng: random.Random,
    ) -> None:
        """Know the addresses of the region's entries for the first look-up."""
        self._name = name
        self._region = region
        self._known = list(first_entries)
        self._setting = setting
        self._rng = rng
        self._entries: list[str] = []
        self._valid_until = float(0)
        self._sent = 0

    async def run(self, think_s: float, is_ending: Callable[[], bool]) -> None:
        """Send requests, each after a pause, until the run ends."""
        while not is_ending():
            pause_s = self._rng.uniform(think_s / 2, think_s * 3 / 2)
            await self._setting.clock.sleep(pause_s)
            await self._send_and_repeat(self._draw())

    def _draw(self) -> _RequestPlan:
        kinds = self._setting.kinds
        weights = [kind.weight for kind in kinds]
        kind = self._rng.choices(kinds, weights)[0]
        key = f'{self._name}-k{self._sent}' if kind.is_keyed else ''
        body = b''
        if kind.body_bytes:
            body = self._rng.randbytes(kind.body_bytes)
        return _RequestPlan(kind, key, body)

    async def _send_and_repeat(self, wish: _RequestPlan) -> None:
        """Send, and repeat a request with a key through another entry."""
        turn = 0
        while turn < _MAX_SENDS:
            told = await self._ask(wish, turn)
            turn += 1
            is_open = told is CallerConclusion.UNKNOWN
            is_repeated = is_open or self._rng.random() < _REPEAT_SHARE
            if not (wish.key and is_repeated):
                return

    async def _ask(self, wish: _RequestPlan, turn: int) -> CallerConclusion:
        self._sent += 1
        request_id = f'{self._name}-{self._sent}'
        phase = self._setting.phase()
        began = self._setting.clock.now()
        await self._refresh()
        verdict = await self._try_entries(wish, request_id, turn)
        self._setting.ledger.asked.append(
            Asked(
                phase=phase,
                service=wish.kind.service,
                request_id=request_id,
                key=wish.key,
                began=began,
                ended=self._setting.clock.now(),
                verdict=verdict,
            ),
        )
        return verdict.told

    async def _try_entries(
        self,
        wish: _RequestPlan,
        request_id: str,
        turn: int,
    ) -> CallerResult:
        """Use the first entry of the answer that accepts a connection."""
        start = turn % max(len(self._entries), 1)
        head = self._head(wish, request_id)
        untried = self._entries[start:] + self._entries[:start]
        while untried:
            address = untried.pop(0)
            try:
                came = await send_request(address, head, wish.body, _LIMIT_S)
            except NotAccepted:
                self._valid_until = 0
                continue
            wanted = wish.key or request_id
            return judge(
                came, wanted, wish.body, self._setting.is_crashing_upstreams()
            )
        return CallerResult(CallerConclusion.NOT_RUN, reason='not_accepted')

    def _head(self, wish: _RequestPlan, request_id: str) -> str:
        method = 'POST' if wish.body else 'GET'
        service = wish.kind.service
        # Repeats of a key must be equal, so the path names the caller only.
        lines = [
            f'{method} /{service}/{self._name} HTTP/1.1',
            'Host: demo',
            'Connection: close',
            f'{CALLER_REGION}: {self._region}',
            f'{REQUEST_ID}: {request_id}',
            f'Nutmegshore-Deadline-Ms: {_DEADLINE_MS}',
        ]
        if wish.body:
            length = len(wish.body)
            lines.append('Content-Type: application/octet-stream')
            lines.append(f'Content-Length: {length}')
        if wish.key:
            lines.append(f'{IDEMPOTENCY_KEY}: {wish.key}')
        return '\r\n'.join((*lines, '', ''))

    async def _refresh(self) -> None:
        """Ask again for entries when the cached answer has expired."""
        if self._setting.clock.now() < self._valid_until:
            return
        head = 'GET /lookup HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n'
        untried = self._rng.sample(self._known, len(self._known))
        while untried:
            address = untried.pop()
            asked_at = self._setting.clock.now()
            try:
                came = await send_request(address, head, b'', _LOOKUP_LIMIT_S)
            except (NotAccepted, TimeoutError):
                continue
            if came.status == _OK and came.is_whole:
                self._take(came.body, asked_at)
                return

    def _take(self, body: bytes, asked_at: float) -> None:
        found = json.loads(body)
        self._entries = [entry['address'] for entry in found['entries']]
        self._valid_until = asked_at + found['lifetime_seconds']


def judge(
    came: HttpResult,
    wanted: str,
    sent: bytes,
    is_crashing_upstreams: bool,
) -> CallerResult:
    """Say what an exchange tells its caller.

    A connection that ends without a whole answer is cut unless an upstream
    was killed; so is an answer that its digest does not match.
    """
    outcome = came.headers.get('nutmegshore-outcome', '')
    error = came.headers.get('nutmegshore-error', '')
    if came.failure == 'timeout':
        return CallerResult(CallerConclusion.UNKNOWN, reason='timeout')
    if not came.is_whole:
        reason = came.failure or 'short'
        return CallerResult(
            CallerConclusion.UNKNOWN,
            is_cut=not is_crashing_upstreams,
            reason=reason,
        )
    if error or outcome != 'upstream':
        told = (
            CallerConclusion.NOT_RUN
            if outcome == 'not-run'
            else CallerConclusion.UNKNOWN
        )
        return CallerResult(told, reason=error or f'status {came.status}')
    digest = came.headers.get(DIGEST.lower(), '')
    if digest != hashlib.sha256(came.body).hexdigest():
        return CallerResult(
            CallerConclusion.UNKNOWN, is_cut=True, reason='digest'
        )
    return _judge_content(came.body, wanted, sent)


def _judge_content(body: bytes, wanted: str, sent: bytes) -> CallerResult:
    first = json.loads(body.partition(b'\n')[0])
    received = hashlib.sha256(sent).hexdigest()
    if first['answers'] != wanted or first['received'] != received:
        return CallerResult(
            CallerConclusion.UNKNOWN, is_wrong=True, reason='wrong answer'
        )
    return CallerResult(CallerConclusion.ANSWERED)


def make_kinds(services: list[str]) -> tuple[Kind, ...]:
    """The mix: look-ups, keyed writes, uploads and bulk reads."""
    lookup, write, upload, bulk = services
    return (
        Kind(lookup, _LOOKUP_WEIGHT),
        Kind(write, _WRITE_WEIGHT, _WRITE_BYTES, is_keyed=True),
        Kind(upload, _UPLOAD_WEIGHT, _UPLOAD_BYTES),
        Kind(bulk, _BULK_WEIGHT),
    )


async def run_callers(
    callers: list[Caller],
    think_s: float,
    is_ending: Callable[[], bool],
) -> None:
    """Run callers together until the run ends."""
    await asyncio.gather(
        *(caller.run(think_s, is_ending) for caller in callers),
    )
