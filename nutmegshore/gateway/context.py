"""Objects that all requests of one gateway share."""

from collections.abc import Callable

import attrs

from nutmegshore.balancing import Balancer, FleetRetryBudget, WeightedRoundRobin
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.crashes import CrashGuard
from nutmegshore.gateway.key_age import KeyAge
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.quota_gate import QuotaGate
from nutmegshore.gateway.state import FleetState
from nutmegshore.listener import ByteBudget
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.upstreams import UpstreamClient

__all__ = ('GatewayContext',)


@attrs.frozen
class GatewayContext:
    """Objects that all requests of one gateway share.

    `count_gateways` returns the least number of gateways that share a budget,
    infinite while this one may not know the others. `key_age` decides on the
    keys of callers, and `memory` counts what is held for callers.
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
    quotas: QuotaGate
    count_gateways: Callable[[], float]
    key_age: KeyAge = attrs.field(
        default=attrs.Factory(
            lambda context: KeyAge(
                context.state, context.clock, context.counters, context.log
            ),
            takes_self=True,
        )
    )
    memory: ByteBudget = attrs.field(factory=ByteBudget)
