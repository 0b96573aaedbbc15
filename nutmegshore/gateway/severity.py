"""Severities of log events."""

import enum

__all__ = ('Severity',)


class Severity(enum.IntEnum):
    """Severity of an event; under overload the lowest is dropped first."""

    ROUTINE = 0
    NOTICE = 1
    FAILURE = 2
    CHANGE = 3
