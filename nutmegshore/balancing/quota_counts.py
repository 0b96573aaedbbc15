"""Requests of one customer at this gateway."""

import collections
import operator
from typing import NamedTuple

import attrs

__all__ = ('ASKED_S', 'LEAVING_S', 'NOTHING', 'Count', 'OwnCounts')

#: Seconds over which the demand is measured.
ASKED_S = 0.5
#: Seconds at the beginning of the window whose requests leave it next.
LEAVING_S = 1
#: Seconds before, to which they are compared to tell a sudden rise.
_BEFORE_S = 1
#: Requests that are added to both sides of the ratio that tells a rise, so that
#: chance in few requests is none.
_RISE_MARGIN = 3
#: Seconds of a slice.
_SLICE_S = 0.1


class Count(NamedTuple):
    """What a customer asked for lately, and what was sent of it in the window.

    `leaving` were sent in the first second of the window, `latest` as lately as
    `asked` is counted.
    """

    asked: float = 0
    sent: float = 0
    leaving: float = 0
    latest: float = 0

    def plus(self, other: 'Count') -> 'Count':
        """Return the sum of two counts."""
        return Count(*map(operator.add, self, other))

    def part(self, own: 'Count', weight: float) -> 'Count':
        """Return a part of what remains without some of it."""
        rest = map(operator.sub, self, own)
        return Count(*(max(number, 0) * weight for number in rest))


#: The count of a customer without requests.
NOTHING = Count()


@attrs.define
class _Slice:
    """Counts of a tenth of a second; `number` is its place in time."""

    number: int
    asked: int = 0
    sent: int = 0


class OwnCounts:
    """Counts what a customer asked for, and what was sent of it.

    counts.record(clock.now(), is_sent=True)
    counts.sent(clock.now())
    """

    def __init__(self, window_s: float) -> None:
        """Count what is sent in a sliding window."""
        self._window_s = window_s
        self._slices: collections.deque[_Slice] = collections.deque()
        self._sent = 0

    def record(self, now: float, *, is_sent: bool) -> None:
        """Count a request."""
        current = self._current(now)
        current.asked += 1
        current.sent += is_sent
        self._sent += is_sent

    def give_back(self, now: float, admitted_at: float) -> None:
        """Take back one that was admitted and then not sent.

        One that was admitted before the window is not counted any more.
        """
        if now - admitted_at >= self._window_s:
            return
        self._current(now)
        for one in reversed(self._slices):
            if one.sent:
                one.sent -= 1
                self._sent -= 1
                return

    def report(self, now: float) -> Count:
        """Return the counts that are reported."""
        return Count(
            self.asked(now),
            self.sent(now),
            self.leaving(now, LEAVING_S),
            self.sent_lately(now, ASKED_S),
        )

    def sent(self, now: float) -> int:
        """Return the requests that were sent in the window."""
        self._expire(now)
        return self._sent

    def leaving(self, now: float, span_s: float) -> int:
        """Return the requests sent in the first part of the window."""
        newest = (now - self._window_s + span_s) / _SLICE_S
        leaving = 0
        for one in self._slices:
            if one.number >= newest:
                break
            leaving += one.sent
        return leaving

    def sent_lately(self, now: float, span_s: float) -> int:
        """Return the requests that were sent in the last part of the window."""
        oldest = (now - span_s) / _SLICE_S
        sent = 0
        for one in reversed(self._slices):
            if one.number < oldest:
                break
            sent += one.sent
        return sent

    def usual(self, now: float, span_s: float) -> float:
        """Return how many requests were sent in so many seconds before.

        It is the average of the first half of the window.
        """
        half_s = self._window_s / 2
        return self.leaving(now, half_s) * span_s / half_s

    def is_empty(self, now: float) -> bool:
        """Return whether there was no request in the window."""
        self._expire(now)
        return not self._slices

    def asked(self, now: float) -> int:
        """Return the requests of the last half second."""
        return self._count_asked(now, 0, ASKED_S)

    def rise(self, now: float) -> float:
        """Return the factor by which the demand has just risen, at least 1.

        It compares the last half second to the second before it.
        """
        lately = self._count_asked(now, 0, ASKED_S)
        before = self._count_asked(now, ASKED_S, ASKED_S + _BEFORE_S)
        expected = before * ASKED_S / _BEFORE_S
        return max((lately + _RISE_MARGIN) / (expected + _RISE_MARGIN), 1)

    def _count_asked(self, now: float, newest_s: float, oldest_s: float) -> int:
        newest = (now - newest_s) / _SLICE_S
        oldest = (now - oldest_s) / _SLICE_S
        asked = 0
        for one in reversed(self._slices):
            if one.number < oldest:
                break
            if one.number <= newest:
                asked += one.asked
        return asked

    def _current(self, now: float) -> _Slice:
        self._expire(now)
        number = int(now / _SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        return self._slices[-1]

    def _expire(self, now: float) -> None:
        oldest = int((now - self._window_s) / _SLICE_S)
        while self._slices and self._slices[0].number < oldest:
            self._sent -= self._slices.popleft().sent
