"""Reading of gateways' logs: the story of a request, and counts."""

from nutmegshore.tracing.offsets import estimate_offsets
from nutmegshore.tracing.records import LogRecord, read_records
from nutmegshore.tracing.story import Story, find_story
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
