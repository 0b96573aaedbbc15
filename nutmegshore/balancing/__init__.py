"""Decisions over many gateways: where a request goes, and what is refused.

Nothing here uses the network; each module holds one decision.
"""

from nutmegshore.balancing.balancer import Balancer
from nutmegshore.balancing.budget import RetryBudget
from nutmegshore.balancing.candidate_builder import Surroundings
from nutmegshore.balancing.choice import Choice, Wanted
from nutmegshore.balancing.outcome import Ended, Outcome
from nutmegshore.balancing.split import SplitTable

__all__ = (
    'Balancer',
    'Choice',
    'Ended',
    'Outcome',
    'RetryBudget',
    'SplitTable',
    'Surroundings',
    'Wanted',
)
