"""Placement of one request: region, upstream, then caps."""

from collections.abc import Callable

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Envelope, Region
from nutmegshore.steering.access import RegionAccess
from nutmegshore.steering.candidates import CandidateFinder
from nutmegshore.steering.choice import UpstreamOption
from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.permit import Pending, Permit, RouteRequest, Unit
from nutmegshore.steering.plan import Origin, Plan, RegionChoice
from nutmegshore.steering.shift_tally import ShiftResult

__all__ = ('RequestRouter',)

ReleaseHandler = Callable[[Permit, ErrorKind | None, bool], None]


class RequestRouter:
    """Places requests by a plan and the state of the components.

    `expected_wait_s(service)` is the expected wait in the local queue.
    """

    def __init__(
        self,
        components: SteeringComponents,
        plan: Plan,
        on_release: ReleaseHandler,
        expected_wait_s: Callable[[str], float],
    ) -> None:
        """Place by `plan` until `apply` replaces it."""
        self.plan = plan
        self._components = components
        self._on_release = on_release
        self.candidates = CandidateFinder(components, plan)
        self._access = RegionAccess(components, plan, expected_wait_s)

    def apply(self, plan: Plan, regions: dict[str, Region]) -> None:
        """Use a newer plan and the members that are live now."""
        self.plan = plan
        self.candidates.apply(plan)
        self._access.apply(plan, regions)

    def place(self, pending: Pending) -> Permit | None:
        """Place a request; None while all slots that it may use are busy.

        Raises `RequestError` with `NO_UPSTREAM` if no upstream is usable for
        it, and with `CAP_REACHED` if a declared limit refuses it.
        """
        request = pending.request
        permit = self._probe_region(request) or self._try_shift(pending)
        if permit is not None:
            return permit
        count = 0
        for choice in self.plan.choices[request.service]:
            candidates = self.candidates.find(choice, request)
            count += len(candidates)
            permit = self._place_if_open(choice, candidates, request)
            if permit is not None:
                return permit
        if not count:
            raise RequestError(ErrorKind.NO_UPSTREAM, request.service)
        return None

    def _place_if_open(
        self,
        choice: RegionChoice,
        candidates: list[UpstreamOption],
        request: RouteRequest,
    ) -> Permit | None:
        if candidates and self._access.is_open(choice, request):
            shift = self._find_shift(choice, request.service)
            return self._place_in(choice, candidates, request, shift)
        return None

    def _find_shift(
        self,
        choice: RegionChoice,
        service: str,
    ) -> Envelope | None:
        """The shift whose cap bounds all requests to a region.

        A cap is the amount of a service that one region may send to another,
        so it also bounds requests that spill over or that a rule moves.
        """
        for shift in self.plan.shifts.get(service, ()):
            if shift.spec.to_region == choice.region:
                return shift
        return None

    def _probe_region(self, request: RouteRequest) -> Permit | None:
        for skipped in self.plan.skipped[request.service]:
            names = sorted(filter(request.may_use, skipped.upstreams))
            is_due = names and self._components.failures.try_probe_region(
                request.service,
                skipped.region,
            )
            if is_due:
                name = self._components.rng.choice(names)
                choice = RegionChoice(
                    skipped.region,
                    skipped.upstreams,
                    skipped.origins,
                )
                return self._probe(name, choice, request)
        return None

    def _probe(
        self,
        name: str,
        choice: RegionChoice,
        request: RouteRequest,
    ) -> Permit | None:
        """Probe a failed region, within the cap of the shift to it."""
        shift = self._find_shift(choice, request.service)
        units = [('shift', shift.name)] if shift else []
        if self._acquire_all(units, request.body_bytes):
            return self._permit(name, choice, request, tuple(units))
        return None

    def _try_shift(self, pending: Pending) -> Permit | None:
        """Apply the drawn shift, once, if it has capacity and a unit."""
        shift = pending.shift
        pending.shift = None
        if shift is None:
            return None
        request = pending.request
        for choice in self.plan.choices[request.service]:
            if choice.region == shift.spec.to_region:
                return self._place_shifted(choice, request, shift)
        return None

    def _place_shifted(
        self,
        choice: RegionChoice,
        request: RouteRequest,
        shift: Envelope,
    ) -> Permit | None:
        tally = self._components.shifts
        if not self._access.has_capacity(choice, request):
            tally.record(shift.name, ShiftResult.NO_ROOM)
            return None
        candidates = self.candidates.find(choice, request)
        permit = self._place_in(choice, candidates, request, shift)
        result = ShiftResult.MOVED if permit else ShiftResult.NO_UNIT
        tally.record(shift.name, result)
        return permit

    def _place_in(
        self,
        choice: RegionChoice,
        candidates: list[UpstreamOption],
        request: RouteRequest,
        shift: Envelope | None = None,
    ) -> Permit | None:
        service = self.plan.services[request.service]
        name = self._components.chooser.choose(candidates, service)
        if not name:
            return None
        units: list[Unit] = [('limit', limit) for limit in choice.limits]
        if shift is not None:
            units.append(('shift', shift.name))
        if self._acquire_all(units, request.body_bytes):
            origins = (*choice.origins, *map(Origin.of, filter(None, [shift])))
            choice = RegionChoice(choice.region, choice.upstreams, origins)
            return self._permit(name, choice, request, tuple(units))
        if shift is None:
            raise RequestError(ErrorKind.CAP_REACHED, request.service)
        return None

    def _acquire_all(self, units: list[Unit], size_bytes: int) -> bool:
        gate = self._components.gate
        acquired: list[Unit] = []
        for unit in units:
            if not gate.try_acquire(*unit, size_bytes):
                for earlier in acquired:
                    gate.release_unit(*earlier)
                return False
            acquired.append(unit)
        return True

    def _permit(
        self,
        name: str,
        choice: RegionChoice,
        request: RouteRequest,
        units: tuple[Unit, ...],
    ) -> Permit:
        components = self._components
        components.estimate.own[name] += 1
        components.failures.record_sent(name)
        if choice.region != self.plan.region:
            components.capacity.in_flight[request.service, choice.region] += 1
        return Permit(
            name=name,
            upstream=choice.upstreams[name],
            service=self.plan.services[request.service],
            origins=choice.origins,
            on_release=self._on_release,
            started_at=components.clock.now(),
            units=units,
        )
