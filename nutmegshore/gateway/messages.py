"""Messages between gateways, numbers 80 to 89."""

import attrs

from nutmegshore.peers import message

__all__ = (
    'LoadReport',
    'LoadSummary',
    'RegionLoadReport',
    'StateRequest',
    'StateReply',
)

_LOAD_NUMBER = 80
_QUESTION_NUMBER = 81
_REPLY_NUMBER = 82
_SUMMARY_NUMBER = 83
_REGION_NUMBER = 84


@message(_LOAD_NUMBER)
@attrs.frozen
class LoadReport:
    """What a gateway has in flight, and how far its state goes.

    `in_flight` counts requests by upstream, none of them 0. `known` holds, by
    prefix of keys, the position in the store, the digest of the objects,
    and the seconds since the last listing. `verdicts` is the digest of the
    requests that are refused because they crash upstreams. `moved` are the
    requests of the last 2 s that were sent to upstreams of the region, and
    those that were sent elsewhere.
    """

    is_ready: bool
    in_flight: dict
    known: dict
    verdicts: int = 0
    moved: list = attrs.field(factory=list)


@message(_QUESTION_NUMBER)
@attrs.frozen
class StateRequest:
    """Asks for what changed below a prefix after a position.

    `is_whole` asks for all objects, where the changes did not suffice.
    """

    prefix: str
    position: int
    is_whole: bool = True


@message(_REPLY_NUMBER)
@attrs.frozen
class StateReply:
    """Objects below a prefix as `[key, body, uid, version]`.

    Unless `is_whole`, they are those that changed, and `removed` has the keys
    of those that are gone. `is_after_outage` says that entries may still be
    missing in the store.
    """

    prefix: str
    position: int
    listed: list
    is_whole: bool = True
    removed: list = attrs.field(factory=list)
    is_after_outage: bool = False


@message(_SUMMARY_NUMBER)
@attrs.frozen
class LoadSummary:
    """What an aggregator tells the gateways of its region.

    `ready` names the gateways of the region that take requests. `in_flight`
    counts the requests of all gateways by upstream. `known` and `verdicts`
    are the aggregator's own, as in `LoadReport`; `moved` is summed over the
    region.
    """

    ready: list
    in_flight: dict
    known: dict
    verdicts: int = 0
    moved: list = attrs.field(factory=list)


@message(_REGION_NUMBER)
@attrs.frozen
class RegionLoadReport:
    """What an aggregator tells those of the other regions.

    `in_flight` counts the requests of the gateways of `region` by upstream.
    """

    region: str
    in_flight: dict
    known: dict
    verdicts: int = 0
