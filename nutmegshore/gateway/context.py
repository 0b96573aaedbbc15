"""What the requests of one gateway share."""

from collections.abc import Callable

import attrs

from nutmegshore.balancing import Balancer, FleetRetryBudget, WeightedRoundRobin
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.attempt_timeout import AttemptTimeout
from nutmegshore.gateway.crashes import CrashGuard
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.state import FleetState
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import UpstreamClient

__all__ = ('GatewayContext',)


@attrs.frozen
class GatewayContext:
    """What the requests of one gateway share.

    `count_gateways` gives how many gateways share a budget at least.
    """

    state: FleetState
    balancer: Balancer
    budget: FleetRetryBudget
    splits: WeightedRoundRobin
    upstreams: UpstreamClient
    dialect: PlatformDialect
    clock: Clock
    counters: Counters
    log: EventLog
    crashes: CrashGuard
    count_gateways: Callable[[], int]
    attempt_timeout: AttemptTimeout = attrs.field(factory=AttemptTimeout)
