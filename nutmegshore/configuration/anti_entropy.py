"""Detects entries missing from the local table and requests them."""

import attrs

from nutmegshore.clock import Clock
from nutmegshore.configuration.history import DigestHistory
from nutmegshore.configuration.messages import Digest, EntriesRequest
from nutmegshore.configuration.packing import pack_versions
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers, process_of

__all__ = ('AntiEntropy',)

#: After this time without a full answer another neighbour is asked.
_RESPONSE_TIMEOUT_S = 2
_FIRST_BACKOFF_S = 1
_MAX_BACKOFF_S = 30


@attrs.define
class _PendingRequest:
    """The request in flight; an empty name means that there is none."""

    name: str = ''
    expires_at: float = 0
    digest: bytes = b''
    has_new_entries: bool = False


@attrs.define
class _Neighbour:
    """Last digest of a neighbour, and the schedule of requests to it."""

    digest: bytes
    is_ready: bool
    #: The digest whose entries the neighbour has sent in full. It may differ
    #: from the local one for good where this version rejects an entry.
    answered_digest: bytes | None = None
    next_request_at: float = 0
    backoff_s: float = _FIRST_BACKOFF_S


class AntiEntropy:
    """Compares the neighbours' digests with the local table's history.

    Only one request is in flight at a time, so that a booting process does
    not fetch the same snapshot from every neighbour.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Start without any neighbour's digest."""
        self.history = DigestHistory(table.digest())
        self.has_baseline = False
        self._by_name: dict[str, _Neighbour] = {}
        self._pending = _PendingRequest()
        self._table = table
        self._peers = peers
        self._clock = clock
        self._counters = counters

    def is_caught_up(self) -> bool:
        """Whether the table has every entry of each ready neighbour."""
        if not set(self._peers.neighbours()) <= set(self._by_name):
            return False
        return all(
            self.history.covers(neighbour.digest)
            or neighbour.answered_digest == neighbour.digest
            for neighbour in self._by_name.values()
            if neighbour.is_ready
        )

    def handle_digest(self, sender: str, digest: Digest) -> None:
        now = self._clock.now()
        member = self._peers.live().get(sender)
        if member is not None:
            process = process_of(member.incarnation)
            self.history.record_digest(sender, process, digest.digest, now)
        if sender not in self._peers.neighbours():
            return
        neighbour = self._by_name.get(sender)
        if neighbour is None:
            neighbour = _Neighbour(digest.digest, digest.is_ready)
            self._by_name[sender] = neighbour
        if neighbour.digest != digest.digest:
            neighbour.digest = digest.digest
            neighbour.backoff_s = _FIRST_BACKOFF_S
            neighbour.next_request_at = now
        neighbour.is_ready = digest.is_ready
        self._request_entries(sender, neighbour, now)

    def record_progress(self, sender: str) -> None:
        """Record that an answer contained new entries."""
        if sender == self._pending.name:
            self._pending.has_new_entries = True

    def retain(self, names: set[str]) -> None:
        """Drop all neighbours except those named."""
        for removed in set(self._by_name) - names:
            self._by_name.pop(removed)

    def finish_request(self, sender: str) -> None:
        """Record that a neighbour sent all requested entries."""
        pending = self._pending
        if sender != pending.name:
            return
        self._pending = _PendingRequest()
        neighbour = self._by_name.get(sender)
        if neighbour is None:
            return
        neighbour.answered_digest = pending.digest
        if pending.has_new_entries:
            neighbour.backoff_s = _FIRST_BACKOFF_S
            neighbour.next_request_at = 0

    def _request_entries(
        self, name: str, neighbour: _Neighbour, now: float
    ) -> None:
        is_full = not self.has_baseline and neighbour.is_ready
        if not is_full and self.history.covers(neighbour.digest):
            return
        is_busy = self._pending.name and now < self._pending.expires_at
        if is_busy or now < neighbour.next_request_at:
            return
        neighbour.next_request_at = now + neighbour.backoff_s
        neighbour.backoff_s = min(2 * neighbour.backoff_s, _MAX_BACKOFF_S)
        self._pending = _PendingRequest(
            name, now + _RESPONSE_TIMEOUT_S, neighbour.digest
        )
        versions = b''
        if not is_full:
            versions = pack_versions(self._table.iter_all())
        self._counters.add('configuration_wants')
        self._peers.send(name, EntriesRequest(versions))
