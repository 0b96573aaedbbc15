"""Errors of HTTP calls to a store that got no answer."""

import pycurl
from tornado.httpclient import HTTPClientError

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)

__all__ = ('unanswered',)

#: Curl errors that occur before any byte of the request is sent.
_NOT_SENT = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST),
)


def unanswered(key: str, failure: HTTPClientError) -> PlatformError:
    """Return the error for a write that got no answer.

    The write certainly had no effect only if nothing was sent.
    """
    if getattr(failure, 'errno', None) in _NOT_SENT:
        return PlatformUnavailable(f'{key}: {failure}')
    return PlatformAnswerLost(f'{key}: {failure}')
