"""Placement of one request: region, caps, then upstream."""

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
    """Places requests by a plan and the state of the parts.

    `expected_wait_s(service)` gives the wait in the local queue.
    """

    def __init__(
        self,
        components: SteeringComponents,
        plan: Plan,
        on_release: ReleaseHandler,
        expected_wait_s: Callable[[str], float],
    ) -> None:
        """Place by a plan that `follow` replaces."""
        self.plan = plan
        self._components = components
        self._on_release = on_release
        self.candidates = CandidateFinder(components, plan)
        self._access = RegionAccess(components, plan, expected_wait_s)

    def follow(self, plan: Plan, regions: dict[str, Region]) -> None:
        """Use a newer plan, and the live members as they are now."""
        self.plan = plan
        self.candidates.follow(plan)
        self._access.follow(plan, regions)

    def place(self, pending: Pending) -> Permit | None:
        """Place a request; None while all slots that it may use are busy.

        Raises `RequestError` with `NO_UPSTREAM` if there is no upstream for
        it, and with `CAP_REACHED` if a declared limit refuses it.
        """
        request = pending.request
        permit = self._probe_region(request) or self._move(pending)
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
            shift = self._shift_to(choice, request.service)
            return self._place_in(choice, candidates, request, shift)
        return None

    def _shift_to(
        self,
        choice: RegionChoice,
        service: str,
    ) -> Envelope | None:
        """The shift whose cap bounds all that goes to a region.

        A cap says how much of a service one region may send to another, so
        it also bounds what spills over or is moved by a rule.
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
        """Send a probe of a failed region, within the cap to that region."""
        shift = self._shift_to(choice, request.service)
        wanted = [('shift', shift.name)] if shift else []
        if self._take_all(wanted, request.body_bytes):
            return self._permit(name, choice, request, tuple(wanted))
        return None

    def _move(self, pending: Pending) -> Permit | None:
        """Follow the drawn shift, once, if there is room and a unit."""
        shift = pending.shift
        pending.shift = None
        if shift is None:
            return None
        request = pending.request
        for choice in self.plan.choices[request.service]:
            if choice.region == shift.spec.to_region:
                return self._move_to(choice, request, shift)
        return None

    def _move_to(
        self,
        choice: RegionChoice,
        request: RouteRequest,
        shift: Envelope,
    ) -> Permit | None:
        tally = self._components.shifts
        if not self._access.has_room(choice, request):
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
        wanted: list[Unit] = [('limit', limit) for limit in choice.limits]
        if shift is not None:
            wanted.append(('shift', shift.name))
        if self._take_all(wanted, request.body_bytes):
            origins = (*choice.origins, *map(Origin.of, filter(None, [shift])))
            choice = RegionChoice(choice.region, choice.upstreams, origins)
            return self._permit(name, choice, request, tuple(wanted))
        if shift is None:
            raise RequestError(ErrorKind.CAP_REACHED, request.service)
        return None

    def _take_all(self, wanted: list[Unit], size_bytes: int) -> bool:
        gate = self._components.gate
        taken: list[Unit] = []
        for unit in wanted:
            if not gate.try_acquire(*unit, size_bytes):
                for earlier in taken:
                    gate.give_back(*earlier)
                return False
            taken.append(unit)
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
            components.rooms.in_flight[request.service, choice.region] += 1
        return Permit(
            name=name,
            upstream=choice.upstreams[name],
            service=self.plan.services[request.service],
            origins=choice.origins,
            on_release=self._on_release,
            started_at=components.clock.now(),
            units=units,
        )
