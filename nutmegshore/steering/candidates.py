"""Candidate upstreams of a request in one region."""

from collections.abc import Iterable

from nutmegshore.resources import Upstream
from nutmegshore.steering.choice import UpstreamOption
from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.failures import find_rule
from nutmegshore.steering.permit import RouteRequest
from nutmegshore.steering.plan import Plan, RegionChoice
from nutmegshore.steering.subset import assign_slots, is_in_subset

__all__ = ('CandidateFinder',)


class CandidateFinder:
    """Finds the upstreams of a region that a request may use.

    Upstreams outside the subset of this entry, leaving upstreams and those
    that a rule excludes are left out; slot quotas and slow start bound the
    rest.
    """

    def __init__(self, components: SteeringComponents, plan: Plan) -> None:
        """Use `plan` until `apply` replaces it."""
        self.plan = plan
        self._components = components
        self._outside_subset: set[str] = set()
        self._is_shared = False

    def apply(self, plan: Plan) -> None:
        """Use a newer plan and divide the local slots among live members."""
        self.plan = plan
        members = self._components.members_of(plan.region)
        local = self._components.peers.local.name
        owned = self._components.slots.owned
        owned.clear()
        self._is_shared = len(members) > 1
        self._outside_subset = set()
        for choice in self._local_choices():
            shares = assign_slots(choice.upstreams, members)
            owned.update(shares.get(local, {}))
            for name, found in choice.upstreams.items():
                if not is_in_subset(local, members, name, found):
                    self._outside_subset.add(name)

    def owned_slots(self, service: str) -> float:
        """Slots of the local upstreams that this entry owns."""
        return sum(
            self._components.slots.owned.get(name, 0)
            for choice in self.plan.choices.get(service, ())
            if choice.region == self.plan.region
            for name in choice.upstreams
        )

    def find(
        self,
        choice: RegionChoice,
        request: RouteRequest,
    ) -> list[UpstreamOption]:
        """Upstreams of a region that the request may use.

        If the probe of an excluded upstream is due, a first attempt gets it
        as the only candidate.
        """
        rule = find_rule(
            self.plan.rules,
            'upstream_failed',
            request.service,
            choice.region,
        )
        usable = {
            name: upstream
            for name, upstream in choice.upstreams.items()
            if self._is_usable(name, request)
        }
        excluded = self._components.failures.excluded(usable, rule)
        due_probes = list(filter(self._components.failures.may_probe, excluded))
        if due_probes and not request.attempts:
            # As the only candidate, a probe does not compete with working
            # upstreams.
            slots = usable[due_probes[0]].slots
            return [UpstreamOption(due_probes[0], slots, owned=slots)]
        return [
            self._candidate(name, upstream)
            for name, upstream in usable.items()
            if name not in excluded
        ]

    def _local_choices(self) -> Iterable[RegionChoice]:
        return (
            choice
            for choices in self.plan.choices.values()
            for choice in choices
            if choice.region == self.plan.region
        )

    def _is_usable(self, name: str, request: RouteRequest) -> bool:
        is_unavailable = (
            name in self._components.leaving or name in self._outside_subset
        )
        return not is_unavailable and request.may_use(name)

    def _candidate(self, name: str, upstream: Upstream) -> UpstreamOption:
        local = self._components.peers.local
        is_local = upstream.region == self.plan.region
        return UpstreamOption(
            name=name,
            limit=self._components.slow_start.limit(name, upstream.slots),
            owned=self._components.slots.quota(name),
            is_open=not (self._is_shared and is_local),
            is_near=upstream.availability_zone == local.availability_zone,
        )
