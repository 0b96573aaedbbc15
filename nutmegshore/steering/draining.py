"""Declared drains of regions and availability zones, step by step."""

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

    All entries of the region take out the same upstreams in the same order,
    so the load of a step is known from the estimate of busy slots. A drain of
    another region takes effect here at once: no load is moved into it.
    """

    def __init__(self, components: SteeringComponents, region: str) -> None:
        """Start without drains."""
        self._components = components
        self._region = region
        self._pacers: dict[str, DrainPacer] = {}
        self._is_behind = False

    def follow(self, table: ConfigurationTable) -> None:
        """Take new drains and drop deleted ones."""
        upstreams = table.by_name(Upstream)
        drains = table.by_name(Drain)
        for name in set(self._pacers) - set(drains):
            self._pacers.pop(name)
        for name, drain in drains.items():
            present = self._pacers.get(name)
            origin = Origin.of(drain)
            if present is None or present.origin != origin:
                self._begin(drain, upstreams)

    def kept(self) -> frozenset[str]:
        """Upstreams that no drain has reached yet."""
        return frozenset().union(
            *(pacer.kept for pacer in self._pacers.values()),
        )

    def progress(self) -> tuple[DrainProgress, ...]:
        """Typed status of each paced drain."""
        return tuple(pacer.progress() for pacer in self._pacers.values())

    def moved(self) -> dict[str, int]:
        """Upstreams taken out so far, by drain and generation."""
        return {
            _drain_key(pacer.origin): pacer.moved
            for pacer in self._pacers.values()
        }

    def catch_up(self, moved: Mapping[str, int]) -> None:
        """Follow a peer that is further, so that a restart undoes no step."""
        for pacer in self._pacers.values():
            ahead = moved.get(_drain_key(pacer.origin), 0) - pacer.moved
            if ahead > 0:
                pacer.take_step(pacer.kept[:ahead])
                self._is_behind = True

    def advance(self, plan: Plan) -> bool:
        """Take the steps that are due and have room; True after a step."""
        is_moved = self._is_behind
        self._is_behind = False
        for _, pacer in sorted(self._pacers.items()):
            names = pacer.next_names()
            if names and self._has_room(pacer, names, plan):
                pacer.take_step(names)
                is_moved = True
        return is_moved

    def _begin(self, drain: Envelope, upstreams: dict[str, Envelope]) -> None:
        names = sorted(
            (
                name
                for name, found in upstreams.items()
                if found.spec.region == self._region
                and is_drained(name, found.spec, drain.spec)
            ),
            key=_shuffled,
        )
        if names and not drain.spec.upstream:
            self._pacers[drain.name] = DrainPacer(
                Origin.of(drain),
                tuple(names),
                self._components.clock,
            )

    def _has_room(
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
                rest = {
                    name: found
                    for name, found in choice.upstreams.items()
                    if name not in pacer.kept
                }
                free += free_slots(self._components, rest)
            else:
                free += self._components.rooms.free_slots(
                    service, choice.region
                )
        return free


def _drain_key(origin: Origin) -> str:
    return f'{origin.name}/{origin.generation}'


def _shuffled(name: str) -> bytes:
    """Order that mixes services, so that each step takes some of each."""
    return hashlib.blake2b(name.encode()).digest()
