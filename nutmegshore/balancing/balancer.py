"""The choice of an upstream for each request, joined from its parts."""

import random
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs

from nutmegshore.balancing.admission import Admission
from nutmegshore.balancing.affinity import Affinity
from nutmegshore.balancing.choice import Candidate, Choice, Wanted, best_of
from nutmegshore.balancing.cold import ColdBound
from nutmegshore.balancing.health import HealthTable
from nutmegshore.balancing.load import LoadTable
from nutmegshore.balancing.outcome import Ended, Outcome
from nutmegshore.balancing.pace import PaceTable
from nutmegshore.balancing.spill import SpillTable
from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind, RefusedError
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream import Upstream

__all__ = ('Balancer', 'Sent', 'Surroundings')

#: Upstreams of one region that are compared for a request: its owners in
#: their order, or random ones for a request without an object.
_COMPARED = 8
#: Seconds there and back to another region until it was measured.
_FAR_GUESS_S = 0.06
_DELAY_WEIGHT = 0.2

_HOME = 'home'
_SPILL = 'spill'
_AWAY = 'away'


@attrs.frozen
class Surroundings:
    """What the balancer takes from outside.

    `gateways` gives the names of the gateways of a region, or of all for an
    empty one.
    """

    clock: Clock
    rng: random.Random
    local: str
    region: str
    gateways: Callable[[str], Collection[str]]
    max_shift: float


@attrs.define
class Sent:
    """A request that is in flight at an upstream."""

    choice: Choice
    wanted: Wanted
    token: int
    was_handled: bool
    waited_for: bool


class Balancer:
    """Chooses upstreams, and learns from how the attempts end.

        choice = balancer.choose(wanted)  # raises RefusedError
        sent = balancer.begin(wanted, choice)
        balancer.end(sent, Ended(Outcome.ANSWERED, took_s))
    """

    def __init__(self, state: FleetState, around: Surroundings) -> None:
        """Choose among the upstreams of the state."""
        clock = around.clock
        self.affinity = Affinity()
        self.cold = ColdBound(clock, around.local)
        self.health = HealthTable(clock)
        self.load = LoadTable(clock)
        self.pace = PaceTable(clock)
        self.spills = SpillTable(clock, around.max_shift)
        self._admission = Admission(around.rng)
        self._around = around
        self._delays: dict[str, float] = {around.region: 0}
        self._ranks: tuple[object, dict[str, int]] = (None, {})
        self._state = state

    def choose(self, wanted: Wanted) -> Choice:
        """The best upstream, or `RefusedError` if the request is refused."""
        ranked = self._ranked(wanted)
        by_region = self._by_region(wanted, ranked)
        home = best_of(by_region.pop(self._around.region, ()))
        away = best_of(found for region in by_region.values() for found in region)
        chosen, reason = self._home_or_away(wanted, home, away)
        if chosen is None:
            raise self._no_upstream(wanted)
        if not self._is_admitted(wanted, chosen):
            raise self._overloaded(wanted, chosen, len(ranked))
        return Choice(chosen, reason, len(ranked))

    def begin(self, wanted: Wanted, choice: Choice) -> Sent:
        """Count a request that is sent now."""
        candidate = choice.candidate
        name = choice.upstream.instance
        if self._state.is_cold(name):
            self.cold.take(name, self._cold_rate(wanted.service))
        self.load.get(name).in_flight += 1
        token = self.pace.begin(name, candidate.expected_s)
        handled = self.affinity.has_handled(name, wanted.key)
        return Sent(choice, wanted, token, handled, candidate.wait_s > 0)

    def end(self, sent: Sent, ended: Ended) -> float:
        """Learn from the end of an attempt; returns seconds of avoidance."""
        upstream = sent.choice.upstream
        name = upstream.instance
        self.load.get(name).in_flight -= 1
        self.pace.end(name, sent.token)
        if ended.outcome is Outcome.ANSWERED:
            self._learn(sent, ended)
        return self.health.note(name, ended.outcome)

    def forget(self, instance: str) -> None:
        """Drop everything about an upstream that is gone."""
        self.affinity.forget(instance)
        self.cold.forget(instance)
        self.health.forget(instance)
        self.load.forget(instance)
        self.pace.forget(instance)

    def delay_s(self, region: str) -> float:
        """Seconds there and back to the upstreams of a region."""
        return self._delays.get(region, _FAR_GUESS_S)

    def _ranked(self, wanted: Wanted) -> tuple[Upstream, ...]:
        usable = self._state.usable(wanted.service)
        if wanted.key:
            return self.affinity.ranking(wanted.service, wanted.key, usable)
        shuffled = list(usable)
        self._around.rng.shuffle(shuffled)
        return tuple(shuffled)

    def _by_region(
        self,
        wanted: Wanted,
        ranked: Iterable[Upstream],
    ) -> dict[str, list[Candidate]]:
        """Candidates by region, at most `_COMPARED` in each."""
        homes = wanted.route.homes
        found: dict[str, list[Candidate]] = {}
        for upstream in ranked:
            if homes and upstream.region not in homes:
                continue
            region = found.setdefault(upstream.region, [])
            if len(region) < _COMPARED and self._may_take(wanted, upstream):
                is_owner = not region
                region.append(self._weigh(wanted, upstream, is_owner))
        return found

    def _may_take(self, wanted: Wanted, upstream: Upstream) -> bool:
        name = upstream.instance
        if name in wanted.tried or self.health.is_avoided(name):
            return False
        if not self._state.is_cold(name):
            return True
        rate = self._cold_rate(wanted.service)
        if not rate:
            return True
        gateways = self._around.gateways(upstream.region)
        if not gateways:
            gateways = self._around.gateways('')
        is_sender = self.cold.is_sender(name, gateways)
        return is_sender and self.cold.has_room(name, rate)

    def _weigh(
        self,
        wanted: Wanted,
        upstream: Upstream,
        is_owner: bool,
    ) -> Candidate:
        name = upstream.instance
        route = wanted.route
        pace = self.pace.upstream(name)
        factor = pace.factor(self._around.clock.now())
        times = self.pace.route(
            route.name,
            wanted.service,
            route.target_latency_s,
        )
        is_warm = self._is_warm(wanted, name, is_owner)
        busy = self.load.estimate(name)
        queued = max(busy + 1 - upstream.slots, 0)
        mean_s = pace.mean_s or times.cold_s
        risk = self.health.refusal_share(name) * route.target_latency_s
        return Candidate(
            upstream=upstream,
            delay_s=self.delay_s(upstream.region),
            wait_s=queued * mean_s * factor / upstream.slots,
            work_s=times.expect(is_warm=is_warm) * factor,
            risk_s=risk,
            is_warm=is_warm,
            busy=busy,
            is_known=times.is_known,
        )

    def _is_warm(self, wanted: Wanted, name: str, is_owner: bool) -> bool:
        if not wanted.key or not wanted.route.is_sticky:
            return False
        if self.affinity.has_handled(name, wanted.key):
            return True
        return is_owner and not self._state.is_cold(name)

    def _home_or_away(
        self,
        wanted: Wanted,
        home: Candidate | None,
        away: Candidate | None,
    ) -> tuple[Candidate | None, str]:
        if home is None:
            return away, _AWAY
        if away is None:
            return home, _HOME
        self._note_pressure(wanted, home, away)
        if self.spills.takes_next(wanted.service):
            return away, _SPILL
        return home, _HOME

    def _note_pressure(
        self,
        wanted: Wanted,
        home: Candidate,
        away: Candidate,
    ) -> None:
        """Tell the spill how long the queue at home is."""
        spare_s = wanted.route.target_latency_s - home.work_s - home.delay_s
        least_s = wanted.route.target_latency_s / 4
        pressure = home.wait_s / max(spare_s, least_s)
        has_room = away.expected_s < max(
            home.expected_s,
            wanted.route.target_latency_s,
        )
        self.spills.note(wanted.service, pressure, has_room=has_room)

    def _is_admitted(self, wanted: Wanted, chosen: Candidate) -> bool:
        return self._admission.allows(
            wanted.route,
            chosen,
            wanted.left_s,
            self._lowest_rank(wanted.service),
        )

    def _lowest_rank(self, service: str) -> int:
        """Rank of the most urgent route to a service."""
        configuration = self._state.configuration
        if self._ranks[0] is not configuration:
            self._ranks = (configuration, dict(_iter_ranks(configuration)))
        return self._ranks[1].get(service, 0)

    def _cold_rate(self, service: str) -> float:
        return self._state.configuration.rules(service).cold_per_s

    def _learn(self, sent: Sent, ended: Ended) -> None:
        candidate = sent.choice.candidate
        upstream = sent.choice.upstream
        wanted = sent.wanted
        self._learn_delay(upstream.region, ended.connect_s)
        work_s = max(ended.took_s - candidate.delay_s, 0)
        times = self.pace.route(
            wanted.route.name,
            wanted.service,
            wanted.route.target_latency_s,
        )
        is_warm = sent.was_handled and wanted.route.is_sticky
        expected_s = times.expect(is_warm=candidate.is_warm) + candidate.wait_s
        is_cold = self._state.is_cold(upstream.instance)
        self.pace.learn(upstream.instance, work_s, expected_s)
        is_plain = not (sent.waited_for or is_cold)
        if is_plain and (is_warm or not candidate.is_warm):
            times.learn(work_s, is_warm=is_warm)
        if wanted.key:
            self.affinity.note(upstream.instance, wanted.key)

    def _learn_delay(self, region: str, connect_s: float) -> None:
        if not connect_s or region == self._around.region:
            return
        before = self._delays.get(region, connect_s)
        self._delays[region] = before + _DELAY_WEIGHT * (connect_s - before)

    def _no_upstream(self, wanted: Wanted) -> RefusedError:
        retry_s = self._admission.retry_after_s(wanted.route, None)
        return RefusedError(ErrorKind.NO_UPSTREAM, wanted.service, retry_s)

    def _overloaded(
        self,
        wanted: Wanted,
        chosen: Candidate,
        candidates: int,
    ) -> RefusedError:
        retry_s = self._admission.retry_after_s(wanted.route, chosen)
        refusal = RefusedError(ErrorKind.OVERLOADED, wanted.service, retry_s)
        refusal.expected_s = chosen.expected_s
        refusal.candidates = candidates
        return refusal


def _iter_ranks(configuration) -> Iterator[tuple[str, int]]:
    ranks: dict[str, int] = {}
    for route in configuration.routes:
        for share in route.shares:
            known = ranks.get(share.service, route.rank)
            ranks[share.service] = min(known, route.rank)
    yield from ranks.items()
