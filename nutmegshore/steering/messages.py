"""Messages about load between entries."""

import attrs

from nutmegshore.peers import message

__all__ = (
    'Load',
    'RegionLoad',
    'SlotLent',
    'SlotReturned',
    'SlotWanted',
    'UpstreamLeaving',
)

_LOAD_NUMBER = 30
_REGION_LOAD_NUMBER = 31
_LEAVING_NUMBER = 32
_WANTED_NUMBER = 33
_LENT_NUMBER = 34
_RETURNED_NUMBER = 35


@message(_LOAD_NUMBER)
@attrs.frozen
class Load:
    """What the sender has in flight, by upstream, and its retry counts.

    `requests` and `retries` count since the start of the sender. `drained`
    gives the upstreams taken out so far by drain and generation, `borrowed`
    the slots by lender and upstream.
    """

    in_flight: dict[str, int]
    requests: int = 0
    retries: int = 0
    drained: dict[str, int] = attrs.field(factory=dict)
    borrowed: dict[str, dict[str, int]] = attrs.field(factory=dict)


@message(_REGION_LOAD_NUMBER)
@attrs.frozen
class RegionLoad:
    """Free slots of the sender's region by service; negative when queued."""

    room: dict[str, float]


@message(_LEAVING_NUMBER)
@attrs.frozen
class UpstreamLeaving:
    """An upstream that takes no new work."""

    name: str


@message(_WANTED_NUMBER)
@attrs.frozen
class SlotWanted:
    """The sender has this many requests of a service waiting."""

    service: str
    count: int


@message(_LENT_NUMBER)
@attrs.frozen
class SlotLent:
    """Slots by upstream that the receiver may use for one request each."""

    service: str
    slots: dict[str, int]


@message(_RETURNED_NUMBER)
@attrs.frozen
class SlotReturned:
    """Slots by upstream that the sender gives back."""

    slots: dict[str, int]
