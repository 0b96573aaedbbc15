"""State that the plan depends on besides the configuration."""

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Envelope, Shift
from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.draining import Draining
from nutmegshore.steering.failures import find_rule
from nutmegshore.steering.permit import Permit, RouteRequest
from nutmegshore.steering.plan import Origin, Plan, build_plan

__all__ = ('PlanState',)


class PlanState:
    """Progress of drains, failed regions, ramps and members of one entry."""

    def __init__(self, components: SteeringComponents, region: str) -> None:
        """Start with nothing in force."""
        self.draining = Draining(components, region)
        self._components = components
        self._region = region
        self._in_force_since: dict[str, float] = {}
        self._failed: dict[tuple[str, str], Origin] = {}
        self._members: tuple[str, ...] = ()

    def record_newer(
        self,
        newer: list[Envelope],
        table: ConfigurationTable,
    ) -> None:
        """Record newer objects; a shift among them starts its ramp now."""
        for envelope in newer:
            self._in_force_since[envelope.key] = self._components.clock.now()
            if envelope.kind == 'upstream':
                self._components.leaving.clear(envelope.name)
        self.draining.apply(table)

    def build(self, table: ConfigurationTable) -> Plan:
        """Build the plan for the current state."""
        return build_plan(
            table,
            self._region,
            self._failed,
            self.draining.remaining(),
        )

    def draw_shift(self, plan: Plan, request: RouteRequest) -> Envelope | None:
        """Draw at random the shift that moves this request, if any."""
        drawn = self._components.rng.random()
        for shift in plan.shifts.get(request.service, ()):
            share = self._current_share(shift)
            if drawn < share:
                return shift
            drawn -= share
        return None

    def record_end(self, permit: Permit, failure: ErrorKind | None) -> None:
        """Update failures and slow starts when a sent request ends."""
        slow_start = self._components.slow_start
        upstream = permit.upstream
        is_back = self._components.failures.record_result(
            permit.name, upstream, failure
        )
        is_refused = failure is ErrorKind.UPSTREAM_REFUSED
        if is_back or is_refused:
            slow_start.restart(permit.name)
        if failure is None:
            slow_start.record_served(permit.name)
            slow_start.record_served((upstream.service, upstream.region))

    def is_changed(self, plan: Plan) -> bool:
        """Whether the plan has to be rebuilt."""
        members = tuple(sorted(self._components.members_of(self._region)))
        failed = self._find_failed(plan)
        is_different = (members, failed) != (self._members, self._failed)
        self._members = members
        self._failed = failed
        return self.draining.advance(plan) or is_different

    def _current_share(self, shift: Envelope) -> float:
        spec: Shift = shift.spec
        since = self._in_force_since.get(shift.key, 0)
        age_s = self._components.clock.now() - since
        if age_s >= spec.ramp_seconds:
            return spec.share
        return spec.share * age_s / spec.ramp_seconds

    def _find_failed(self, plan: Plan) -> dict[tuple[str, str], Origin]:
        failed = {}
        for service in plan.services:
            regions = [
                found.region
                for found in (*plan.choices[service], *plan.skipped[service])
            ]
            for region in regions:
                rule = find_rule(plan.rules, 'region_failed', service, region)
                if self._has_failed(rule, service, region):
                    failed[service, region] = Origin.of(rule)
        return failed

    def _has_failed(
        self,
        rule: Envelope | None,
        service: str,
        region: str,
    ) -> bool:
        if rule is None or rule.spec.action == 'hold':
            return False
        return self._components.failures.has_failed(service, region, rule)
