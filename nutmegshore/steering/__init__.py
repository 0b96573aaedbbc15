"""Chooses the region and upstream that serve each request."""

from nutmegshore.steering.components import SteeringDependencies
from nutmegshore.steering.conflicts import Conflict, find_conflicts
from nutmegshore.steering.gate import CapGate, ClosedGate
from nutmegshore.steering.hedge import HedgePolicy
from nutmegshore.steering.leaving import DrainProgress, DrainState
from nutmegshore.steering.plan import (
    Explanation,
    Origin,
    Plan,
    RegionChoice,
    SkippedRegion,
    build_plan,
)
from nutmegshore.steering.steering import Permit, RouteRequest, Steering

__all__ = (
    'CapGate',
    'ClosedGate',
    'Conflict',
    'DrainProgress',
    'DrainState',
    'Explanation',
    'HedgePolicy',
    'Origin',
    'Permit',
    'Plan',
    'RegionChoice',
    'RouteRequest',
    'SkippedRegion',
    'Steering',
    'SteeringDependencies',
    'build_plan',
    'find_conflicts',
)
