"""Model of quotas: a fleet's gateways, their reports and their callers."""

import collections
import functools
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator

import attrs

from bench.event_clock import EventClock
from bench.quota_faults import Fault, Kill, Views
from bench.quota_reports import (
    ZONES,
    Gateway,
    Reports,
    gateway_names,
    zone_of,
)
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.balancing.quota_rule import QuotaBounds
from nutmegshore.balancing.recent_members import RecentMembers
from nutmegshore.clock import Clock
from nutmegshore.gateway.customer import Customer

__all__ = ('Load', 'Move', 'Result', 'play')

_NOTICE_S = 4
#: Seconds before the callers come, in which the gateways meet.
_START_S = 5
#: Seconds without demand for most of which nothing is measured.
_WARM_S = 5


@attrs.frozen
class Move:
    """A fraction of a zone's callers that moves to another zone at once."""

    at_s: float
    source: int
    target: int
    fraction: float = 0.75


@attrs.frozen
class Load:
    """A fleet, a quota and the demand for it.

    `demand` is a list of times, counted from the first request, and requests
    per second from then on. `quotas` lists rates that replace `max_rate` later;
    the gateways learn each within `apply_s`.
    """

    gateways: int
    max_rate: float
    burst: float = 0
    demand: tuple[tuple[float, float], ...] = ((0, 1),)
    seconds: float = 30
    moves: tuple[Move, ...] = ()
    faults: tuple[Fault, ...] = ()
    lowered: tuple[tuple[float, float], ...] = ()
    apply_s: float = 2
    zones_used: int = 6


@attrs.define
class Result:
    """When requests were sent and refused, in seconds after the first one."""

    load: Load
    sent: list[float] = attrs.field(factory=list)
    refused: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)

    def most(self, window_s: float = 5, start_s: float = 0) -> int:
        """Return the most requests in any window from a time on."""
        sent = [at for at in self.sent if at >= start_s]
        found = 0
        first = 0
        for index, at in enumerate(sent):
            while sent[first] <= at - window_s:
                first += 1
            found = max(found, index - first + 1)
        return found

    def allowed(self, max_rate: float | None = None) -> float:
        """Return the bound on the requests in a window."""
        rate = self.load.max_rate if max_rate is None else max_rate
        return QuotaBounds().allowed(rate, self.load.burst)

    def used(self, start_s: float = _WARM_S) -> float:
        """Return the part of the quota that was used from a time on."""
        count = sum(at >= start_s for at in self.sent)
        return count / (self.load.max_rate * (self.load.seconds - start_s))

    def asked(self, start_s: float = _WARM_S) -> float:
        """Return the demand from a time on, as a part of the quota."""
        asked = itertools.chain(self.sent, self.refused)
        count = sum(at >= start_s for at in asked)
        return count / (self.load.max_rate * (self.load.seconds - start_s))


MakeQuotas = Callable[
    [Clock, random.Random, RecentMembers, QuotaBounds], CustomerQuotas
]


def play(
    load: Load, seed: int, make_quotas: MakeQuotas = CustomerQuotas
) -> Result:
    """Play a load to its end."""
    return _Session(load, random.Random(seed), make_quotas).run()


class _Session:
    """One load that is played."""

    def __init__(
        self, load: Load, rng: random.Random, make_quotas: MakeQuotas
    ) -> None:
        self._load = load
        self._rng = rng
        self._make_quotas = make_quotas
        self._clock = EventClock()
        self._result = Result(load)
        self._names = gateway_names(load.gateways)
        self._views = Views(
            self._names, _shift(load.faults), self._clock.now, _NOTICE_S
        )
        self._gateways = {name: self._make(name) for name in self._names}
        self._reports = Reports(
            self._clock, self._views, self._gateways, _START_S + load.seconds
        )
        self._zones = _group(self._names)
        self._weights = [
            1 if zone < load.zones_used else 0 for zone in range(ZONES)
        ]

    def run(self) -> Result:
        """Play to the end."""
        self._reports.start(self._rng)
        self._plan_restarts()
        self._plan_changes()
        self._clock.after(_START_S, self._await_next)
        self._clock.run()
        self._result.sent.sort()
        return self._result

    def _plan_restarts(self) -> None:
        for fault in _shift(self._load.faults):
            if isinstance(fault, Kill) and fault.end_s < math.inf:
                for name in fault.names:
                    restart = functools.partial(self._restart, name)
                    self._clock.after(fault.end_s, restart)

    def _plan_changes(self) -> None:
        """Plan the moves of callers and the changes of the quota."""
        for move in self._load.moves:
            self._clock.after(
                _START_S + move.at_s, functools.partial(self._move, move)
            )
        for at_s, max_rate in self._load.lowered:
            for name in self._names:
                late_s = self._rng.random() * self._load.apply_s
                self._clock.after(
                    _START_S + at_s + late_s,
                    functools.partial(self._lower, name, max_rate),
                )

    def _make(self, name: str) -> Gateway:
        members = RecentMembers(
            self._clock, lambda region: self._views.seen(name)
        )
        quotas = self._make_quotas(
            self._clock, self._rng, members, QuotaBounds()
        )
        quotas.local = name
        return Gateway(
            name, quotas, self._load.max_rate, self._rng.randrange(2)
        )

    def _restart(self, name: str) -> None:
        self._gateways[name] = self._make(name)

    def _lower(self, name: str, max_rate: float) -> None:
        self._gateways[name].max_rate = max_rate

    def _move(self, move: Move) -> None:
        moved = self._weights[move.source] * move.fraction
        self._weights[move.source] -= moved
        self._weights[move.target] += moved

    def _await_next(self) -> None:
        at_s = self._clock.now() - _START_S
        rate = next(
            rate
            for start_s, rate in reversed(self._load.demand)
            if start_s <= at_s
        )
        if rate <= 0:
            self._clock.after(0.1, self._await_next)
            return
        pause_s = self._rng.expovariate(rate)
        if at_s + pause_s < self._load.seconds:
            self._clock.after(pause_s, self._arrive)

    def _arrive(self) -> None:
        self._await_next()
        zone = self._rng.choices(range(len(self._weights)), self._weights)[0]
        open_names = [
            name for name in self._zones[zone] if not self._views.is_dead(name)
        ] or [name for name in self._names if not self._views.is_dead(name)]
        if open_names:
            self._ask(self._rng.choice(open_names))

    def _ask(self, name: str) -> None:
        now = self._clock.now()
        until = self._views.paused_until(name)
        if until > now:
            self._clock.after(until - now, functools.partial(self._ask, name))
            return
        if self._views.is_dead(name):
            return
        gateway = self._gateways[name]
        customer = Customer(
            'acme', frozenset(), 0, gateway.max_rate, self._load.burst
        )
        wait_s = gateway.quotas.acquire(customer)
        self._reports.send_all(gateway)
        if wait_s:
            self._result.refused.append(now - _START_S)
            self._result.waits.append(wait_s)
        else:
            self._result.sent.append(now - _START_S)


def _group(names: Iterable[str]) -> dict[int, list[str]]:
    found: dict[int, list[str]] = collections.defaultdict(list)
    for name in names:
        found[zone_of(name)].append(name)
    return found


def _shift(faults: Iterable[Fault]) -> Iterator[Fault]:
    """Yield the faults in the time of the clock."""
    for fault in faults:
        yield attrs.evolve(
            fault,
            start_s=fault.start_s + _START_S,
            end_s=fault.end_s + _START_S,
        )
