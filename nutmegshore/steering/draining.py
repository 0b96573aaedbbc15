"""Stepwise execution of declared drains of regions and zones."""

import collections
import hashlib
from collections.abc import Mapping

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Drain, Envelope, Upstream
from nutmegshore.steering.components import SteeringComponents, free_slots
from nutmegshore.steering.leaving import DrainPacer, DrainProgress
from nutmegshore.steering.plan import Origin, Plan, is_drained

__all__ = ('Draining',)


class Draining:
    """Paces the drains that cover upstreams of the local region.

    All entries of the region remove the same upstreams in the same order, so
    the estimate of busy slots gives the load that a step displaces. A drain
    of another region takes effect here at once: no load is moved into it.
    """

    def __init__(self, components: SteeringComponents, region: str) -> None:
        """Start without drains."""
        self._components = components
        self._region = region
        self._pacers: dict[str, DrainPacer] = {}
        self._is_plan_stale = False

    def apply(self, table: ConfigurationTable) -> None:
        """Start new and changed drains and drop deleted ones."""
        upstreams = table.by_name(Upstream)
        drains = table.by_name(Drain)
        for name in set(self._pacers) - set(drains):
            self._pacers.pop(name)
        for name, drain in drains.items():
            current = self._pacers.get(name)
            origin = Origin.of(drain)
            if current is None or current.origin != origin:
                self._start(drain, upstreams)

    def remaining(self) -> frozenset[str]:
        """Upstreams that no drain has reached yet."""
        return frozenset().union(
            *(pacer.remaining for pacer in self._pacers.values()),
        )

    def progress(self) -> tuple[DrainProgress, ...]:
        """Status of each paced drain."""
        return tuple(pacer.progress() for pacer in self._pacers.values())

    def moved(self) -> dict[str, int]:
        """Number of upstreams removed so far, by drain and generation."""
        return {
            _drain_key(pacer.origin): pacer.moved
            for pacer in self._pacers.values()
        }

    def catch_up(self, moved: Mapping[str, int]) -> None:
        """Catch up with a peer that has removed more upstreams.

        After a restart this restores the steps already taken.
        """
        for pacer in self._pacers.values():
            ahead = moved.get(_drain_key(pacer.origin), 0) - pacer.moved
            if ahead > 0:
                pacer.apply_step(pacer.remaining[:ahead])
                self._is_plan_stale = True

    def advance(self, plan: Plan) -> bool:
        """Apply the steps that are due, where the load fits elsewhere.

        Returns True if a step was applied since the last call, so that the
        plan has to be rebuilt.
        """
        is_changed = self._is_plan_stale
        self._is_plan_stale = False
        for _, pacer in sorted(self._pacers.items()):
            names = pacer.next_names()
            if names and self._has_capacity(pacer, names, plan):
                pacer.apply_step(names)
                is_changed = True
        return is_changed

    def _start(self, drain: Envelope, upstreams: dict[str, Envelope]) -> None:
        names = sorted(
            (
                name
                for name, found in upstreams.items()
                if found.spec.region == self._region
                and is_drained(name, found.spec, drain.spec)
            ),
            key=_shuffle_key,
        )
        if names and not drain.spec.upstream:
            self._pacers[drain.name] = DrainPacer(
                Origin.of(drain),
                tuple(names),
                self._components.clock,
            )

    def _has_capacity(
        self,
        pacer: DrainPacer,
        names: tuple[str, ...],
        plan: Plan,
    ) -> bool:
        busy = self._busy_by_service(names, plan)
        for service, needed in sorted(busy.items()):
            free = self._free_elsewhere(service, pacer, plan)
            if needed > free:
                pacer.hold(service, needed, free)
                return False
        return True

    def _busy_by_service(
        self,
        names: tuple[str, ...],
        plan: Plan,
    ) -> collections.Counter:
        busy: collections.Counter = collections.Counter()
        for choices in plan.choices.values():
            for choice in choices:
                for name in choice.upstreams.keys() & set(names):
                    service = choice.upstreams[name].service
                    busy[service] += self._components.estimate.busy(name)
        return busy

    def _free_elsewhere(
        self,
        service: str,
        pacer: DrainPacer,
        plan: Plan,
    ) -> float:
        free = float(0)
        for choice in plan.choices[service]:
            if choice.region == self._region:
                others = {
                    name: found
                    for name, found in choice.upstreams.items()
                    if name not in pacer.remaining
                }
                free += free_slots(self._components, others)
            else:
                free += self._components.capacity.free_slots(
                    service, choice.region
                )
        return free


def _drain_key(origin: Origin) -> str:
    return f'{origin.name}/{origin.generation}'


def _shuffle_key(name: str) -> bytes:
    """Sort key that mixes services, so that each step removes some of each."""
    return hashlib.blake2b(name.encode()).digest()
