"""Push and anti-entropy of the configuration between entries."""

import asyncio
import random
from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.configuration.anti_entropy import AntiEntropy
from nutmegshore.configuration.messages import Digest, Entries, Snapshot, Want
from nutmegshore.configuration.packing import (
    iter_batches,
    iter_snapshots,
    lacks,
    read_snapshot,
    unpack_versions,
)
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import LinkError
from nutmegshore.peers import Peers
from nutmegshore.resources import Envelope, InvalidObject, parse_envelope

__all__ = ('DIGEST_S', 'Spread')

DIGEST_S = 1
#: Changes within this time travel in one message.
_PUSH_DELAY_S = 0.01
#: A larger difference travels as a compressed snapshot.
_SNAPSHOT_ENTRIES = 64
#: Digest rounds between those that go to the reporter of the region.
_REPORTER_ROUNDS = 5


class Spread:
    """Sends changes on, and finds out and fills what is missing.

    A change goes to every neighbour but the one that it came from, and each
    does the same with what was new to it. Digests go to every neighbour each
    second; who sees a digest that its table never had asks for what it lacks.
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
        self._pushes = _Pushes()
        table.subscribe(self._take_newer)
        peers.subscribe(Digest, self.anti_entropy.handle_digest)
        peers.subscribe(Want, self._take_want)
        peers.subscribe(Entries, self._take_entries)
        peers.subscribe(Snapshot, self._take_snapshot)

    async def run_pushes(self) -> None:
        """Push changes until cancelled."""
        while True:
            await self._pushes.has_keys.wait()
            await self._clock.sleep(_PUSH_DELAY_S)
            self._push(self._pushes.take())

    async def run_digests(self) -> None:
        """Exchange digests until cancelled."""
        await self._clock.sleep(DIGEST_S * self._rng.random())
        rounds = 0
        while True:
            self.send_digests(is_to_reporter=rounds % _REPORTER_ROUNDS == 0)
            rounds += 1
            await self._clock.sleep(DIGEST_S)

    def send_digests(self, *, is_to_reporter: bool) -> None:
        """Send the digest to the neighbours and the region's reporter."""
        digest = Digest(self._table.digest(), self.is_ready)
        names = set(self._peers.neighbours())
        self.anti_entropy.forget(names)
        if is_to_reporter:
            names.add(self._reporter())
        for name in sorted(names - {self._peers.local.name}):
            self._peers.send(name, digest)

    def _reporter(self) -> str:
        """The member that writes the status of objects in this region."""
        region = self._peers.local.region
        return min(
            name
            for name, member in self._peers.live().items()
            if member.region == region
        )

    def _take_newer(self, newer: list[Envelope]) -> None:
        now = self._clock.now()
        self.anti_entropy.history.record(self._table.digest(), newer, now)
        self._pushes.add(envelope.key for envelope in newer)

    def _push(self, by_key: dict[str, str]) -> None:
        if len(by_key) > _SNAPSHOT_ENTRIES:
            # A listing or a snapshot: most neighbours have it already.
            self.send_digests(is_to_reporter=True)
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
        found = [self._table.get(key) for key in keys]
        for bodies in iter_batches(found):
            self._peers.send(name, Entries(bodies))

    # Messages

    def _take_want(self, sender: str, want: Want) -> None:
        try:
            versions = unpack_versions(want.versions)
        except LinkError as failure:
            self._counters.add('malformed', reason=failure.kind.value)
            return
        missing = [
            envelope
            for envelope in self._table.iter_all()
            if lacks(versions, envelope)
        ]
        if not want.versions or len(missing) > _SNAPSHOT_ENTRIES:
            self._counters.add('snapshots_sent')
            for part in iter_snapshots(missing, is_ready=self.is_ready):
                self._peers.send(sender, part)
            return
        for bodies in iter_batches(missing):
            self._peers.send(sender, Entries(bodies, is_answer=True))

    def _take_entries(self, sender: str, entries: Entries) -> None:
        self._merge(sender, entries.bodies)
        if entries.is_answer:
            self.anti_entropy.end_answer(sender)

    def _take_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        try:
            bodies = read_snapshot(snapshot)
        except LinkError as failure:
            self._counters.add('malformed', reason=failure.kind.value)
            return
        self._merge(sender, bodies)
        if snapshot.is_last:
            self.anti_entropy.has_base = (
                self.anti_entropy.has_base or snapshot.is_ready
            )
            self.anti_entropy.end_answer(sender)

    def _merge(self, sender: str, bodies: Iterable[bytes]) -> None:
        envelopes = [self._parse(body) for body in bodies]
        known = [envelope for envelope in envelopes if envelope is not None]
        self._pushes.source = sender
        newer = self._table.merge(known)
        self._pushes.source = ''
        if newer:
            self.anti_entropy.record_news(sender)

    def _parse(self, body: bytes) -> Envelope | None:
        try:
            return parse_envelope(body)
        except InvalidObject:
            # A newer version may know a kind or a field that this one does
            # not: what is in force here stays.
            self._counters.add('configuration_rejected', source='peer')
            return None


class _Pushes:
    """Keys to push, each with the neighbour that it came from."""

    def __init__(self) -> None:
        self.source = ''
        self.has_keys = asyncio.Event()
        self._by_key: dict[str, str] = {}

    def add(self, keys: Iterable[str]) -> None:
        """Note changed keys of the present source."""
        for key in keys:
            self._by_key[key] = self.source
        self.has_keys.set()

    def take(self) -> dict[str, str]:
        """Keys with their sources since the last call."""
        taken = self._by_key
        self._by_key = {}
        self.has_keys.clear()
        return taken
