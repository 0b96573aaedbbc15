"""Messages about crash-causing requests."""

import attrs

from nutmegshore.peers import message

__all__ = ('CrashCleared', 'CrashReport', 'Verdicts')

_REPORT_NUMBER = 60
_CLEARED_NUMBER = 61
_VERDICTS_NUMBER = 62


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


@message(_VERDICTS_NUMBER)
@attrs.frozen
class Verdicts:
    """All requests that are refused here, as `[service, digest, remaining_s]`.

    Tells an entry that has just started what the others have found out.
    """

    listed: list
