"""The HTTP listener that callers connect to."""

from nutmegshore.listener.answer import AnswerWriter, abort_stream
from nutmegshore.listener.body import KEPT_BYTES, CallerBody, KeptBody
from nutmegshore.listener.exchange import Exchange
from nutmegshore.listener.headers import RequestHead
from nutmegshore.listener.parts import ListenerLimits, ListenerParts
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
