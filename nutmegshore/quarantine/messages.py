"""Messages between entries about requests that crash upstreams."""

import attrs

from nutmegshore.peers import message

__all__ = ('CrashCleared', 'CrashReport', 'Verdicts')

_REPORT_NUMBER = 60
_CLEARED_NUMBER = 61
_VERDICTS_NUMBER = 62


@message(_REPORT_NUMBER)
@attrs.frozen
class CrashReport:
    """Reports an upstream that was lost while a request was in flight there."""

    service: str
    digest: str
    upstream: str


@message(_CLEARED_NUMBER)
@attrs.frozen
class CrashCleared:
    """Clears a suspected request, because it has completed at the sender."""

    service: str
    digest: str


@message(_VERDICTS_NUMBER)
@attrs.frozen
class Verdicts:
    """All quarantined requests of the sender.

    Each is a list `[service, digest, remaining_s]`. An entry that has just
    started receives this message and refuses the same requests.
    """

    refusals: list
