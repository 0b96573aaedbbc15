"""Clients that send requests to upstreams."""

from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    Destination,
    DestinationReportReceiver,
    Dialect,
    Headers,
    ReportReceiver,
    UpstreamClient,
    UpstreamReport,
    UpstreamRequest,
)
from nutmegshore.upstreams.memory import MemoryUpstream, MemoryUpstreams

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'Destination',
    'DestinationReportReceiver',
    'Dialect',
    'Headers',
    'MemoryUpstream',
    'MemoryUpstreams',
    'ReportReceiver',
    'UpstreamClient',
    'UpstreamReport',
    'UpstreamRequest',
)
