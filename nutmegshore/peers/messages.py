"""Messages of links and membership, numbers 1 to 19."""

from typing import Any

import attrs

from nutmegshore.peers.codec import message

__all__ = (
    'Ack',
    'Hello',
    'MembershipUpdate',
    'Ping',
    'PingRequest',
    'Proof',
    'Refusal',
    'Relay',
    'Suspect',
)


@message(1)
@attrs.frozen
class Hello:
    """First message on a link; `Proof` then authenticates the sender."""

    version: int
    cluster: str
    name: str
    incarnation: int
    region: str
    availability_zone: str
    address: str
    challenge: bytes


@message(2)
@attrs.frozen
class Proof:
    """HMAC over both hellos and the sender's side of the link."""

    digest: bytes


@message(3)
@attrs.frozen
class Refusal:
    """Last message on a link that is refused; `kind` is an error kind."""

    kind: str


@message(4)
@attrs.frozen
class Ping:
    """A probe; `requester` names the member that asked for an indirect one."""

    requester: str = ''


@message(5)
@attrs.frozen
class Ack:
    """Acknowledges a ping of `name`; forwarded to the `requester` if any."""

    name: str
    incarnation: int
    requester: str = ''


@message(6)
@attrs.frozen
class PingRequest:
    """Requests an indirect probe of a member that does not answer."""

    name: str


@message(7)
@attrs.frozen
class Suspect:
    """Suspicion of `suspected_by` against one incarnation of `name`."""

    name: str
    incarnation: int
    suspected_by: str


@message(8)
@attrs.frozen
class MembershipUpdate:
    """Membership records, each a list in `MemberRecord` field order."""

    records: list[Any]


@message(9)
@attrs.frozen
class Relay:
    """A message forwarded over several links.

    `target` names one member. If it is empty, the message goes to all members
    of `region`, or of the cluster if `region` is empty too. `slot` and
    `expires` are those of its `QueueRule`; earlier versions neither send nor
    forward them.
    """

    origin: str
    sequence: int
    target: str
    region: str
    hops: int
    frame: bytes
    slot: str = ''
    expires: bool = False
