"""Routing and admission decisions shared by the gateways of a fleet.

Nothing here uses the network; each module holds one decision.
"""

from nutmegshore.balancing.balancer import Balancer
from nutmegshore.balancing.budget import FleetRetryBudget
from nutmegshore.balancing.choice import Choice, RoutingRequest
from nutmegshore.balancing.dependencies import BalancerDependencies
from nutmegshore.balancing.outcome import AttemptOutcome, AttemptResult
from nutmegshore.balancing.weighted_round_robin import WeightedRoundRobin

__all__ = (
    'Balancer',
    'Choice',
    'AttemptResult',
    'AttemptOutcome',
    'FleetRetryBudget',
    'WeightedRoundRobin',
    'BalancerDependencies',
    'RoutingRequest',
)
