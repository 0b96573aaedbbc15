"""Upstreams that turn cold, and what reaches them meanwhile."""

import enum
from collections.abc import Iterable, Iterator

import attrs

from bench.cold_record import ColdArrival
from bench.event_clock import EventClock
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = (
    'ColdStart',
    'Evacuation',
    'ModelUpstream',
    'Reception',
    'UpstreamFleet',
)

SLOTS = 4
_QUEUE = 12
_WORK_S = 0.9
#: Work of a cold upstream takes this many times as long.
_COLD_FACTOR = 2


@attrs.frozen
class ColdStart:
    """An upstream that turns cold at `at_s`.

    Before, it is down for `down_s`; 0 means that it stays up. It comes back
    under a new id if `is_renamed`, else under its own with a later start.
    Gateways read its registration `word_s` after it has turned cold, each up
    to `late_s` later.
    """

    upstream: str
    at_s: float
    down_s: float = 0
    is_renamed: bool = False
    word_s: float = 0
    late_s: float = 0


@attrs.frozen
class Evacuation:
    """A zone whose upstreams are to get nothing for `for_s`, from `at_s` on.

    Gateways learn of its end up to `late_s` later.
    """

    zone: str
    at_s: float
    for_s: float
    late_s: float = 0


class Reception(enum.Enum):
    """What becomes of a request that is sent to an upstream."""

    ACCEPTED = 'accepted'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'


@attrs.define(eq=False)
class ModelUpstream:
    """A process; `number` counts the times that it turned cold."""

    entry: RegisteredUpstream
    is_up: bool = True
    cold_until: float = 0
    number: int = 0
    in_flight: int = 0

    @property
    def label(self) -> str:
        """Name of a cold time of the upstream."""
        name = self.entry.instance
        return f'{name}#{self.number}'


class UpstreamFleet:
    """All upstreams, with the requests that reach them while they are cold."""

    def __init__(
        self,
        entries: Iterable[RegisteredUpstream],
        cold_s: float,
        clock: EventClock,
    ) -> None:
        """Start with all upstreams up and warm."""
        self.arrivals: dict[str, list[ColdArrival]] = {}
        self._by_id = {
            entry.instance: ModelUpstream(entry) for entry in entries
        }
        self._cold_s = cold_s
        self._clock = clock

    def iter_entries(self) -> Iterator[RegisteredUpstream]:
        """Yield the present registrations."""
        for upstream in self._by_id.values():
            yield self.entry_of(upstream)

    def entry_of(self, upstream: ModelUpstream) -> RegisteredUpstream:
        """Return the present registration of an upstream."""
        left_s = max(upstream.cold_until - self._clock.now(), 0)
        return attrs.evolve(upstream.entry, cold_left_s=left_s)

    def get(self, instance: str) -> ModelUpstream | None:
        """Return an upstream, or None if that id is gone."""
        return self._by_id.get(instance)

    def stop(self, start: ColdStart) -> None:
        """Take an upstream down if it is down before its start."""
        if start.down_s:
            self._by_id[start.upstream].is_up = False

    def start(self, start: ColdStart) -> ModelUpstream:
        """Have an upstream turn cold."""
        upstream = self._by_id[start.upstream]
        if start.down_s:
            upstream = self._restart(start, upstream)
        upstream.cold_until = self._clock.now() + self._cold_s
        upstream.number += 1
        self.arrivals[upstream.label] = []
        return upstream

    def receive(
        self, instance: str, gateway: str, *, is_known: bool
    ) -> Reception:
        """Take a request; `is_known` says whether it is known to be cold."""
        upstream = self._by_id.get(instance)
        if upstream is None or not upstream.is_up:
            return Reception.UNREACHABLE
        now = self._clock.now()
        if upstream.cold_until > now:
            arrival = ColdArrival(now, gateway, is_known)
            self.arrivals[upstream.label].append(arrival)
        if upstream.in_flight >= SLOTS + _QUEUE:
            return Reception.SHED
        upstream.in_flight += 1
        return Reception.ACCEPTED

    def work_s(self, upstream: ModelUpstream) -> float:
        """Return the seconds that the latest request takes."""
        is_cold = upstream.cold_until > self._clock.now()
        factor = _COLD_FACTOR if is_cold else 1
        return factor * max(upstream.in_flight / SLOTS, 1) * _WORK_S

    def cold_left_s(self, instance: str) -> float | None:
        """Return what a health page says, or None without an answer."""
        upstream = self.get(instance)
        if upstream is None or not upstream.is_up:
            return None
        return self.entry_of(upstream).cold_left_s

    def is_alive(self, upstream: ModelUpstream) -> bool:
        """Return whether a process has neither ended nor started again."""
        return upstream.is_up and self.get(upstream.entry.instance) is upstream

    def _restart(
        self, start: ColdStart, before: ModelUpstream
    ) -> ModelUpstream:
        name = before.entry.instance
        if start.is_renamed:
            self._by_id.pop(name)
            name = f'{name}-new'
        born_ms = before.entry.born_ms + 1
        entry = attrs.evolve(before.entry, instance=name, born_ms=born_ms)
        self._by_id[name] = ModelUpstream(entry, number=before.number)
        return self._by_id[name]
