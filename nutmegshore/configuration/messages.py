"""Messages that spread the configuration, numbers 20 to 29."""

from typing import Any

import attrs

from nutmegshore.peers import message

__all__ = ('Digest', 'Entries', 'ProblemReport', 'Snapshot', 'Want')

_FIRST_NUMBER = 20


@message(_FIRST_NUMBER)
@attrs.frozen
class Digest:
    """Digest of the sender's table, and whether the sender is ready."""

    digest: bytes
    is_ready: bool


@message(_FIRST_NUMBER + 1)
@attrs.frozen
class Want:
    """Asks for what the packed versions lack; empty asks for all."""

    versions: bytes


@message(_FIRST_NUMBER + 2)
@attrs.frozen
class Entries:
    """Envelopes as they are stored; `is_answer` ends a `Want`."""

    bodies: list[bytes]
    is_answer: bool = False


@message(_FIRST_NUMBER + 3)
@attrs.frozen
class Snapshot:
    """One part of a compressed list of envelopes with its checksum."""

    payload: bytes
    checksum: bytes
    is_last: bool
    is_ready: bool


@message(_FIRST_NUMBER + 4)
@attrs.frozen
class ProblemReport:
    """Problems that a watcher of the platform sees now."""

    problems: list[Any]
