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
from nutmegshore.caps.clock_drift import MAX_SEND_DELAY_S
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
#: More candidates than owners, to replace owners that are dead.
_MAX_CANDIDATES = MAX_OWNERS + 3

LoanMessage = LoanRequest | Loan | LoanReturn


class Caps:
    """Enforces the caps of shifts and limits over all entries together.

    `try_acquire` is called in the same step as the request is sent. If a
    caller has to wait in between, it calls `is_sendable` right before it
    sends the request, and acquires again if that returns False.

        if caps.try_acquire('shift', 'west-to-north'):
            send()

    `rng` must differ for each process, even one that restarts under the same
    name: it draws the identities that distinguish processes.
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
        self._dependencies = CapDependencies(
            platform, peers, clock, rng, counters, peers.local.incarnation
        )
        self._by_object: dict[tuple[str, str], dict[str, Cap]] = {}
        self._by_key: dict[str, Cap] = {}
        self._syncs: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._is_open = False
        table.subscribe(self._apply_changes)
        for message_type in (LoanRequest, Loan, LoanReturn):
            peers.subscribe(message_type, self._handle_message)

    async def start(self) -> None:
        """Apply the declared caps and start to renew shares."""
        self._is_open = True
        self._apply_changes(list(self._table.iter_all()))
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Refuse further units, release shares and loans, end all tasks.

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
        """Acquire units for one request, of all its measures or of none.

        `units` are requests and `size_bytes` the bytes about to be sent; a
        stream acquires its later pieces with `units=0`. Returns False if no
        such object is declared.
        """
        caps = self._by_object.get((kind, name))
        if not caps or not self._is_open:
            return False
        now = self._dependencies.clock.now()
        counts = {
            cap: _units_of(measure, units, size_bytes)
            for measure, cap in caps.items()
        }
        answers = [cap.can_acquire(now, count) for cap, count in counts.items()]
        if not all(answers):
            self._dependencies.counters.add(
                'cap_refusals', kind=kind, name=name
            )
            return False
        for cap, count in counts.items():
            cap.holding.usage.record(now, count)
        return True

    def is_sendable(self, acquired_at: float) -> bool:
        """Whether a request may still be sent with units acquired then.

        `acquired_at` is the reading of the clock at `try_acquire`. After a
        few milliseconds another entry may be using the units.
        """
        return self._dependencies.clock.now() - acquired_at <= MAX_SEND_DELAY_S

    def release(self, kind: str, name: str, units: int = 1) -> None:
        """Release units of concurrency when the request has ended."""
        cap = self._by_object.get((kind, name), {}).get(CONCURRENCY)
        if cap is not None:
            cap.holding.usage.release(units)

    def status(self, kind: str, name: str) -> tuple[CapStatus, ...]:
        """State of each measure; empty where nothing is declared."""
        caps = self._by_object.get((kind, name), {})
        return tuple(cap.status() for _, cap in sorted(caps.items()))

    def _apply_changes(self, changed: list[Envelope]) -> None:
        if not self._is_open:
            return
        for envelope in changed:
            is_capped = isinstance(envelope.spec, (Shift, Limit))
            is_known = (envelope.kind, envelope.name) in self._by_object
            if is_capped or is_known:
                self._apply_object(envelope)

    def _apply_object(self, envelope: Envelope) -> None:
        """Apply the caps of an object, and end those it no longer has."""
        declared = declared_caps(envelope)
        subject = (envelope.kind, envelope.name)
        present = self._by_object.get(subject, {})
        caps = {measure: self._cap(*subject, measure) for measure in declared}
        self._by_object[subject] = caps
        for measure, cap in {**present, **caps}.items():
            cap.declare(envelope.generation, declared.get(measure))

    def _cap(self, kind: str, name: str, measure: str) -> Cap:
        key = ledger_key(kind, name, measure)
        cap = self._by_key.get(key)
        if cap is None:
            cap = Cap(kind, name, measure, self._dependencies)
            self._by_key[key] = cap
        return cap

    async def _run(self) -> None:
        while True:
            self._tick()
            await self._dependencies.clock.sleep(_TICK_S)

    def _tick(self) -> None:
        now = self._dependencies.clock.now()
        live = sorted(self._dependencies.peers.live())
        local = self._dependencies.peers.local.name
        expected_owners = max(min(len(live), MAX_OWNERS), 1)
        for key, cap in self._by_key.items():
            cap.balance(now)
            self._collect_sync(key)
            is_candidate = _is_candidate(key, local, live)
            is_sync_due = cap.is_sync_due(now, is_candidate=is_candidate)
            if is_sync_due and key not in self._syncs:
                self._syncs[key] = asyncio.create_task(
                    cap.sync(expected_owners, is_candidate=is_candidate),
                )

    def _collect_sync(self, key: str) -> None:
        """Drop a finished sync; an unexpected failure ends the caps' task."""
        task = self._syncs.get(key)
        if task is not None and task.done():
            self._syncs.pop(key).result()

    def _handle_message(self, sender: str, body: LoanMessage) -> None:
        cap = self._by_key.get(body.cap)
        if cap is not None and self._is_open:
            cap.handle_message(sender, body)


def _units_of(measure: str, units: int, size_bytes: int) -> int:
    if measure == BYTES:
        return -(-size_bytes // BYTES_PER_UNIT)
    return units


def _is_candidate(key: str, local: str, live: list[str]) -> bool:
    if len(live) <= _MAX_CANDIDATES:
        return True
    ranked = sorted(live, key=lambda name: _rendezvous_hash(key, name))
    return local in ranked[:_MAX_CANDIDATES]


def _rendezvous_hash(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}\0{name}'.encode()).digest()
