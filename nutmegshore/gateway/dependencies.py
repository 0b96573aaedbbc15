"""Objects that the components of a gateway share."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.log import EventLog
from nutmegshore.store import Platform

__all__ = ('GatewayDependencies',)


@attrs.frozen
class GatewayDependencies:
    """Dependencies that the components of a gateway share."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog
