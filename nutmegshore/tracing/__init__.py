"""Analysis of gateway logs: traces of requests, faults, counts, warmth."""

from nutmegshore.tracing.faults import LoggedFault, read_faults
from nutmegshore.tracing.offsets import estimate_offsets
from nutmegshore.tracing.records import LogRecord, read_records
from nutmegshore.tracing.request_trace import Story, find_story
from nutmegshore.tracing.summary import Summary, summarise
from nutmegshore.tracing.warmth import (
    AttemptCount,
    RouteWarmth,
    summarise_warmth,
)

__all__ = (
    'AttemptCount',
    'LoggedFault',
    'LogRecord',
    'RouteWarmth',
    'Story',
    'Summary',
    'estimate_offsets',
    'find_story',
    'read_faults',
    'read_records',
    'summarise',
    'summarise_warmth',
)
