"""Clients that send requests to upstreams."""

from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    Destination,
    DestinationReportReceiver,
    Dialect,
    Headers,
    MalformedAnswerReceiver,
    ReportReceiver,
    UpstreamClient,
    UpstreamReport,
    UpstreamRequest,
)
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer
from nutmegshore.upstreams.memory import MemoryUpstream, MemoryUpstreams

__all__ = (
    'AnswerFault',
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'Destination',
    'DestinationReportReceiver',
    'Dialect',
    'Headers',
    'MalformedAnswer',
    'MalformedAnswerReceiver',
    'MemoryUpstream',
    'MemoryUpstreams',
    'ReportReceiver',
    'UpstreamClient',
    'UpstreamReport',
    'UpstreamRequest',
)
