"""The HTTP listener that callers connect to."""

from nutmegshore.listener.answer import AnswerWriter, abort_stream
from nutmegshore.listener.body import KEPT_BYTES, CallerBody, KeptBody
from nutmegshore.byte_budget import ByteBudget, HeldBytes
from nutmegshore.listener.context import ListenerContext, ListenerLimits
from nutmegshore.listener.headers import RequestHead
from nutmegshore.listener.instance_limits import InstanceLimits
from nutmegshore.listener.responder import Responder
from nutmegshore.listener.server import CallerServer

__all__ = (
    'KEPT_BYTES',
    'AnswerWriter',
    'ByteBudget',
    'CallerBody',
    'CallerServer',
    'HeldBytes',
    'InstanceLimits',
    'Responder',
    'KeptBody',
    'ListenerLimits',
    'ListenerContext',
    'RequestHead',
    'abort_stream',
)
