"""How an attempt at an upstream ended."""

import enum

import attrs

__all__ = ('AttemptResult', 'AttemptOutcome')


class AttemptOutcome(enum.Enum):
    """What the end of an attempt says about its upstream.

    `ABANDONED` says nothing: the caller disconnected, or the gateway failed.
    Neither does `CLOSED`: the upstream may have closed an idle connection.
    `PAUSED` is a refusal in the time for which the upstream wants no requests.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    PAUSED = 'paused'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    SILENT = 'silent'
    ABANDONED = 'abandoned'
    CLOSED = 'closed'


@attrs.frozen
class AttemptResult:
    """The end of an attempt after `took_s` seconds."""

    outcome: AttemptOutcome
    took_s: float
