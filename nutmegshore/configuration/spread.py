"""Push and anti-entropy of the configuration between entries."""

import asyncio
import random
from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.configuration.history import DigestHistory
from nutmegshore.configuration.messages import Digest, Entries, Snapshot, Want
from nutmegshore.configuration.packing import (
    iter_batches,
    iter_snapshots,
    lacks,
    pack_versions,
    read_snapshot,
    unpack_versions,
)
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import LinkError
from nutmegshore.peers import Peers, process_of
from nutmegshore.resources import Envelope, InvalidObject, parse_envelope

__all__ = ('DIGEST_S', 'Spread')

DIGEST_S = 1
#: Changes within this time travel in one message.
_PUSH_DELAY_S = 0.01
#: A larger difference travels as a compressed snapshot.
_SNAPSHOT_ENTRIES = 64
#: An answer that takes longer is asked of another neighbour.
_ANSWER_S = 2
_MAX_BACKOFF_S = 30
#: Digest rounds between those that go to the reporter of the region.
_REPORTER_ROUNDS = 5


@attrs.define
class _Asked:
    """What was asked of whom; one neighbour at a time."""

    name: str = ''
    until: float = 0
    digest: bytes = b''
    has_news: bool = False


@attrs.define
class _Neighbour:
    """What is known of one neighbour's table."""

    digest: bytes
    is_ready: bool
    #: A digest all of whose entries were asked for and answered. It may stay
    #: different from ours where this version rejects an entry.
    answered: bytes | None = None
    due_at: float = 0
    backoff_s: float = DIGEST_S


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
        self.history = DigestHistory(table.digest())
        self.has_base = False
        self.is_ready = False
        self.by_neighbour: dict[str, _Neighbour] = {}
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._pushes = _Pushes()
        self._asked = _Asked()
        table.subscribe(self._take_newer)
        peers.subscribe(Digest, self._take_digest)
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
        for gone in set(self.by_neighbour) - names:
            self.by_neighbour.pop(gone)
        if is_to_reporter:
            names.add(self._reporter())
        for name in sorted(names - {self._peers.local.name}):
            self._peers.send(name, digest)

    def is_covered(self) -> bool:
        """Whether the table has all that each ready neighbour has."""
        if not set(self._peers.neighbours()) <= set(self.by_neighbour):
            return False
        return all(
            self.history.covers(neighbour.digest)
            or neighbour.answered == neighbour.digest
            for neighbour in self.by_neighbour.values()
            if neighbour.is_ready
        )

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
        self.history.note(self._table.digest(), newer, now)
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

    def _take_digest(self, sender: str, digest: Digest) -> None:
        now = self._clock.now()
        member = self._peers.live().get(sender)
        if member is not None:
            process = process_of(member.incarnation)
            self.history.note_standing(sender, process, digest.digest, now)
        if sender not in self._peers.neighbours():
            return
        neighbour = self.by_neighbour.get(sender)
        if neighbour is None:
            neighbour = _Neighbour(digest.digest, digest.is_ready)
            self.by_neighbour[sender] = neighbour
        if neighbour.digest != digest.digest:
            neighbour.digest = digest.digest
            neighbour.backoff_s = DIGEST_S
            neighbour.due_at = now
        neighbour.is_ready = digest.is_ready
        self._ask(sender, neighbour, now)

    def _ask(self, name: str, neighbour: _Neighbour, now: float) -> None:
        is_base = not self.has_base and neighbour.is_ready
        if not is_base and self.history.covers(neighbour.digest):
            return
        is_busy = self._asked.name and now < self._asked.until
        if is_busy or now < neighbour.due_at:
            return
        neighbour.due_at = now + neighbour.backoff_s
        neighbour.backoff_s = min(2 * neighbour.backoff_s, _MAX_BACKOFF_S)
        self._asked = _Asked(name, now + _ANSWER_S, neighbour.digest)
        versions = b''
        if not is_base:
            versions = pack_versions(self._table.iter_all())
        self._counters.add('configuration_wants')
        self._peers.send(name, Want(versions))

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
            self._end_answer(sender)

    def _take_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        try:
            bodies = read_snapshot(snapshot)
        except LinkError as failure:
            self._counters.add('malformed', reason=failure.kind.value)
            return
        self._merge(sender, bodies)
        if snapshot.is_last:
            self.has_base = self.has_base or snapshot.is_ready
            self._end_answer(sender)

    def _merge(self, sender: str, bodies: Iterable[bytes]) -> None:
        envelopes = [self._parse(body) for body in bodies]
        known = [envelope for envelope in envelopes if envelope is not None]
        self._pushes.source = sender
        newer = self._table.merge(known)
        self._pushes.source = ''
        if newer and sender == self._asked.name:
            self._asked.has_news = True

    def _parse(self, body: bytes) -> Envelope | None:
        try:
            return parse_envelope(body)
        except InvalidObject:
            # A newer version may know a kind or a field that this one does
            # not: what is in force here stays.
            self._counters.add('configuration_rejected', source='peer')
            return None

    def _end_answer(self, sender: str) -> None:
        asked = self._asked
        if sender != asked.name:
            return
        self._asked = _Asked()
        neighbour = self.by_neighbour.get(sender)
        if neighbour is None:
            return
        neighbour.answered = asked.digest
        if asked.has_news:
            neighbour.backoff_s = DIGEST_S
            neighbour.due_at = 0


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
