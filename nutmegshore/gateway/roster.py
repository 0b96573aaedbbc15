"""Liveness and readiness of the other gateways."""

from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.events import PeerChanged
from nutmegshore.gateway.log import EventLog

__all__ = ('PEER_TIMEOUT_S', 'Roster')

#: Seconds without contact after which look-ups do not name a gateway.
PEER_TIMEOUT_S = 1.5
#: Seconds after an aggregator has sent a summary after which look-ups do not
#: name its gateways, however late it came.
_SUMMARY_TIMEOUT_S = 3
#: Seconds without contact after which a peer is dropped.
_RETENTION_S = 60
_DIGITS = 3


@attrs.define
class _PeerStatus:
    """Last contact and readiness of a peer.

    `reported_at` is when the peer sent its own last report; `last_contact` is
    later if an aggregator has sent its name since. Both end at `ends_at`.
    """

    last_contact: float
    is_ready: bool
    ends_at: float
    reported_at: float = float('-inf')
    is_silent: bool = False


@attrs.frozen
class _ReadyList:
    """The ready gateways in an aggregator's last summary."""

    ends_at: float
    names: frozenset[str]


@attrs.frozen
class _Contact:
    """When a peer was heard of, and until when that counts."""

    sent_at: float
    ends_at: float


class Roster:
    """Status of peers, from their own reports and from aggregators.

    A peer is ready if it recently reported so, or if a recent summary of any
    aggregator names it. Messages count from when they were sent: `transit_s`
    are the seconds that one was on its way.

        roster.record_contact('gateway-3', 0.1, is_ready=True)
        roster.is_ready('gateway-3')
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without peers."""
        self._clock = clock
        self._log = log
        self._by_name: dict[str, _PeerStatus] = {}
        self._ready_lists: dict[str, _ReadyList] = {}

    def record_contact(
        self, name: str, transit_s: float, *, is_ready: bool
    ) -> None:
        """Record a peer's own report."""
        sent_at = self._clock.now() - transit_s
        contact = _Contact(sent_at, sent_at + PEER_TIMEOUT_S)
        self._update(name, contact, is_ready=is_ready)
        self._by_name[name].reported_at = sent_at

    def handle_named(
        self, aggregator: str, transit_s: float, names: Iterable[str]
    ) -> None:
        """Record the peers that an aggregator names as ready."""
        now = self._clock.now()
        sent_at = now - transit_s
        ends_at = min(now + PEER_TIMEOUT_S, sent_at + _SUMMARY_TIMEOUT_S)
        if ends_at <= now:
            return
        found = frozenset(names)
        before = self._ready_lists.get(aggregator)
        self._ready_lists[aggregator] = _ReadyList(ends_at, found)
        for name in found:
            self._update(name, _Contact(sent_at, ends_at), is_ready=True)
        gone = before.names - found if before else frozenset()
        for name in gone:
            if name in self._by_name and not self._is_confirmed(name):
                self._record_unready(name)

    def is_in_contact(self, name: str) -> bool:
        """Whether the last contact with a peer is recent."""
        peer = self._by_name.get(name)
        return peer is not None and self._clock.now() < peer.ends_at

    def is_ready(self, name: str) -> bool:
        """Whether a peer accepts requests, as far as is known."""
        return self.is_in_contact(name) and self._by_name[name].is_ready

    def in_contact(self) -> list[str]:
        """Names of the peers with recent contact, sorted."""
        return sorted(
            name for name in self._by_name if self.is_in_contact(name)
        )

    def reporting(self) -> list[str]:
        """Names of the ready peers that report directly, sorted."""
        return sorted(
            name
            for name, peer in self._by_name.items()
            if peer.is_ready and self._is_reporting(peer)
        )

    def ages(self) -> dict[str, float]:
        """Seconds since the last contact with each peer, by name."""
        now = self._clock.now()
        return {
            name: now - peer.last_contact
            for name, peer in self._by_name.items()
        }

    def record_silent(self) -> None:
        """Log peers that became silent, and drop those silent for long."""
        self._drop_expired()
        for name, peer in self._by_name.items():
            if not peer.is_silent and not self.is_in_contact(name):
                peer.is_silent = True
                self._log_change(
                    name, 'silent', self._clock.now() - peer.last_contact
                )

    def _update(self, name: str, contact: _Contact, *, is_ready: bool) -> None:
        now = self._clock.now()
        peer = self._by_name.get(name)
        if peer is None:
            self._by_name[name] = _PeerStatus(
                contact.sent_at, is_ready, contact.ends_at
            )
            self._log_change(name, 'up', 0)
            return
        if peer.is_silent and contact.ends_at > now:
            self._log_change(name, 'up', now - peer.last_contact)
            peer.is_silent = False
        elif peer.is_ready != is_ready:
            self._log_change(name, 'ready' if is_ready else 'unready', 0)
        peer.last_contact = max(peer.last_contact, contact.sent_at)
        peer.ends_at = max(peer.ends_at, contact.ends_at)
        peer.is_ready = is_ready

    def _record_unready(self, name: str) -> None:
        peer = self._by_name[name]
        if peer.is_ready:
            peer.is_ready = False
            self._log_change(name, 'unready', 0)

    def _is_confirmed(self, name: str) -> bool:
        """Whether the peer or a recent aggregator summary confirms it."""
        if self._is_reporting(self._by_name[name]):
            return True
        now = self._clock.now()
        return any(
            ready_list.ends_at > now and name in ready_list.names
            for ready_list in self._ready_lists.values()
        )

    def _is_reporting(self, peer: _PeerStatus) -> bool:
        return self._clock.now() - peer.reported_at < PEER_TIMEOUT_S

    def _drop_expired(self) -> None:
        """Drop peers silent for long, which may have been replaced."""
        limit = self._clock.now() - _RETENTION_S
        dead = [
            name
            for name, peer in self._by_name.items()
            if peer.last_contact < limit
        ]
        for name in dead:
            self._by_name.pop(name)
            self._ready_lists.pop(name, None)

    def _log_change(self, name: str, change: str, silent_s: float) -> None:
        event = PeerChanged(name, change, round(silent_s, _DIGITS))
        self._log.write(event)
