"""Parts of steering that share one process's clock and counters."""

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

#: Share of a region's slots that is not offered to moved load.
_KEPT_SHARE = 0.05


class NoPeers(Peers):
    """Peers of an entry that has none."""

    def live(self) -> dict[str, Member]:
        """Only the local member."""
        return {self.local.name: self.local}

    def send(self, name: str, body: object) -> bool:
        """Reach nobody."""
        return False


@attrs.frozen
class SteeringDependencies:
    """What steering uses of its process; each part has a default."""

    clock: Clock
    counters: Counters = attrs.field(factory=Counters)
    peers: Peers | None = None
    gate: CapGate = attrs.field(factory=ClosedGate)
    availability_zone: str = ''


@attrs.frozen
class SteeringComponents:
    """The state behind the decisions of one entry."""

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
    rooms: RegionCapacity
    links: LinkMeter
    budget: RetryBudget
    shifts: ShiftTally
    slots: SlotLedger

    @classmethod
    def build(
        cls,
        around: SteeringDependencies,
        region: str,
        rng: random.Random,
    ) -> 'SteeringComponents':
        """Build empty parts for an entry in a region."""
        clock = around.clock
        local = Member('', region, around.availability_zone)
        estimate = BusyEstimate(clock)
        return cls(
            clock=clock,
            rng=rng,
            counters=around.counters,
            peers=around.peers or NoPeers(local),
            gate=around.gate,
            estimate=estimate,
            chooser=Chooser(estimate, rng),
            slow_start=SlowStart(clock),
            failures=FailureWatch(clock),
            leaving=LeavingUpstreams(),
            rooms=RegionCapacity(clock),
            links=LinkMeter(clock),
            budget=RetryBudget(clock, around.counters),
            shifts=ShiftTally(around.counters),
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
    """Free slots of ready upstreams, less the share that is kept."""
    free = float(0)
    for name, found in upstreams.items():
        if name not in components.leaving:
            limit = components.slow_start.limit(name, found.slots)
            usable = limit - found.slots * _KEPT_SHARE
            free += usable - components.estimate.busy(name)
    return free
