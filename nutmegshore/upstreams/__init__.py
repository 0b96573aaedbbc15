"""The upstreams that serve requests."""

from nutmegshore.upstreams.base import (
    AnswerHead,
    AnswerReceiver,
    BodySource,
    UpstreamClient,
    UpstreamRequest,
)
from nutmegshore.upstreams.memory import MemoryUpstream, MemoryUpstreams

__all__ = (
    'AnswerHead',
    'AnswerReceiver',
    'BodySource',
    'MemoryUpstream',
    'MemoryUpstreams',
    'UpstreamClient',
    'UpstreamRequest',
)
