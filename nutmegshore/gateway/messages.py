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

    `in_flight` counts requests by upstream, none of them 0. `marks` holds the
    revision of the newest change known, by prefix of keys.
    """

    is_ready: bool
    in_flight: dict
    marks: dict


@message(_QUESTION_NUMBER)
@attrs.frozen
class StateQuestion:
    """Asks for the objects below a prefix, if there is a newer mark."""

    prefix: str
    mark: int


@message(_REPLY_NUMBER)
@attrs.frozen
class StateReply:
    """All objects below a prefix as `[key, body, uid, version]`."""

    prefix: str
    mark: int
    position: int
    listed: list
