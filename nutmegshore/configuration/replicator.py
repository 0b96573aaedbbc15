"""Replicates the configuration between entries by push and anti-entropy."""

import asyncio
import random
from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.configuration.anti_entropy import AntiEntropy
from nutmegshore.configuration.messages import (
    Digest,
    Entries,
    EntriesRequest,
    Snapshot,
)
from nutmegshore.configuration.packing import (
    iter_batches,
    iter_snapshots,
    is_missing,
    read_snapshot,
    unpack_versions,
)
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import LinkError
from nutmegshore.peers import Peers
from nutmegshore.resources import Envelope, InvalidObject, parse_envelope

__all__ = ('DIGEST_INTERVAL_S', 'Replicator')

DIGEST_INTERVAL_S = 1
#: Changes within this time are sent in one message.
_PUSH_DELAY_S = 0.01
#: A larger difference is sent as a compressed snapshot.
_MAX_PUSHED_ENTRIES = 64
#: Number of digest rounds per digest to the reporter of the region.
_REPORTER_INTERVAL_ROUNDS = 5


class Replicator:
    """Forwards changes to neighbours and repairs differences between tables.

    A change is pushed to every neighbour except its source, and each
    neighbour forwards the entries that were new to it. A digest is sent to
    every neighbour each second; a receiver whose table never had this digest
    requests the missing entries.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Subscribe to the table and to the peers."""
        self.anti_entropy = AntiEntropy(table, peers, clock, counters)
        self.is_ready = False
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._pending_pushes = _PendingPushes()
        table.subscribe(self._handle_merged)
        peers.subscribe(Digest, self.anti_entropy.handle_digest)
        peers.subscribe(EntriesRequest, self._handle_request)
        peers.subscribe(Entries, self._handle_entries)
        peers.subscribe(Snapshot, self._handle_snapshot)

    async def run_pushes(self) -> None:
        """Push changes until cancelled."""
        while True:
            await self._pending_pushes.has_keys.wait()
            await self._clock.sleep(_PUSH_DELAY_S)
            self._push(self._pending_pushes.pop_all())

    async def run_digests(self) -> None:
        """Send digests until cancelled."""
        await self._clock.sleep(DIGEST_INTERVAL_S * self._rng.random())
        rounds = 0
        while True:
            self.send_digests(
                includes_reporter=rounds % _REPORTER_INTERVAL_ROUNDS == 0
            )
            rounds += 1
            await self._clock.sleep(DIGEST_INTERVAL_S)

    def send_digests(self, *, includes_reporter: bool) -> None:
        """Send the digest to the neighbours and the region's reporter."""
        digest = Digest(self._table.digest(), self.is_ready)
        names = set(self._peers.neighbours())
        self.anti_entropy.retain(names)
        if includes_reporter:
            names.add(self._reporter())
        for name in sorted(names - {self._peers.local.name}):
            self._peers.send(name, digest)

    def _reporter(self) -> str:
        """Name of the member that writes the object status in the region."""
        region = self._peers.local.region
        return min(
            name
            for name, member in self._peers.live().items()
            if member.region == region
        )

    def _handle_merged(self, newer: list[Envelope]) -> None:
        now = self._clock.now()
        self.anti_entropy.history.record(self._table.digest(), newer, now)
        self._pending_pushes.add(envelope.key for envelope in newer)

    def _push(self, by_key: dict[str, str]) -> None:
        if len(by_key) > _MAX_PUSHED_ENTRIES:
            # So many changes come from a listing or a snapshot, which most
            # neighbours already have.
            self.send_digests(includes_reporter=True)
            return
        for name in self._peers.neighbours():
            keys = [key for key, source in by_key.items() if source != name]
            self._send_entries(name, keys)
        reporter = self._reporter()
        if reporter != self._peers.local.name:
            digest = Digest(self._table.digest(), self.is_ready)
            self._peers.send(reporter, digest)

    def _send_entries(self, name: str, keys: list[str]) -> None:
        if not keys:
            return
        envelopes = [self._table.get(key) for key in keys]
        for bodies in iter_batches(envelopes):
            self._peers.send(name, Entries(bodies))

    def _handle_request(self, sender: str, request: EntriesRequest) -> None:
        try:
            versions = unpack_versions(request.versions)
        except LinkError as failure:
            self._counters.add('malformed', reason=failure.kind.value)
            return
        missing = [
            envelope
            for envelope in self._table.iter_all()
            if is_missing(versions, envelope)
        ]
        if not request.versions or len(missing) > _MAX_PUSHED_ENTRIES:
            self._counters.add('snapshots_sent')
            for chunk in iter_snapshots(missing, is_ready=self.is_ready):
                self._peers.send(sender, chunk)
            return
        for bodies in iter_batches(missing):
            self._peers.send(sender, Entries(bodies, is_answer=True))

    def _handle_entries(self, sender: str, entries: Entries) -> None:
        self._merge(sender, entries.bodies)
        if entries.is_answer:
            self.anti_entropy.finish_request(sender)

    def _handle_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        try:
            bodies = read_snapshot(snapshot)
        except LinkError as failure:
            self._counters.add('malformed', reason=failure.kind.value)
            return
        self._merge(sender, bodies)
        if snapshot.is_last:
            self.anti_entropy.has_baseline = (
                self.anti_entropy.has_baseline or snapshot.is_ready
            )
            self.anti_entropy.finish_request(sender)

    def _merge(self, sender: str, bodies: Iterable[bytes]) -> None:
        envelopes = [self._parse(body) for body in bodies]
        valid = [envelope for envelope in envelopes if envelope is not None]
        self._pending_pushes.source = sender
        newer = self._table.merge(valid)
        self._pending_pushes.source = ''
        if newer:
            self.anti_entropy.record_progress(sender)

    def _parse(self, body: bytes) -> Envelope | None:
        try:
            return parse_envelope(body)
        except InvalidObject:
            # A peer of a newer version may send a kind or a field unknown to
            # this one; the object in force is kept.
            self._counters.add('configuration_rejected', source='peer')
            return None


class _PendingPushes:
    """Keys to push, each with the neighbour that sent the change."""

    def __init__(self) -> None:
        self.source = ''
        self.has_keys = asyncio.Event()
        self._by_key: dict[str, str] = {}

    def add(self, keys: Iterable[str]) -> None:
        """Queue changed keys with the current source."""
        for key in keys:
            self._by_key[key] = self.source
        self.has_keys.set()

    def pop_all(self) -> dict[str, str]:
        """Remove and return the queued keys with their sources."""
        popped = self._by_key
        self._by_key = {}
        self.has_keys.clear()
        return popped
