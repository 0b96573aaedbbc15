"""How an attempt at an upstream ended."""

import enum

import attrs

__all__ = ('AttemptResult', 'AttemptOutcome')


class AttemptOutcome(enum.Enum):
    """What the end of an attempt says about its upstream.

    `ABANDONED` says nothing: the caller disconnected, or the gateway failed.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    SILENT = 'silent'
    ABANDONED = 'abandoned'


@attrs.frozen
class AttemptResult:
    """The end of an attempt after `took_s` seconds."""

    outcome: AttemptOutcome
    took_s: float
