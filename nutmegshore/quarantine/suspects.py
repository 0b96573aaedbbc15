"""Verdicts on requests, from the upstreams lost while they ran."""

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
#: Seconds of refusal when other upstreams were lost at the same time: the
#: request may not be the cause.
SHORT_QUARANTINE_S = 5
#: Losses within this many seconds of each other count as one event.
CORRELATION_WINDOW_S = 2

_LOSSES_FOR_QUARANTINE = 2


class Verdict(enum.Enum):
    """Whether a request may run anywhere, on one upstream, or nowhere."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@attrs.define
class _Suspicion:
    """Times at which a request's upstreams were lost, and its refusal."""

    lost_at: dict[str, float] = attrs.field(factory=dict)
    refused_until: float = 0
    last_seen: float = 0


class Suspects:
    """Classifies requests by the upstreams that were lost while they ran.

    The first loss makes a request a suspect; the loss of a second upstream,
    without a completion in between, quarantines it. Each suspect is assigned
    an upstream of its own, so that a second loss has only one possible
    cause. All times are seconds of the same clock.

        suspects.record_loss(fingerprint, 'orders-3', now)
        suspects.assigned(fingerprint, usable, now)
        suspects.clear(fingerprint)
    """

    def __init__(self) -> None:
        """Begin without suspicions."""
        self._by_fingerprint: dict[Fingerprint, _Suspicion] = {}
        self._losses: collections.deque[tuple[float, str, Fingerprint]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Number of requests that are suspected or refused."""
        return len(self._by_fingerprint)

    def record_loss(
        self,
        fingerprint: Fingerprint,
        upstream: str,
        now: float,
    ) -> Verdict:
        """Record the loss of an upstream that a request was in flight on.

        Returns the new verdict on the request.
        """
        self._losses.append((now, upstream, fingerprint))
        self._forget_losses(now)
        self._expire(now)
        suspicion = self._by_fingerprint.setdefault(fingerprint, _Suspicion())
        suspicion.lost_at[upstream] = now
        suspicion.last_seen = now
        if len(suspicion.lost_at) >= _LOSSES_FOR_QUARANTINE:
            self._quarantine(fingerprint, suspicion, now)
        return self.verdict(fingerprint, now)

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Remove the suspicion of a completed request; whether it had one."""
        return self._by_fingerprint.pop(fingerprint, None) is not None

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Verdict on a request at the time `now`."""
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
        """Seconds until a request is accepted again; 0 if it is not refused."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return 0
        return max(suspicion.refused_until - now, 0)

    def quarantined(self, now: float) -> dict[Fingerprint, float]:
        """Requests that are refused, with the remaining seconds of each."""
        remaining_by_fingerprint = {
            fingerprint: self.refused_s(fingerprint, now)
            for fingerprint in self._by_fingerprint
        }
        return {
            fingerprint: remaining_s
            for fingerprint, remaining_s in remaining_by_fingerprint.items()
            if remaining_s
        }

    def adopt(
        self,
        fingerprint: Fingerprint,
        remaining_s: float,
        now: float,
    ) -> None:
        """Refuse a request for `remaining_s`, as another entry does.

        Never shortens a refusal, and none lasts longer than `QUARANTINE_S`.
        """
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
        """The only upstream that a suspect may run on; '' if there is none.

        Entries with the same suspicions compute the same assignment, by
        rendezvous hashing that gives each suspect a different upstream. When
        there are more suspects than upstreams, suspects share upstreams.
        """
        free = set(usable) - set(self._lost_upstreams(fingerprint))
        candidates = set(free)
        for other in self._list_suspects(fingerprint.service, now):
            if not free:
                free = set(candidates)
            chosen = _highest_weighted(other, free)
            if other == fingerprint:
                return chosen
            free.discard(chosen)
        return ''

    def _lost_upstreams(self, fingerprint: Fingerprint) -> Collection[str]:
        suspicion = self._by_fingerprint.get(fingerprint)
        return suspicion.lost_at if suspicion else ()

    def _list_suspects(self, service: str, now: float) -> list[Fingerprint]:
        suspects = [
            fingerprint
            for fingerprint in tuple(self._by_fingerprint)
            if fingerprint.service == service
            and self.verdict(fingerprint, now) is Verdict.SUSPECT
        ]
        return sorted(suspects, key=lambda fingerprint: fingerprint.digest)

    def _quarantine(
        self,
        fingerprint: Fingerprint,
        suspicion: _Suspicion,
        now: float,
    ) -> None:
        if self._is_correlated(suspicion, now):
            suspicion.refused_until = now + SHORT_QUARANTINE_S
            # After the short refusal the request may run once more; another
            # loss then quarantines it for the full time.
            suspicion.lost_at.popitem()
            suspicion.last_seen = suspicion.refused_until
        else:
            suspicion.refused_until = now + QUARANTINE_S

    def _is_correlated(self, suspicion: _Suspicion, now: float) -> bool:
        """Whether other upstreams, without this request, were lost as well."""
        return any(
            upstream not in suspicion.lost_at
            for lost_at, upstream, _ in self._losses
            if now - lost_at <= CORRELATION_WINDOW_S
        )

    def _expire(self, now: float) -> None:
        """Remove expired suspicions, also of requests that never repeat."""
        for fingerprint in tuple(self._by_fingerprint):
            self.verdict(fingerprint, now)

    def _forget_losses(self, now: float) -> None:
        while self._losses and now - self._losses[0][0] > CORRELATION_WINDOW_S:
            self._losses.popleft()


def _highest_weighted(
    fingerprint: Fingerprint, upstreams: Collection[str]
) -> str:
    return max(
        upstreams,
        key=lambda upstream: _weight(fingerprint, upstream),
        default='',
    )


def _weight(fingerprint: Fingerprint, upstream: str) -> bytes:
    text = f'{fingerprint.digest}\0{upstream}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
