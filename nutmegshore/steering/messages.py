"""Messages about load between entries."""

import attrs

from nutmegshore.peers import message

__all__ = (
    'Load',
    'RegionLoad',
    'SlotLoan',
    'SlotReturn',
    'SlotRequest',
    'UpstreamLeaving',
)

_LOAD_NUMBER = 30
_REGION_LOAD_NUMBER = 31
_LEAVING_NUMBER = 32
_SLOT_REQUEST_NUMBER = 33
_SLOT_LOAN_NUMBER = 34
_SLOT_RETURN_NUMBER = 35


@message(_LOAD_NUMBER)
@attrs.frozen
class Load:
    """Requests that the sender has in flight, by upstream, and its counts.

    `requests` and `retries` count since the start of the sender.
    `moved_by_drain` is the number of upstreams removed so far, by drain and
    generation, `borrowed` the borrowed slots by lender and upstream.
    """

    in_flight: dict[str, int]
    requests: int = 0
    retries: int = 0
    moved_by_drain: dict[str, int] = attrs.field(factory=dict)
    borrowed: dict[str, dict[str, int]] = attrs.field(factory=dict)


@message(_REGION_LOAD_NUMBER)
@attrs.frozen
class RegionLoad:
    """Free slots of the sender's region by service.

    Waiting requests are subtracted, so a number can be negative.
    """

    free_by_service: dict[str, float]


@message(_LEAVING_NUMBER)
@attrs.frozen
class UpstreamLeaving:
    """An upstream that is leaving and accepts no new work."""

    name: str


@message(_SLOT_REQUEST_NUMBER)
@attrs.frozen
class SlotRequest:
    """Request for slots: `count` requests of the service wait at the sender."""

    service: str
    count: int


@message(_SLOT_LOAN_NUMBER)
@attrs.frozen
class SlotLoan:
    """Lent slots by upstream, each for one request of the receiver."""

    service: str
    slots: dict[str, int]


@message(_SLOT_RETURN_NUMBER)
@attrs.frozen
class SlotReturn:
    """Number of borrowed slots that the sender returns, by upstream."""

    slots: dict[str, int]
