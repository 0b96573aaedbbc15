"""Room of the other regions and of the links to them."""

import collections
from collections.abc import Mapping

import attrs

from nutmegshore.clock import Clock

__all__ = ('LinkMeter', 'RegionCapacity')

#: A summary counts this long; without a newer one nothing more is moved.
_SUMMARY_LIFETIME_S = 2
#: Share of a link that uploads may fill, which leaves room for the answers.
_LINK_SHARE = 0.8
_WINDOW_S = 1


@attrs.frozen
class _Summary:
    received_at: float
    room: Mapping[str, float]
    own: Mapping[str, int]


class RegionCapacity:
    """How many requests this entry may have in flight in another region.

    A summary gives the free slots of a region. Of these, each of the `sources`
    entries that may move load there takes an equal part on top of what it had
    in flight when the summary arrived, so all of them together stay within
    the room.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without summaries."""
        self.in_flight: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._clock = clock
        self._summaries: dict[str, _Summary] = {}

    def record(self, region: str, room: Mapping[str, float]) -> None:
        """Take a region's summary: free slots by service."""
        own = {service: self.in_flight[service, region] for service in room}
        self._summaries[region] = _Summary(self._clock.now(), room, own)

    def bound(self, service: str, region: str, sources: int) -> float:
        """Requests that this entry may have in flight by the last summary."""
        found = self._summaries.get(region)
        if found is None:
            return 0
        part = max(found.room.get(service, 0), 0) / max(sources, 1)
        return found.own.get(service, 0) + part

    def free_slots(self, service: str, region: str) -> float:
        """Free slots of the region for all entries together."""
        if not self.is_known(region):
            return 0
        return max(self._summaries[region].room.get(service, 0), 0)

    def is_known(self, region: str) -> bool:
        """Whether there is a fresh summary of the region."""
        found = self._summaries.get(region)
        if found is None:
            return False
        return self._clock.now() - found.received_at <= _SUMMARY_LIFETIME_S


class LinkMeter:
    """Bounds the body bytes that this entry sends to each other region."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing sent."""
        self._clock = clock
        self._sent: dict[str, collections.deque] = {}

    def try_send(
        self,
        region: str,
        size: int,
        bytes_per_s: float,
        entries: int,
    ) -> bool:
        """Count a body of `size` bytes, or return False if it does not fit.

        `bytes_per_s` is the link's capacity, which `entries` entries share.
        """
        sent = self._sent.setdefault(region, collections.deque())
        oldest = self._clock.now() - _WINDOW_S
        while sent and sent[0][0] < oldest:
            sent.popleft()
        share = bytes_per_s * _LINK_SHARE * _WINDOW_S / max(entries, 1)
        # One body larger than the share passes when nothing else is under
        # way; otherwise it could never be sent.
        if sent and sum(count for _, count in sent) + size > share:
            return False
        sent.append((self._clock.now(), size))
        return True
