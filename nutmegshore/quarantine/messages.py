"""Messages about crash-causing requests."""

import attrs

from nutmegshore.peers import message

__all__ = ('CrashCleared', 'CrashReport')

_REPORT_NUMBER = 60
_CLEARED_NUMBER = 61


@message(_REPORT_NUMBER)
@attrs.frozen
class CrashReport:
    """A request was in flight when its upstream was lost."""

    service: str
    digest: str
    upstream: str


@message(_CLEARED_NUMBER)
@attrs.frozen
class CrashCleared:
    """A request that is suspected elsewhere has completed."""

    service: str
    digest: str
