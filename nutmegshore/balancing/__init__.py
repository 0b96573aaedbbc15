"""Decisions over many gateways: where a request goes, and what is refused.

Nothing here uses the network; each module holds one decision.
"""

from nutmegshore.balancing.balancer import Balancer
from nutmegshore.balancing.budget import FleetRetryBudget
from nutmegshore.balancing.candidate_builder import BalancerDependencies
from nutmegshore.balancing.choice import Choice, RoutingRequest
from nutmegshore.balancing.outcome import AttemptOutcome, AttemptResult
from nutmegshore.balancing.split import SplitTable

__all__ = (
    'Balancer',
    'Choice',
    'AttemptResult',
    'AttemptOutcome',
    'FleetRetryBudget',
    'SplitTable',
    'BalancerDependencies',
    'RoutingRequest',
)
