"""Routing of messages over one or several links."""

import collections
import random
from collections.abc import Iterable
from typing import Any

import attrs

from nutmegshore.counters import Counters
from nutmegshore.peers.codec import encode
from nutmegshore.peers.compression import compress_frame
from nutmegshore.peers.link import Link
from nutmegshore.peers.membership import Membership
from nutmegshore.peers.messages import Relay
from nutmegshore.peers.queue_rules import NO_RULE, QueueRule, queue_rule

__all__ = ('HOP_LIMIT', 'MAX_SEEN_MESSAGES', 'MessageRouter')

#: Maximum number of hops of a message; a ring of 4096 members needs 12.
HOP_LIMIT = 16
#: Forwarded messages that are remembered to detect duplicates.
MAX_SEEN_MESSAGES = 8192
_SEQUENCE_BITS = 48


class MessageRouter:
    """Sends over open links, and forwards messages of other members."""

    def __init__(
        self,
        membership: Membership,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Start without links."""
        self.links: dict[str, Link] = {}
        self._membership = membership
        self._counters = counters
        self._local = membership.local_name
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._seen: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def send(self, name: str, body: Any) -> bool:
        """Send to one member, directly or by the next hop."""
        frame = encode(body)
        return self._send_frame(name, frame, compress_frame(frame), body)

    def send_each(self, names: Iterable[str], body: Any) -> None:
        """Send to several members, encoded once."""
        frame = encode(body)
        compressed = compress_frame(frame)
        for name in names:
            self._send_frame(name, frame, compressed, body)

    def send_direct(self, body: Any) -> None:
        """Send to the other end of every link."""
        self._flood(encode(body), '', '')

    def broadcast(self, body: Any) -> None:
        """Send to every live member."""
        if not self._membership.topology.is_full:
            self._flood(encode(self._wrap(encode(body))), '', '')
            return
        for name in self._membership.live():
            if name != self._local:
                self.send(name, body)

    def send_region(self, region: str, body: Any) -> None:
        """Send to every live member of a region."""
        if not self._membership.topology.is_full:
            relay = self._wrap(encode(body), region=region)
            self._flood(encode(relay), '', region)
            return
        for name, member in self._membership.live().items():
            if member.region == region and name != self._local:
                self.send(name, body)

    def handle_relay(self, sender: str, relay: Relay) -> bool:
        """Forward a message; True if it is for the local member too."""
        if self._is_duplicate(relay):
            return False
        if relay.target:
            if relay.target == self._local:
                return True
            self._forward(relay, sender)
            return False
        if relay.hops < HOP_LIMIT:
            self._flood(encode(_next_hop(relay)), sender, relay.region)
        return relay.region in {'', self._region}

    def _send_frame(
        self, name: str, frame: bytes, compressed: bytes, body: Any
    ) -> bool:
        """Send a message as a frame, or compressed if the member reads it."""
        link = self.links.get(name)
        if link is not None and link.reads_compressed:
            frame = compressed
        self._count(body, len(frame))
        rule = queue_rule(body)
        if link is not None and link.send_frame(frame, rule):
            return True
        return self._forward(self._wrap(frame, target=name, rule=rule), '')

    def _count(self, body: Any, size: int) -> None:
        kind = type(body).__name__
        self._counters.add('peer_messages_sent', message=kind)
        self._counters.add('peer_bytes_sent', size, message=kind)

    @property
    def _region(self) -> str:
        return self._membership.local.member.region

    def _wrap(
        self,
        frame: bytes,
        target: str = '',
        region: str = '',
        rule: QueueRule = NO_RULE,
    ) -> Relay:
        self._sequence += 1
        relay = Relay(
            self._local,
            self._sequence,
            target,
            region,
            0,
            frame,
            rule.slot,
            rule.expires,
        )
        self._is_duplicate(relay)
        return relay

    def _is_duplicate(self, relay: Relay) -> bool:
        key = (relay.origin, relay.sequence)
        # A message with a target may pass the same member twice while routes
        # change; the hop limit ends its path.
        if not relay.target and key in self._seen:
            self._counters.add('relay_repeats')
            return True
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_MESSAGES:
            self._seen.popitem(last=False)
        return False

    def _forward(self, relay: Relay, sender: str) -> bool:
        hop = self._choose_hop(relay, sender)
        if hop is None or relay.hops >= HOP_LIMIT:
            self._counters.add('relay_dropped')
            return False
        return self.links[hop].send(_next_hop(relay))

    def _choose_hop(self, relay: Relay, sender: str) -> str | None:
        if relay.target in self.links:
            return relay.target
        topology = self._membership.topology
        live = self._membership.live()
        choices = [
            name
            for name in self.links
            if name not in {sender, relay.origin} and name in live
        ]
        return min(
            choices,
            key=lambda name: topology.distance(name, relay.target),
            default=None,
        )

    def _flood(self, frame: bytes, sender: str, region: str) -> None:
        live = self._membership.live()
        for name, link in list(self.links.items()):
            member = live.get(name)
            is_far = member is not None and member.region != region
            if name != sender and not (region and is_far):
                link.send_frame(frame)


def _next_hop(relay: Relay) -> Relay:
    return attrs.evolve(relay, hops=relay.hops + 1)
