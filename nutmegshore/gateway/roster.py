"""Which other gateways were heard of, and which of them take requests."""

from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.events import PeerChanged
from nutmegshore.gateway.log import EventLog

__all__ = ('SILENT_S', 'Roster')

#: Seconds without a word after which a gateway is not named to callers.
SILENT_S = 1.5
#: Seconds of silence after which nothing is kept of a peer.
_FORGOTTEN_S = 60
_DIGITS = 3


@attrs.define
class _Seen:
    """When a peer was last heard of, and what it said.

    `reported_at` is the time of its own last report; an aggregator may name
    it later than that.
    """

    at: float
    is_ready: bool
    reported_at: float = float('-inf')
    is_silent: bool = False


@attrs.frozen
class _Named:
    """The gateways that an aggregator named last, and when."""

    at: float
    names: frozenset[str]


class Roster:
    """Peers by name, from their own reports or through an aggregator.

    A peer is ready if it said so itself a short time ago, or if any
    aggregator that was heard lately names it.

        roster.record_contact('gateway-3', is_ready=True)
        roster.is_ready('gateway-3')
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Have heard of nobody."""
        self._clock = clock
        self._log = log
        self._seen: dict[str, _Seen] = {}
        self._named: dict[str, _Named] = {}

    def record_contact(self, name: str, *, is_ready: bool) -> None:
        """Take a peer's own report."""
        now = self._clock.now()
        self._record(name, is_ready=is_ready)
        self._seen[name].reported_at = now

    def handle_named(self, aggregator: str, names: Iterable[str]) -> None:
        """Take the peers that an aggregator names as ready."""
        found = frozenset(names)
        before = self._named.get(aggregator)
        self._named[aggregator] = _Named(self._clock.now(), found)
        for name in found:
            self._record(name, is_ready=True)
        gone = before.names - found if before else frozenset()
        for name in gone:
            if name in self._seen and not self._is_vouched(name):
                self._record_unready(name)

    def is_in_contact(self, name: str) -> bool:
        """Whether a peer was heard of lately."""
        seen = self._seen.get(name)
        return seen is not None and self._clock.now() - seen.at < SILENT_S

    def is_ready(self, name: str) -> bool:
        """Whether a peer takes requests, to the best knowledge."""
        return self.is_in_contact(name) and self._seen[name].is_ready

    def in_contact(self) -> list[str]:
        """Names of the peers that were heard of lately, sorted."""
        return sorted(name for name in self._seen if self.is_in_contact(name))

    def reporting(self) -> list[str]:
        """Names of the ready peers that report here themselves, sorted."""
        return sorted(
            name
            for name, seen in self._seen.items()
            if seen.is_ready and self._reports(seen)
        )

    def ages(self) -> dict[str, float]:
        """Seconds since each peer was heard of, by its name."""
        now = self._clock.now()
        return {name: now - seen.at for name, seen in self._seen.items()}

    def record_silent(self) -> None:
        """Log the peers that fell silent, and forget those long dead."""
        self._forget_dead()
        for name, seen in self._seen.items():
            if not seen.is_silent and not self.is_in_contact(name):
                seen.is_silent = True
                self._tell(name, 'silent', self._clock.now() - seen.at)

    def _record(self, name: str, *, is_ready: bool) -> None:
        now = self._clock.now()
        seen = self._seen.get(name)
        if seen is None:
            self._seen[name] = _Seen(now, is_ready)
            self._tell(name, 'up', 0)
            return
        if seen.is_silent:
            self._tell(name, 'up', now - seen.at)
        elif seen.is_ready != is_ready:
            self._tell(name, 'ready' if is_ready else 'unready', 0)
        seen.at = now
        seen.is_ready = is_ready
        seen.is_silent = False

    def _record_unready(self, name: str) -> None:
        seen = self._seen[name]
        if seen.is_ready:
            seen.is_ready = False
            self._tell(name, 'unready', 0)

    def _is_vouched(self, name: str) -> bool:
        """Whether a peer reports here, or any fresh aggregator names it."""
        if self._reports(self._seen[name]):
            return True
        limit = self._clock.now() - SILENT_S
        return any(
            named.at > limit and name in named.names
            for named in self._named.values()
        )

    def _reports(self, seen: _Seen) -> bool:
        return self._clock.now() - seen.reported_at < SILENT_S

    def _forget_dead(self) -> None:
        """Drop peers that have been silent for long; they may be replaced."""
        limit = self._clock.now() - _FORGOTTEN_S
        dead = [name for name, seen in self._seen.items() if seen.at < limit]
        for name in dead:
            self._seen.pop(name)
            self._named.pop(name, None)

    def _tell(self, name: str, change: str, silent_s: float) -> None:
        event = PeerChanged(name, change, round(silent_s, _DIGITS))
        self._log.write(event)
