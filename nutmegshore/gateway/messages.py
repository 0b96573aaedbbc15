"""Messages between gateways, numbers 80 to 89."""

import attrs

from nutmegshore.peers import message

__all__ = ('LoadReport', 'StateQuestion', 'StateReply')

_LOAD_NUMBER = 80
_QUESTION_NUMBER = 81
_REPLY_NUMBER = 82


@message(_LOAD_NUMBER)
@attrs.frozen
class LoadReport:
    """What a gateway has in flight, and how far its state goes.

    `in_flight` counts requests by upstream, none of them 0. `known` holds, by
    prefix of keys, the position in the store, the digest of the objects,
    and the seconds since the last listing. `verdicts` is the digest of the
    requests that are refused because they crash upstreams.
    """

    is_ready: bool
    in_flight: dict
    known: dict
    verdicts: int = 0


@message(_QUESTION_NUMBER)
@attrs.frozen
class StateQuestion:
    """Asks for the objects below a prefix, as of a later position."""

    prefix: str
    position: int


@message(_REPLY_NUMBER)
@attrs.frozen
class StateReply:
    """All objects below a prefix as `[key, body, uid, version]`."""

    prefix: str
    position: int
    listed: list
