"""The upstreams that serve requests."""

from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    Headers,
    ReportReceiver,
    UpstreamClient,
    UpstreamRequest,
    read_report,
)
from nutmegshore.upstreams.memory import MemoryUpstream, MemoryUpstreams

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'Headers',
    'MemoryUpstream',
    'MemoryUpstreams',
    'ReportReceiver',
    'UpstreamClient',
    'UpstreamRequest',
    'read_report',
)
