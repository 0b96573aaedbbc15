"""Slot lending between the entries of a region."""

from collections.abc import Mapping

from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.messages import SlotLoan, SlotReturn, SlotRequest
from nutmegshore.steering.plan import Plan
from nutmegshore.steering.queues import ServiceQueues

__all__ = ('SlotLending',)

#: Minimum time between two requests for slots of one service.
_REQUEST_INTERVAL_S = 0.005
#: Peers that get each request; bounds the messages in a large region.
_REQUESTED_PEERS = 2


class SlotLending:
    """Borrows slots for waiting requests and lends spare ones.

    An entry asks its peers for slots when a request has to wait. A freed slot
    goes first to the requests that wait at its owner; only spare slots are
    lent, and each is returned after one request.
    """

    def __init__(
        self, components: SteeringComponents, queues: ServiceQueues
    ) -> None:
        """Subscribe to the peers' messages."""
        self.plan: Plan | None = None
        self._components = components
        self._queues = queues
        self._requested_at: dict[str, float] = {}
        peers = components.peers
        peers.subscribe(SlotRequest, self._lend)
        peers.subscribe(SlotLoan, self._borrow)
        peers.subscribe(SlotReturn, self._handle_return)
        queues.on_wait = self.request_slots

    def request_slots(self, service: str, count: int) -> None:
        """Ask peers of the region for slots of a service."""
        now = self._components.clock.now()
        due = (
            self._requested_at.get(service, -_REQUEST_INTERVAL_S)
            + _REQUEST_INTERVAL_S
        )
        if now < due:
            return
        self._requested_at[service] = now
        peers = self._components.peers
        local_members = self._components.members_of(peers.local.region)
        # A message to a member without a direct link takes several hops.
        others = sorted(set(local_members).intersection(peers.neighbours()))
        sample_size = min(_REQUESTED_PEERS, len(others))
        for name in self._components.rng.sample(others, sample_size):
            peers.send(name, SlotRequest(service, count))

    def record_release(self, name: str) -> None:
        """Return one borrowed slot of an upstream, if any, after a request."""
        lender = self._components.slots.return_one(name)
        if lender:
            self._components.peers.send(lender, SlotReturn({name: 1}))

    def request_if_waiting(self, service: str) -> None:
        """Ask for slots again while requests of the service wait."""
        waiting = self._queues.lengths()[service]
        if waiting:
            self.request_slots(service, waiting)

    def _lend(self, sender: str, request: SlotRequest) -> None:
        spare = self._spare(request.service)
        loan = self._components.slots.lend(sender, request.count, spare)
        if loan:
            self._components.peers.send(sender, SlotLoan(request.service, loan))

    def _borrow(self, sender: str, loan: SlotLoan) -> None:
        self._components.slots.borrow(sender, loan.slots)
        if loan.service in self._queues.lengths():
            self._queues.pump(loan.service)
        unused = self._unused(loan.slots)
        for name, count in unused.items():
            for _ in range(count):
                self._components.slots.return_one(name)
        if unused:
            self._components.peers.send(sender, SlotReturn(unused))

    def _handle_return(self, sender: str, returned: SlotReturn) -> None:
        self._components.slots.record_return(sender, returned.slots)
        self._queues.pump_all()

    def _unused(self, slots: Mapping[str, int]) -> dict[str, int]:
        spare = {name: min(self._free(name), slots[name]) for name in slots}
        return {name: count for name, count in spare.items() if count > 0}

    def _spare(self, service: str) -> dict[str, int]:
        if self.plan is None:
            return {}
        return {
            name: self._free(name)
            for choice in self.plan.choices.get(service, ())
            if choice.region == self.plan.region
            for name in choice.upstreams
            if name not in self._components.leaving
        }

    def _free(self, name: str) -> int:
        return (
            self._components.slots.quota(name)
            - self._components.estimate.own[name]
        )
