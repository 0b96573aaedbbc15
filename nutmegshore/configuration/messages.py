"""Messages that spread the configuration, numbers 20 to 29."""

from typing import Any

import attrs

from nutmegshore.peers import message

__all__ = ('Digest', 'Entries', 'ProblemReport', 'Snapshot', 'Want')


@message(20)
@attrs.frozen
class Digest:
    """Digest of the sender's table, and whether the sender is ready."""

    digest: bytes
    is_ready: bool


@message(21)
@attrs.frozen
class Want:
    """Asks for what the packed versions lack; empty asks for all."""

    versions: bytes


@message(22)
@attrs.frozen
class Entries:
    """Envelopes as they are stored; `is_answer` ends a `Want`."""

    bodies: list[bytes]
    is_answer: bool = False


@message(23)
@attrs.frozen
class Snapshot:
    """One part of a compressed list of envelopes with its checksum."""

    payload: bytes
    checksum: bytes
    is_last: bool
    is_ready: bool


@message(24)
@attrs.frozen
class ProblemReport:
    """Problems that a watcher of the platform sees now."""

    problems: list[Any]
