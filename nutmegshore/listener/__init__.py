"""The HTTP listener that callers connect to."""

from nutmegshore.listener.answer import AnswerWriter, abort_stream
from nutmegshore.listener.body import KEPT_BYTES, CallerBody, KeptBody
from nutmegshore.listener.context import ListenerLimits, ListenerParts
from nutmegshore.listener.headers import RequestHead
from nutmegshore.listener.responder import Exchange
from nutmegshore.listener.server import CallerServer

__all__ = (
    'KEPT_BYTES',
    'AnswerWriter',
    'CallerBody',
    'CallerServer',
    'Exchange',
    'KeptBody',
    'ListenerLimits',
    'ListenerParts',
    'RequestHead',
    'abort_stream',
)
