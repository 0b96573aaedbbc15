"""Log of the memory that a gateway holds for its callers."""

import functools

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.gateway.events import CallerMemory
from nutmegshore.gateway.log import EventLog

__all__ = ('log_memory',)

#: Name of this part in reports of faults.
_PART = 'caller_memory'


def log_memory(budget: ByteBudget, log: EventLog) -> None:
    """Write a line when a budget gets short, and when it is well again."""
    budget.on_change = functools.partial(_write, budget, log)


def _write(budget: ByteBudget, log: EventLog) -> None:
    with log.faults.contain(_PART):
        log.write(CallerMemory(budget.is_short, budget.used, int(budget.limit)))
