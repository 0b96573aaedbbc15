"""Messages that wait to be sent on one link."""

import itertools

import attrs

from nutmegshore.peers.queue_rules import QueueRule

__all__ = ('SendQueue',)

#: Seconds for which later messages of a slot go to the end of the queue. After
#: that they keep the place of the first, so that a slot is sent at all while
#: the queue does not become empty.
_MAX_DEFERRAL_S = 1


@attrs.frozen
class _Waiting:
    """An encoded message; `since` is when the first of its slot was queued."""

    frame: bytes
    since: float


class SendQueue:
    """Encoded messages in the order in which they are sent.

    A message takes the place of an earlier one of the same slot. `size` is in
    bytes, and `replaced` counts the messages that were never sent for this.

        queue.put(frame, QueueRule(slot='LoadReport'), now=12.5)
        stream.write(queue.pop())
    """

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.replaced = 0
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
            self.replaced += 1
            self.size -= len(earlier.frame)
        if now - since < _MAX_DEFERRAL_S:
            self._by_key.pop(key, None)
        self._by_key[key] = _Waiting(frame, since)
        self.size += len(frame)

    def pop(self) -> bytes:
        """Remove the next message and return it."""
        key = next(iter(self._by_key))
        frame = self._by_key.pop(key).frame
        self.size -= len(frame)
        return frame
