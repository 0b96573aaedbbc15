"""Errors of calls to a store that got no answer."""

from nutmegshore.errors import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from nutmegshore.store.calls import CallFailed

__all__ = ('unanswered',)


def unanswered(failure: CallFailed) -> PlatformError:
    """Return the error for a write that got no answer.

    The write certainly had no effect only if nothing was sent.
    """
    if failure.is_sent:
        return PlatformAnswerLost(str(failure))
    return PlatformUnavailable(str(failure))
