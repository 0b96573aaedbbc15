"""Free capacity of the other regions and of the links to them."""

import collections
from collections.abc import Mapping

import attrs

from nutmegshore.clock import Clock

__all__ = ('LinkMeter', 'RegionCapacity')

#: Time for which a summary is valid; without a newer one no more load moves
#: to its region.
_SUMMARY_LIFETIME_S = 2
#: Share of a link that uploads may use; the rest is for responses.
_LINK_SHARE = 0.8
#: Time over which sent bytes are summed.
_WINDOW_S = 1


@attrs.frozen
class _Summary:
    received_at: float
    free_by_service: Mapping[str, float]
    own: Mapping[str, int]


class RegionCapacity:
    """How many requests this entry may have in flight in another region.

    A summary gives the free slots of a region. Each of the `sources` entries
    that may move load there uses an equal share of them, in addition to what
    it had in flight when the summary arrived, so all entries together stay
    within the free slots.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without summaries."""
        self.in_flight: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._clock = clock
        self._summaries: dict[str, _Summary] = {}

    def record(self, region: str, free_by_service: Mapping[str, float]) -> None:
        """Store a region's summary: its free slots by service."""
        own = {
            service: self.in_flight[service, region]
            for service in free_by_service
        }
        self._summaries[region] = _Summary(
            self._clock.now(), free_by_service, own
        )

    def bound(self, service: str, region: str, sources: int) -> float:
        """Requests that this entry may have in flight in the region.

        Uses the last summary, however old; 0 without one.
        """
        found = self._summaries.get(region)
        if found is None:
            return 0
        part = max(found.free_by_service.get(service, 0), 0) / max(sources, 1)
        return found.own.get(service, 0) + part

    def free_slots(self, service: str, region: str) -> float:
        """Free slots of the region, shared by all entries.

        0 without a valid summary.
        """
        if not self.is_known(region):
            return 0
        return max(self._summaries[region].free_by_service.get(service, 0), 0)

    def is_known(self, region: str) -> bool:
        """Whether the last summary of the region is still valid."""
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
        # A body larger than the share passes if nothing was sent within the
        # window; otherwise it could never be sent.
        if sent and sum(count for _, count in sent) + size > share:
            return False
        sent.append((self._clock.now(), size))
        return True
