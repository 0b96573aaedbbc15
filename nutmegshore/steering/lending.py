"""Messages by which an entry with waiting requests borrows slots."""

from collections.abc import Mapping

from nutmegshore.steering.components import SteeringComponents
from nutmegshore.steering.messages import SlotLent, SlotReturned, SlotWanted
from nutmegshore.steering.plan import Plan
from nutmegshore.steering.queues import ServiceQueues

__all__ = ('SlotLending',)

#: Least time between two questions for slots of one service.
_ASK_INTERVAL_S = 0.005
#: Peers that are asked at once; bounds the messages in a large region.
_ASKED_PEERS = 2


class SlotLending:
    """Borrows for waiting requests and lends what is spare.

    The peers are asked when a request has to wait. A freed slot goes to the
    requests that wait at its owner first; only what they leave is lent, and
    each slot comes back after one request.
    """

    def __init__(
        self, components: SteeringComponents, queues: ServiceQueues
    ) -> None:
        """Subscribe to the peers' messages."""
        self.plan: Plan | None = None
        self._components = components
        self._queues = queues
        self._asked_at: dict[str, float] = {}
        peers = components.peers
        peers.subscribe(SlotWanted, self._lend)
        peers.subscribe(SlotLent, self._borrow)
        peers.subscribe(SlotReturned, self._take_back)
        queues.on_wait = self.ask

    def ask(self, service: str, count: int) -> None:
        """Ask peers of the region for slots of a service."""
        now = self._components.clock.now()
        due = self._asked_at.get(service, -_ASK_INTERVAL_S) + _ASK_INTERVAL_S
        if now < due:
            return
        self._asked_at[service] = now
        peers = self._components.peers
        near = self._components.members_of(peers.local.region)
        # A question to a member that is not linked would pass several links.
        others = sorted(set(near).intersection(peers.neighbours()))
        asked = min(_ASKED_PEERS, len(others))
        for name in self._components.rng.sample(others, asked):
            peers.send(name, SlotWanted(service, count))

    def record_release(self, name: str) -> None:
        """Return a borrowed slot, if there is one, after a request ended."""
        lender = self._components.slots.return_one(name)
        if lender:
            self._components.peers.send(lender, SlotReturned({name: 1}))

    def ask_if_waiting(self, service: str) -> None:
        """Ask again while requests wait."""
        waiting = self._queues.lengths()[service]
        if waiting:
            self.ask(service, waiting)

    def _lend(self, sender: str, wanted: SlotWanted) -> None:
        spare = self._spare(wanted.service)
        loan = self._components.slots.lend(sender, wanted.count, spare)
        if loan:
            self._components.peers.send(sender, SlotLent(wanted.service, loan))

    def _borrow(self, sender: str, lent: SlotLent) -> None:
        self._components.slots.borrow(sender, lent.slots)
        if lent.service in self._queues.lengths():
            self._queues.pump(lent.service)
        unused = self._unused(lent.slots)
        for name, count in unused.items():
            for _ in range(count):
                self._components.slots.return_one(name)
        if unused:
            self._components.peers.send(sender, SlotReturned(unused))

    def _take_back(self, sender: str, returned: SlotReturned) -> None:
        self._components.slots.take_back(sender, returned.slots)
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
