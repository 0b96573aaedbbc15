"""At-most-once execution of requests with an idempotency key."""

from nutmegshore.once.claim import Claim
from nutmegshore.once.once import KeyedRequest, OnceRecords
from nutmegshore.once.record import OnceRecord, RecordedAnswer, RecordState
from nutmegshore.once.sweep import RecordSweep

__all__ = (
    'Claim',
    'KeyedRequest',
    'OnceRecords',
    'OnceRecord',
    'RecordSweep',
    'RecordState',
    'RecordedAnswer',
)
