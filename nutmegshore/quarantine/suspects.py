"""Suspicions that follow from lost upstreams."""

import collections
import enum
import hashlib
from collections.abc import Collection

import attrs

from nutmegshore.quarantine.fingerprint import Fingerprint

__all__ = ('Suspects', 'Verdict')

#: Seconds for which a suspicion lasts without a further loss.
SUSPICION_S = 30
#: Seconds for which a quarantined request is refused.
QUARANTINE_S = 600
#: Seconds of refusal when other upstreams were lost at the same time, so
#: that the request is perhaps only a victim.
SHORT_QUARANTINE_S = 5
#: Losses within this many seconds of each other count as one event.
EVENT_S = 2

_LOSSES_FOR_QUARANTINE = 2


class Verdict(enum.Enum):
    """What is known of a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@attrs.define
class _Suspicion:
    """Lost upstreams by name, with the time of the loss."""

    lost_at: dict[str, float] = attrs.field(factory=dict)
    refused_until: float = 0
    last_seen: float = 0


class Suspects:
    """Judges requests by the upstreams that were lost while they ran.

    One loss makes a suspect, a second loss of another upstream without a
    completion in between makes it quarantined. Suspects run apart from each
    other, each on an upstream of its own, so that the second loss has only
    one suspect. All times are readings of one clock.
    """

    def __init__(self) -> None:
        """Start without suspicions."""
        self._by_fingerprint: dict[Fingerprint, _Suspicion] = {}
        self._losses: collections.deque[tuple[float, str, Fingerprint]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """How many requests are suspected or refused."""
        return len(self._by_fingerprint)

    def record_loss(
        self,
        fingerprint: Fingerprint,
        upstream: str,
        now: float,
    ) -> Verdict:
        """Count a loss of an upstream against a request in flight there."""
        self._losses.append((now, upstream, fingerprint))
        self._forget(now)
        self._expire(now)
        suspicion = self._by_fingerprint.setdefault(fingerprint, _Suspicion())
        suspicion.lost_at[upstream] = now
        suspicion.last_seen = now
        if len(suspicion.lost_at) >= _LOSSES_FOR_QUARANTINE:
            self._quarantine(fingerprint, suspicion, now)
        return self.verdict(fingerprint, now)

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Drop a suspicion, because the request has completed."""
        return self._by_fingerprint.pop(fingerprint, None) is not None

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """What is known of a request at this time."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return Verdict.CLEAR
        if now < suspicion.refused_until:
            return Verdict.QUARANTINED
        if now - suspicion.last_seen > SUSPICION_S:
            self._by_fingerprint.pop(fingerprint)
            return Verdict.CLEAR
        return Verdict.SUSPECT

    def refused_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Seconds for which a request is still refused; 0 if it is not."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return 0
        return max(suspicion.refused_until - now, 0)

    def quarantined(self, now: float) -> dict[Fingerprint, float]:
        """Requests that are refused, with the seconds that are left."""
        left = {one: self.refused_s(one, now) for one in self._by_fingerprint}
        return {
            one: remaining_s for one, remaining_s in left.items() if remaining_s
        }

    def adopt(
        self,
        fingerprint: Fingerprint,
        remaining_s: float,
        now: float,
    ) -> None:
        """Refuse a request for some seconds, because another entry does."""
        suspicion = self._by_fingerprint.setdefault(fingerprint, _Suspicion())
        refused_until = now + min(remaining_s, QUARANTINE_S)
        suspicion.refused_until = max(suspicion.refused_until, refused_until)
        suspicion.last_seen = now

    def assigned(
        self,
        fingerprint: Fingerprint,
        usable: Collection[str],
        now: float,
    ) -> str:
        """The one upstream that a suspect may run on; '' where none is.

        Every entry that knows the same suspicions comes to the same
        assignment, by rendezvous hashing without repetition. When there are
        more suspects than upstreams, the rest share.
        """
        free = set(usable) - set(self._lost_upstreams(fingerprint))
        candidates = set(free)
        for other in self._suspects_of(fingerprint.service, now):
            if not free:
                free = set(candidates)
            chosen = _heaviest(other, free)
            if other == fingerprint:
                return chosen
            free.discard(chosen)
        return ''

    def _lost_upstreams(self, fingerprint: Fingerprint) -> Collection[str]:
        suspicion = self._by_fingerprint.get(fingerprint)
        return suspicion.lost_at if suspicion else ()

    def _suspects_of(self, service: str, now: float) -> list[Fingerprint]:
        found = [
            fingerprint
            for fingerprint in tuple(self._by_fingerprint)
            if fingerprint.service == service
            and self.verdict(fingerprint, now) is Verdict.SUSPECT
        ]
        return sorted(found, key=lambda fingerprint: fingerprint.digest)

    def _quarantine(
        self,
        fingerprint: Fingerprint,
        suspicion: _Suspicion,
        now: float,
    ) -> None:
        if self._is_correlated(suspicion, now):
            suspicion.refused_until = now + SHORT_QUARANTINE_S
            # After the short refusal the request gets one more run; one
            # further loss then quarantines it for the full time.
            suspicion.lost_at.popitem()
            suspicion.last_seen = suspicion.refused_until
        else:
            suspicion.refused_until = now + QUARANTINE_S

    def _is_correlated(self, suspicion: _Suspicion, now: float) -> bool:
        """Whether upstreams were lost meanwhile without this request."""
        return any(
            upstream not in suspicion.lost_at
            for lost_at, upstream, _ in self._losses
            if now - lost_at <= EVENT_S
        )

    def _expire(self, now: float) -> None:
        """Drop old suspicions, also of requests that never come again."""
        for fingerprint in tuple(self._by_fingerprint):
            self.verdict(fingerprint, now)

    def _forget(self, now: float) -> None:
        while self._losses and now - self._losses[0][0] > EVENT_S:
            self._losses.popleft()


def _heaviest(fingerprint: Fingerprint, names: Collection[str]) -> str:
    return max(
        names,
        key=lambda name: _weight(fingerprint, name),
        default='',
    )


def _weight(fingerprint: Fingerprint, upstream: str) -> bytes:
    text = f'{fingerprint.digest}\0{upstream}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
