"""Objects that the parts of a balancer share."""

import random
from collections.abc import Callable, Collection

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.faults import Faults

__all__ = ('BalancerDependencies',)


def _make_faults() -> Faults:
    return Faults(Counters())


@attrs.frozen
class BalancerDependencies:
    """Dependencies of the balancer.

    `local` and `region` name this gateway and its region. `gateways` returns
    the names of the gateways of a region, or of all regions for an empty
    name. `max_shift` is the limit of `ShiftBound`. `faults` reports unexpected
    exceptions.
    """

    clock: Clock
    rng: random.Random
    local: str
    region: str
    gateways: Callable[[str], Collection[str]]
    max_shift: float
    faults: Faults = attrs.field(factory=_make_faults)
