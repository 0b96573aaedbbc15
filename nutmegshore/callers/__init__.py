"""The callers that look up entries and send requests."""

from nutmegshore.callers.forward import CallerRequest, Forwarder
from nutmegshore.callers.lookup import EntryAnswer, LookupAnswer, lookup_entries
from nutmegshore.callers.server import make_caller_application

__all__ = (
    'CallerRequest',
    'EntryAnswer',
    'Forwarder',
    'LookupAnswer',
    'lookup_entries',
    'make_caller_application',
)
