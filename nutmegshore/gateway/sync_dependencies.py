"""Dependencies that the parts of a gateway's peering share."""

import random

import attrs

from nutmegshore.balancing import Balancer
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.log import EventLog
from nutmegshore.peers import Peers
from nutmegshore.quarantine import Quarantine

__all__ = ('PeeringDependencies',)


@attrs.frozen
class PeeringDependencies:
    """Dependencies of the peering of one gateway."""

    peers: Peers
    balancer: Balancer
    quarantine: Quarantine
    clock: Clock
    rng: random.Random
    counters: Counters
    log: EventLog
    leaving: LeavingUpstreams
    quotas: CustomerQuotas
