"""Messages about at-most-once records."""

import attrs

from nutmegshore.peers import message

__all__ = ('OnceAnswer', 'OnceQuery')

_QUERY_NUMBER = 50
_ANSWER_NUMBER = 51


@message(_QUERY_NUMBER)
@attrs.frozen
class OnceQuery:
    """Asks the owner of a record how its request ended."""

    key: str


@message(_ANSWER_NUMBER)
@attrs.frozen
class OnceAnswer:
    """Tells how a request ended.

    `state` is a `RecordState` value; `started` says that it still runs.
    `record` holds the encoded record when it is done, else it is empty.
    """

    key: str
    state: str
    record: bytes = b''
