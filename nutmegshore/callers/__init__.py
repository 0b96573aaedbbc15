"""Look-up of entries and forwarding of requests for callers."""

from nutmegshore.callers.application import make_caller_application
from nutmegshore.callers.forward import CallerForwarder, ForwardHooks
from nutmegshore.callers.gate import OpenGate, RequestGate
from nutmegshore.callers.lookup import (
    EntryAnswer,
    LookupAnswer,
    LookupLedger,
    check_service,
    lookup_entries,
)
from nutmegshore.callers.record import (
    IdempotencyClaim,
    IdempotencyRecords,
    NoIdempotencyRecords,
    ReplayableAnswer,
)
from nutmegshore.callers.request import CallerRequest
from nutmegshore.callers.retry import RetryFreely, RetryPolicy
from nutmegshore.callers.stop import ListenerStop

__all__ = (
    'CallerRequest',
    'EntryAnswer',
    'ForwardHooks',
    'CallerForwarder',
    'ListenerStop',
    'LookupAnswer',
    'LookupLedger',
    'NoIdempotencyRecords',
    'IdempotencyClaim',
    'IdempotencyRecords',
    'OpenGate',
    'ReplayableAnswer',
    'RequestGate',
    'RetryFreely',
    'RetryPolicy',
    'check_service',
    'lookup_entries',
    'make_caller_application',
)
