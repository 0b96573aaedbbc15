"""Notices links on which messages wait too long to be sent."""

from collections.abc import Mapping

from nutmegshore.counters import Counters
from nutmegshore.logs import get_logger
from nutmegshore.peers.link import Link

__all__ = ('LateLinks',)

#: Seconds that a message may wait in a link before this is logged.
_LATE_S = 1
_DIGITS = 3


class LateLinks:
    """Counts and logs late links, and counts what links did not send.

    `links_late` counts how often a link became late, and
    `link_messages_dropped` the messages that were replaced or have expired, by
    reason.

        late_links = LateLinks(counters)
        late_links.observe({'gateway-3': link})  # once a second
        late_links.count_dropped(link)  # when it closes
    """

    def __init__(self, counters: Counters) -> None:
        """Start without late links."""
        self._counters = counters
        self._late: set[Link] = set()

    def observe(self, links: Mapping[str, Link]) -> None:
        """Check the open links, by the name of the member at the other end."""
        self._late.intersection_update(links.values())
        for name, link in links.items():
            self.count_dropped(link)
            self._check(name, link)

    def count_dropped(self, link: Link) -> None:
        """Count what a link has not sent since the last call."""
        for reason, count in link.queue.dropped.items():
            self._counters.add('link_messages_dropped', count, reason=reason)
        link.queue.dropped.clear()

    def _check(self, name: str, link: Link) -> None:
        waiting_s = link.waiting_s
        is_late = waiting_s > _LATE_S
        if is_late == (link in self._late):
            return
        if is_late:
            self._late.add(link)
            self._counters.add('links_late')
        else:
            self._late.discard(link)
        get_logger('peers').warning(
            'link late' if is_late else 'link in time',
            peer=name,
            waiting_s=round(waiting_s, _DIGITS),
            queued_bytes=link.queue.size,
        )
