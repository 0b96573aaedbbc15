"""Admission queues of all services at one entry."""

import asyncio
from collections.abc import Callable, Mapping

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Service
from nutmegshore.steering.admission import AdmissionQueue
from nutmegshore.steering.permit import Pending, Permit
from nutmegshore.steering.rate import DepartureRate

__all__ = ('ServiceQueues',)

#: Interval at which waiting requests are placed again, since the estimates
#: decay over time.
_SWEEP_S = 0.01


class ServiceQueues:
    """One admission queue per service, and the task that pumps them.

    `on_wait(service, count)` is called while requests of a service wait.
    """

    def __init__(
        self,
        clock: Clock,
        place: Callable[[Pending], Permit | None],
    ) -> None:
        """Start without services."""
        self._clock = clock
        self._place = place
        self._queues: dict[str, AdmissionQueue] = {}
        self._rates: dict[str, DepartureRate] = {}
        self._sweeper: asyncio.Task | None = None
        self.on_wait: Callable[[str, int], None] = _ignore

    def apply(
        self,
        services: Mapping[str, Service],
        owned_slots: Mapping[str, float],
    ) -> None:
        """Apply the declared targets and the slots that this entry owns."""
        for name, service in services.items():
            if name not in self._queues:
                rate = DepartureRate(self._clock)
                queue = AdmissionQueue(self._clock, self._place, rate)
                self._rates[name] = rate
                self._queues[name] = queue
            self._queues[name].set_target_ms(service.queue_target_ms)
            self._rates[name].slots = owned_slots[name]

    async def wait(self, pending: Pending, service: Service) -> Permit:
        """Queue a request and return its permit, or raise its refusal."""
        queue = self._queues[pending.request.service]
        waiter = queue.enter(
            pending,
            service.priority,
            pending.request.is_restricted,
        )
        if not waiter.result.done():
            self._sweep_if_needed()
            self.on_wait(pending.request.service, len(queue))
        return await queue.wait(waiter)

    def expected_wait_s(self, service: str) -> float:
        """Expected wait of a request that joins the queue now, in seconds."""
        queue = self._queues[service]
        return queue.wait_s(len(queue))

    def lengths(self) -> dict[str, int]:
        """Number of waiting requests by service."""
        return {name: len(queue) for name, queue in self._queues.items()}

    def record_departure(self, service: str, held_s: float) -> None:
        """Count the end of a request that held a slot."""
        self._rates[service].record(held_s)

    def pump(self, service: str) -> None:
        """Place waiting requests of one service."""
        self._queues[service].pump()

    def pump_all(self) -> None:
        """Place waiting requests of all services."""
        for queue in self._queues.values():
            queue.pump()

    async def stop(self) -> None:
        """Refuse all waiting requests and end the task."""
        for queue in self._queues.values():
            queue.close(ErrorKind.STOPPING)
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)

    def _sweep_if_needed(self) -> None:
        if self._sweeper is None or self._sweeper.done():
            self._sweeper = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        while any(self._queues.values()):
            await self._clock.sleep(_SWEEP_S)
            self.pump_all()
            for name, queue in self._queues.items():
                if len(queue):
                    self.on_wait(name, len(queue))


def _ignore(service: str, count: int) -> None:
    """Do nothing; the default of `on_wait`."""
