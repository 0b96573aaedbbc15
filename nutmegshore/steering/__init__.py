"""Decisions on where each request goes."""

from nutmegshore.steering.plan import Origin, Plan, RegionChoice, build_plan
from nutmegshore.steering.steering import Permit, RouteRequest, Steering

__all__ = (
    'Origin',
    'Permit',
    'Plan',
    'RegionChoice',
    'RouteRequest',
    'Steering',
    'build_plan',
)
