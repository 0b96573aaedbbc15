"""Messages that wait to be sent on one link."""

import collections
import itertools

import attrs

from nutmegshore.peers.queue_rules import QueueRule

__all__ = ('SendQueue',)

#: Seconds for which later messages of a slot go to the end of the queue. After
#: that they keep the place of the first, so that a slot is sent at all while
#: the queue does not become empty.
_MAX_DEFERRAL_S = 1
#: Seconds after which what expires is dropped. Receivers rely on other members
#: before.
_EXPIRY_S = 2


@attrs.frozen
class _Waiting:
    """An encoded message; `since` is when the first of its slot was queued."""

    frame: bytes
    since: float
    expires_at: float


class SendQueue:
    """Encoded messages in the order in which they are sent.

    A message takes the place of an earlier one of the same slot, and one that
    expires is dropped some time later. `size` is in bytes; `dropped` counts the
    messages that were never sent, by reason.

        queue.put(frame, QueueRule(slot='LoadReport'), now=12.5)
        stream.write(queue.pop(now=12.6))
    """

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._by_key: dict[str | int, _Waiting] = {}

    def __len__(self) -> int:
        """Number of messages that wait."""
        return len(self._by_key)

    def put(self, frame: bytes, rule: QueueRule, now: float) -> None:
        """Queue a message by its rule."""
        key = rule.slot or next(self._numbers)
        earlier = self._by_key.get(key)
        since = now
        if earlier is not None:
            since = earlier.since
            self.dropped['replaced'] += 1
            self.size -= len(earlier.frame)
        if now - since < _MAX_DEFERRAL_S:
            self._by_key.pop(key, None)
        expires_at = now + _EXPIRY_S if rule.expires else float('inf')
        self._by_key[key] = _Waiting(frame, since, expires_at)
        self.size += len(frame)

    def pop(self, now: float) -> bytes:
        """Remove the next message and return it, b'' if all have expired."""
        while self._by_key:
            key = next(iter(self._by_key))
            first = self._by_key.pop(key)
            self.size -= len(first.frame)
            if now < first.expires_at:
                return first.frame
            self.dropped['expired'] += 1
        return b''

    def oldest_s(self, now: float) -> float:
        """Seconds for which the queue has not sent what waits longest."""
        waiting = self._by_key.values()
        return max((now - one.since for one in waiting), default=0)
