"""Faults of the program's own code, made visible.

`Faults` counts and logs unexpected exceptions; `report_logged_faults` adds
those that only asyncio and tornado see.
"""

from nutmegshore.faults.faults import (
    CURRENT_REQUEST,
    Fault,
    Faults,
    describe_failure,
    log_fault,
)
from nutmegshore.faults.logged import report_logged_faults

__all__ = (
    'CURRENT_REQUEST',
    'Fault',
    'Faults',
    'describe_failure',
    'log_fault',
    'report_logged_faults',
)
