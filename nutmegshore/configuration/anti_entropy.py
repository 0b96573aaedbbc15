"""Finding out which entries are missing, and asking for them."""

import attrs

from nutmegshore.clock import Clock
from nutmegshore.configuration.history import DigestHistory
from nutmegshore.configuration.messages import Digest, Want
from nutmegshore.configuration.packing import pack_versions
from nutmegshore.configuration.table import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.peers import Peers, process_of

__all__ = ('AntiEntropy',)

#: An answer that takes longer is asked of another neighbour.
_ANSWER_S = 2
_FIRST_BACKOFF_S = 1
_MAX_BACKOFF_S = 30


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
    backoff_s: float = _FIRST_BACKOFF_S


class AntiEntropy:
    """Compares the neighbours' digests with the local table's history.

    One neighbour is asked at a time, so that a boot does not fetch the same
    snapshot from all.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Know no neighbour's digest yet."""
        self.history = DigestHistory(table.digest())
        self.has_base = False
        self._by_name: dict[str, _Neighbour] = {}
        self._asked = _Asked()
        self._table = table
        self._peers = peers
        self._clock = clock
        self._counters = counters

    def is_covered(self) -> bool:
        """Whether the table has all that each ready neighbour has."""
        if not set(self._peers.neighbours()) <= set(self._by_name):
            return False
        return all(
            self.history.covers(neighbour.digest)
            or neighbour.answered == neighbour.digest
            for neighbour in self._by_name.values()
            if neighbour.is_ready
        )

    def handle_digest(self, sender: str, digest: Digest) -> None:
        now = self._clock.now()
        member = self._peers.live().get(sender)
        if member is not None:
            process = process_of(member.incarnation)
            self.history.record_standing(sender, process, digest.digest, now)
        if sender not in self._peers.neighbours():
            return
        neighbour = self._by_name.get(sender)
        if neighbour is None:
            neighbour = _Neighbour(digest.digest, digest.is_ready)
            self._by_name[sender] = neighbour
        if neighbour.digest != digest.digest:
            neighbour.digest = digest.digest
            neighbour.backoff_s = _FIRST_BACKOFF_S
            neighbour.due_at = now
        neighbour.is_ready = digest.is_ready
        self._ask(sender, neighbour, now)

    def record_news(self, sender: str) -> None:
        """Note that an answer brought something new."""
        if sender == self._asked.name:
            self._asked.has_news = True

    def forget(self, names: set[str]) -> None:
        """Drop all neighbours but these."""
        for gone in set(self._by_name) - names:
            self._by_name.pop(gone)

    def end_answer(self, sender: str) -> None:
        """Note that a neighbour sent all that was asked for."""
        asked = self._asked
        if sender != asked.name:
            return
        self._asked = _Asked()
        neighbour = self._by_name.get(sender)
        if neighbour is None:
            return
        neighbour.answered = asked.digest
        if asked.has_news:
            neighbour.backoff_s = _FIRST_BACKOFF_S
            neighbour.due_at = 0

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
