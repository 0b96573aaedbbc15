"""Messages about at-most-once records."""

import attrs

from nutmegshore.peers import message

__all__ = ('OnceAnswer', 'OnceQuery')

_QUERY_NUMBER = 50
_ANSWER_NUMBER = 51


@message(_QUERY_NUMBER)
@attrs.frozen
class OnceQuery:
    """Asks the owner of a record for the outcome of its request."""

    key: str


@message(_ANSWER_NUMBER)
@attrs.frozen
class OnceAnswer:
    """Reports the outcome of a request.

    `state` is a `RecordState` value, where `started` means that the request
    still runs, or `unknown`. `record` is the encoded record once the claim
    has a result, and empty before.
    """

    key: str
    state: str
    record: bytes = b''
