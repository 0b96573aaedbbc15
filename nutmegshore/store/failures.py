"""What a failed HTTP call to a store means."""

import pycurl
from tornado.httpclient import HTTPClientError

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)

__all__ = ('unanswered',)

#: Curl errors before any byte of the request was sent.
_NOT_SENT = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST),
)


def unanswered(key: str, failure: HTTPClientError) -> PlatformError:
    """The error for a write without an answer.

    It surely took no effect only where nothing was sent.
    """
    if getattr(failure, 'errno', None) in _NOT_SENT:
        return PlatformUnavailable(f'{key}: {failure}')
    return PlatformAnswerLost(f'{key}: {failure}')
