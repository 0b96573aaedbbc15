"""Steering of the requests that one entry receives."""

import asyncio
import random

from nutmegshore.clock import SystemClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Envelope, Region
from nutmegshore.steering.components import (
    SteeringComponents,
    SteeringDependencies,
)
from nutmegshore.steering.hedge import HedgePolicy
from nutmegshore.steering.leaving import DrainProgress
from nutmegshore.steering.lending import SlotLending
from nutmegshore.steering.load_reporter import LOAD_INTERVAL_S, LoadReporter
from nutmegshore.steering.permit import Pending, Permit, RouteRequest
from nutmegshore.steering.plan import (
    Explanation,
    Plan,
    build_plan,
    explain_plan,
)
from nutmegshore.steering.queues import ServiceQueues
from nutmegshore.steering.request_router import RequestRouter
from nutmegshore.steering.retry import RetryBudget
from nutmegshore.steering.state import PlanState

__all__ = ('Permit', 'RouteRequest', 'Steering')


class Steering:
    """Chooses the upstream of each request that one entry receives.

    permit = await steering.acquire(RouteRequest('orders', deadline))
    ...
    permit.release()

    `start` begins to exchange load messages with the peers; without them an
    entry knows only its own requests.
    """

    def __init__(
        self,
        table: ConfigurationTable,
        region: str,
        rng: random.Random,
        dependencies: SteeringDependencies | None = None,
    ) -> None:
        """Steer callers of one region by a configuration table."""
        dependencies = dependencies or SteeringDependencies(SystemClock())
        self.components = SteeringComponents.build(dependencies, region, rng)
        self.hedge = HedgePolicy(dependencies.counters, self.components.budget)
        self._table = table
        self._state = PlanState(self.components, region)
        self._queues = ServiceQueues(self.components.clock, self._place)
        self._router = RequestRouter(
            self.components,
            build_plan(table, region),
            self._release,
            self._queues.expected_wait_s,
        )
        self._load_reporter = LoadReporter(
            self.components,
            self._state.draining,
            self._queues.pump_all,
        )
        self._lending = SlotLending(self.components, self._queues)
        self._tasks: list[asyncio.Task] = []
        self._rebuild_plan([])
        table.subscribe(self._rebuild_plan)

    @property
    def plan(self) -> Plan:
        """The plan in force."""
        return self._router.plan

    async def start(self) -> None:
        """Start to exchange load messages with the peers."""
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """End the tasks and refuse the requests that still wait.

        Raises the error of a task that failed.
        """
        for task in self._tasks:
            task.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._queues.stop()
        for failure in ended:
            if isinstance(failure, Exception):
                raise failure

    async def acquire(self, request: RouteRequest) -> Permit:
        """Wait for a free slot and return the permit to use it.

        Raises `RequestError` if the request is refused. A retry that is
        refused fails with the kind of its last failure.
        """
        service = self.plan.services.get(request.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, request.service)
        _admit_attempt(self.components.budget, request)
        pending = Pending(request, self._state.draw_shift(self.plan, request))
        try:
            return await self._queues.wait(pending, service)
        except RequestError as failure:
            kind = failure.kind
            self.components.counters.add('requests_refused', reason=kind.value)
            # The earlier attempt may have run, so its failure stays the
            # outcome of the request.
            raise _refusal(request, kind) from failure

    def explain(self, service: str, region: str) -> Explanation:
        """Explain the route of the callers of a region to a service."""
        if region == self.plan.region:
            return explain_plan(self.plan, service)
        return explain_plan(build_plan(self._table, region), service)

    def drain_progress(self) -> tuple[DrainProgress, ...]:
        """Status of the drains that run in steps."""
        return self._state.draining.progress()

    def record_report(self, name: str, busy_slots: float) -> None:
        """Record the number of busy slots that an upstream reports."""
        self.components.estimate.record_report(name, busy_slots)

    def record_leaving(self, name: str) -> None:
        """Record an upstream's own signal that it is leaving."""
        if self.components.leaving.record(name, is_local=True):
            self.components.counters.add('upstreams_leaving', source='signal')
            self._load_reporter.announce_leaving()

    def record_listed(self, name: str, *, is_leaving: bool) -> None:
        """Record the state of an upstream in the platform's list."""
        if not is_leaving:
            self.components.leaving.clear(name)
        elif self.components.leaving.record(name, is_local=True):
            self.components.counters.add('upstreams_leaving', source='list')
            self._load_reporter.announce_leaving()

    def _release(
        self,
        permit: Permit,
        failure: ErrorKind | None,
        is_sent: bool,
    ) -> None:
        components = self.components
        service = permit.upstream.service
        components.estimate.own[permit.name] -= 1
        if permit.upstream.region != self.plan.region:
            components.capacity.in_flight[service, permit.upstream.region] -= 1
        for unit in permit.units:
            components.gate.release_unit(*unit)
        if is_sent:
            held_s = components.clock.now() - permit.started_at
            self._queues.record_departure(service, held_s)
            self._state.record_end(permit, failure)
            if failure is None:
                self.hedge.record_answer(service, held_s)
        self._lending.record_release(permit.name)
        self._queues.pump(service)
        self._lending.request_if_waiting(service)

    def _place(self, pending: Pending) -> Permit | None:
        return self._router.place(pending)

    def _rebuild_plan(self, newer: list[Envelope]) -> None:
        self._state.record_newer(newer, self._table)
        plan = self._state.build(self._table)
        regions = self._table.by_name(Region)
        self._router.apply(
            plan,
            {name: found.spec for name, found in regions.items()},
        )
        slots = {
            name: self._router.candidates.owned_slots(name)
            for name in plan.services
        }
        self._queues.apply(plan.services, slots)
        self._lending.plan = plan

    async def _run(self) -> None:
        while True:
            self._load_reporter.send(self.plan, self._queues.lengths())
            if self._state.is_changed(self.plan):
                self._rebuild_plan([])
            await self.components.clock.sleep(LOAD_INTERVAL_S)


def _admit_attempt(budget: RetryBudget, request: RouteRequest) -> None:
    if not request.attempts:
        budget.record_request()
        return
    reason = request.failed_with or ErrorKind.UPSTREAM_LOST
    if not budget.try_acquire(reason.value, request.attempts, request.deadline):
        raise RequestError(reason, request.service)


def _refusal(request: RouteRequest, kind: ErrorKind) -> RequestError:
    if request.attempts:
        kind = request.failed_with or ErrorKind.UPSTREAM_LOST
    return RequestError(kind, request.service)
