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
    """First message on a link; the proof of the key follows in `Proof`."""

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
    """Keyed digest of both hellos and of the sender's side of the link."""

    digest: bytes


@message(3)
@attrs.frozen
class Refusal:
    """Last message on a link that is refused; `kind` is an error kind."""

    kind: str


@message(4)
@attrs.frozen
class Ping:
    """Asks for an `Ack`; `requester` wants to hear of it where one is named."""

    requester: str = ''


@message(5)
@attrs.frozen
class Ack:
    """Says that `name` answered a ping."""

    name: str
    incarnation: int
    requester: str = ''


@message(6)
@attrs.frozen
class PingRequest:
    """Asks a helper to probe a member that the sender cannot hear."""

    name: str


@message(7)
@attrs.frozen
class Suspect:
    """One member's suspicion against one incarnation of another."""

    name: str
    incarnation: int
    suspected_by: str


@message(8)
@attrs.frozen
class MembershipUpdate:
    """Membership records, each a list in the order of `Record`."""

    records: list[Any]


@message(9)
@attrs.frozen
class Relay:
    """A message on its way over several links.

    `target` names one member; where it is empty the message goes to all
    members of `region`, or of the cluster where that is empty too.
    """

    origin: str
    sequence: int
    target: str
    region: str
    hops: int
    frame: bytes
