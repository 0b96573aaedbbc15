"""The caps of one instance."""

import asyncio
import hashlib
import random

from nutmegshore.caps.cap import Cap, CapStatus, CapDependencies
from nutmegshore.caps.declared import (
    BYTES,
    BYTES_PER_UNIT,
    CONCURRENCY,
    declared_caps,
)
from nutmegshore.caps.drift import SEND_S
from nutmegshore.caps.ledger import MAX_OWNERS, ledger_key
from nutmegshore.caps.loans import Loan, LoanRequest, LoanReturn
from nutmegshore.clock import Clock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers
from nutmegshore.store import Platform
from nutmegshore.resources import Envelope, Limit, Shift

__all__ = ('Caps',)

_TICK_S = 0.25
#: Candidates beyond the owners stand in for those that are dead.
_CANDIDATES = MAX_OWNERS + 3

LoanMessage = LoanRequest | Loan | LoanReturn


class Caps:
    """Keeps the caps of shifts and limits together with the other entries.

    `try_acquire` is called in the same step as the request is sent. A caller
    that has to wait between the two asks `is_sendable` right before it sends
    and, if that is false, takes again.

        if caps.try_acquire('shift', 'west-to-north'):
            send()

    `rng` must differ for each process, also under the same name: it draws
    the identities by which processes tell themselves apart.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        platform: Platform,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Follow a table; nothing is read or sent before `start`."""
        self._table = table
        self._around = CapDependencies(
            platform, peers, clock, rng, counters, peers.local.incarnation
        )
        self._by_object: dict[tuple[str, str], dict[str, Cap]] = {}
        self._by_key: dict[str, Cap] = {}
        self._syncs: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._is_open = False
        table.subscribe(self._follow)
        for message_type in (LoanRequest, Loan, LoanReturn):
            peers.subscribe(message_type, self._receive)

    async def start(self) -> None:
        """Take up the declared caps and begin to keep shares."""
        self._is_open = True
        self._follow(list(self._table.iter_all()))
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Refuse further units, hand shares and loans back, end all tasks.

        Takes a little more than a second where units were owned.
        """
        self._is_open = False
        tasks = list(self._syncs.values())
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*[cap.leave() for cap in self._by_key.values()])
        for failure in ended:
            if isinstance(failure, Exception):
                raise failure

    def try_acquire(
        self,
        kind: str,
        name: str,
        units: int = 1,
        size_bytes: int = 0,
    ) -> bool:
        """Use units for one request, of all its measures or of none.

        `units` are requests and `size_bytes` the bytes about to be sent; a
        stream takes its later pieces with `units=0`. Without such an object
        nothing may be used.
        """
        caps = self._by_object.get((kind, name))
        if not caps or not self._is_open:
            return False
        now = self._around.clock.now()
        wanted = {
            cap: _units_of(measure, units, size_bytes)
            for measure, cap in caps.items()
        }
        answers = [cap.can_take(now, count) for cap, count in wanted.items()]
        if not all(answers):
            self._around.counters.add('cap_refusals', kind=kind, name=name)
            return False
        for cap, count in wanted.items():
            cap.holding.usage.take(now, count)
        return True

    def is_sendable(self, taken_at: float) -> bool:
        """Whether a request whose units were taken then may still be sent.

        `taken_at` is the reading of the clock at `try_acquire`. Later than a
        few milliseconds the units may belong to another entry.
        """
        return self._around.clock.now() - taken_at <= SEND_S

    def release(self, kind: str, name: str, units: int = 1) -> None:
        """Give back units of concurrency when the request has ended."""
        cap = self._by_object.get((kind, name), {}).get(CONCURRENCY)
        if cap is not None:
            cap.holding.usage.release(units)

    def status(self, kind: str, name: str) -> tuple[CapStatus, ...]:
        """State of each measure; empty where nothing is declared."""
        caps = self._by_object.get((kind, name), {})
        return tuple(cap.status() for _, cap in sorted(caps.items()))

    def _follow(self, newer: list[Envelope]) -> None:
        if not self._is_open:
            return
        for envelope in newer:
            is_capped = isinstance(envelope.spec, (Shift, Limit))
            is_known = (envelope.kind, envelope.name) in self._by_object
            if is_capped or is_known:
                self._follow_one(envelope)

    def _follow_one(self, envelope: Envelope) -> None:
        """Take up the caps of an object, and end those it no longer has."""
        declared = declared_caps(envelope)
        subject = (envelope.kind, envelope.name)
        present = self._by_object.get(subject, {})
        caps = {measure: self._cap(*subject, measure) for measure in declared}
        self._by_object[subject] = caps
        for measure, cap in {**present, **caps}.items():
            cap.follow(envelope.generation, declared.get(measure))

    def _cap(self, kind: str, name: str, measure: str) -> Cap:
        key = ledger_key(kind, name, measure)
        cap = self._by_key.get(key)
        if cap is None:
            cap = Cap(kind, name, measure, self._around)
            self._by_key[key] = cap
        return cap

    async def _run(self) -> None:
        while True:
            self._tick()
            await self._around.clock.sleep(_TICK_S)

    def _tick(self) -> None:
        now = self._around.clock.now()
        live = sorted(self._around.peers.live())
        local = self._around.peers.local.name
        parts = max(min(len(live), MAX_OWNERS), 1)
        for key, cap in self._by_key.items():
            cap.balance(now)
            self._reap(key)
            is_candidate = _is_candidate(key, local, live)
            is_due = cap.is_due(now, is_candidate=is_candidate)
            if is_due and key not in self._syncs:
                self._syncs[key] = asyncio.create_task(
                    cap.sync(parts, is_candidate=is_candidate),
                )

    def _reap(self, key: str) -> None:
        """Forget a sync that ended; an unexpected failure ends the caps."""
        task = self._syncs.get(key)
        if task is not None and task.done():
            self._syncs.pop(key).result()

    def _receive(self, sender: str, body: LoanMessage) -> None:
        cap = self._by_key.get(body.cap)
        if cap is not None and self._is_open:
            cap.receive(sender, body)


def _units_of(measure: str, units: int, size_bytes: int) -> int:
    if measure == BYTES:
        return -(-size_bytes // BYTES_PER_UNIT)
    return units


def _is_candidate(key: str, local: str, live: list[str]) -> bool:
    if len(live) <= _CANDIDATES:
        return True
    ranked = sorted(live, key=lambda name: _rendezvous(key, name))
    return local in ranked[:_CANDIDATES]


def _rendezvous(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}\0{name}'.encode()).digest()
