"""Analysis of gateway logs: the trace of one request, and event counts."""

from nutmegshore.tracing.offsets import estimate_offsets
from nutmegshore.tracing.records import LogRecord, read_records
from nutmegshore.tracing.request_trace import Story, find_story
from nutmegshore.tracing.summary import Summary, summarise

__all__ = (
    'LogRecord',
    'Story',
    'Summary',
    'estimate_offsets',
    'find_story',
    'read_records',
    'summarise',
)
