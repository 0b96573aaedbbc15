"""Messages that replicate the configuration, numbers 20 to 29."""

from typing import Any

import attrs

from nutmegshore.peers import message

__all__ = ('Digest', 'Entries', 'EntriesRequest', 'ProblemReport', 'Snapshot')

_FIRST_NUMBER = 20


@message(_FIRST_NUMBER)
@attrs.frozen
class Digest:
    """Digest of the sender's table, and whether the sender is ready."""

    digest: bytes
    is_ready: bool


@message(_FIRST_NUMBER + 1)
@attrs.frozen
class EntriesRequest:
    """Requests the entries missing from packed versions; empty requests all."""

    versions: bytes


@message(_FIRST_NUMBER + 2)
@attrs.frozen
class Entries:
    """Encoded envelopes; `is_answer` marks an answer to `EntriesRequest`."""

    bodies: list[bytes]
    is_answer: bool = False


@message(_FIRST_NUMBER + 3)
@attrs.frozen
class Snapshot:
    """One chunk of a compressed list of envelopes with its checksum."""

    payload: bytes
    checksum: bytes
    is_last: bool
    is_ready: bool


@message(_FIRST_NUMBER + 4)
@attrs.frozen
class ProblemReport:
    """Current problems found by a watcher of the platform."""

    problems: list[Any]
