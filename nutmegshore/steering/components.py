"""Components of steering, built once for each entry."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, Peers
from nutmegshore.resources import Upstream
from nutmegshore.steering.capacity import LinkMeter, RegionCapacity
from nutmegshore.steering.choice import Chooser
from nutmegshore.steering.estimate import BusyEstimate
from nutmegshore.steering.failures import FailureWatch
from nutmegshore.steering.gate import CapGate, ClosedGate
from nutmegshore.steering.leaving import LeavingUpstreams
from nutmegshore.steering.retry import RetryBudget
from nutmegshore.steering.slots import SlotLedger
from nutmegshore.steering.shift_tally import ShiftTally
from nutmegshore.steering.slow_start import SlowStart

__all__ = (
    'NoPeers',
    'SteeringComponents',
    'SteeringDependencies',
    'free_slots',
)

#: Share of a region's slots that is not offered to load from elsewhere.
_RESERVED_SHARE = 0.05


class NoPeers(Peers):
    """Peers of an entry that runs alone."""

    def live(self) -> dict[str, Member]:
        """Only the local member."""
        return {self.local.name: self.local}

    def send(self, name: str, body: object) -> bool:
        """Send nothing, as there is no other member."""
        return False


@attrs.frozen
class SteeringDependencies:
    """Objects that steering takes from its process; only the clock is required.

    Without `peers` the entry runs alone in `availability_zone`.
    """

    clock: Clock
    counters: Counters = attrs.field(factory=Counters)
    peers: Peers | None = None
    gate: CapGate = attrs.field(factory=ClosedGate)
    availability_zone: str = ''


@attrs.frozen
class SteeringComponents:
    """Shared state on which the decisions of one entry are based."""

    clock: Clock
    rng: random.Random
    counters: Counters
    peers: Peers
    gate: CapGate
    estimate: BusyEstimate
    chooser: Chooser
    slow_start: SlowStart
    failures: FailureWatch
    leaving: LeavingUpstreams
    capacity: RegionCapacity
    links: LinkMeter
    budget: RetryBudget
    shifts: ShiftTally
    slots: SlotLedger

    @classmethod
    def build(
        cls,
        dependencies: SteeringDependencies,
        region: str,
        rng: random.Random,
    ) -> 'SteeringComponents':
        """Build the components, without state yet, for an entry in a region."""
        clock = dependencies.clock
        local = Member('', region, dependencies.availability_zone)
        estimate = BusyEstimate(clock)
        return cls(
            clock=clock,
            rng=rng,
            counters=dependencies.counters,
            peers=dependencies.peers or NoPeers(local),
            gate=dependencies.gate,
            estimate=estimate,
            chooser=Chooser(estimate, rng),
            slow_start=SlowStart(clock),
            failures=FailureWatch(clock),
            leaving=LeavingUpstreams(),
            capacity=RegionCapacity(clock),
            links=LinkMeter(clock),
            budget=RetryBudget(clock, dependencies.counters),
            shifts=ShiftTally(dependencies.counters),
            slots=SlotLedger(),
        )

    def members_of(self, region: str) -> dict[str, Member]:
        """Live members of a region by name."""
        return {
            name: member
            for name, member in self.peers.live().items()
            if member.region == region
        }


def free_slots(
    components: SteeringComponents, upstreams: dict[str, Upstream]
) -> float:
    """Free slots of the upstreams that accept work, less the reserved share."""
    free = float(0)
    for name, found in upstreams.items():
        if name not in components.leaving:
            limit = components.slow_start.limit(name, found.slots)
            usable = limit - found.slots * _RESERVED_SHARE
            free += usable - components.estimate.busy(name)
    return free
