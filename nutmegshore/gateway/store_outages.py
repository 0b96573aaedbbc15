"""Outages of the store, found from its answers to all gateways."""

import attrs

from nutmegshore.clock import Clock

__all__ = ('EXPIRING_S', 'REWRITE_S', 'StoreOutages', 'ToldAnswers')

#: Seconds after the return of the store within which live upstreams have
#: registered again.
REWRITE_S = 2.3
#: Seconds without an answer in which entries can expire: upstreams write every
#: 1.5 s, and an entry expires after three such intervals.
EXPIRING_S = 3
#: Seconds after which an answer tells nothing; peers without any name more.
_MAX_AGE_S = 3600


@attrs.frozen
class ToldAnswers:
    """Answers of the store to any gateway, in seconds before now.

    The last one was `age_s` ago. Since `steady_s` ago there was no time without
    answers in which entries could expire.
    """

    age_s: float = 0
    steady_s: float = 0


class StoreOutages:
    """Tells whether entries may be missing because the store was away.

    The store is away while it answers no gateway. It is not away if this
    gateway alone is cut off, from the store or from all others: the gateways of
    its region then tell of answers meanwhile, and entries that disappeared were
    removed. The time for which entries may be missing runs from the first word
    of an answer after an outage, so that no later removal and no further hop
    begins it anew.

        outages.record_answer()  # to this gateway
        outages.record_told(ToldAnswers(age_s=1.5, steady_s=60))
        outages.may_lack_entries
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the first answer."""
        self._clock = clock
        self._answered_at = float('-inf')
        self._returned_at = float('-inf')
        self._steady_since = float('inf')

    @property
    def silent_s(self) -> float:
        """Seconds since the last known answer to any gateway."""
        return self._clock.now() - self._answered_at

    @property
    def may_lack_entries(self) -> bool:
        """Whether live upstreams may still be about to register again."""
        since_return_s = self._clock.now() - self._returned_at
        return self.silent_s >= EXPIRING_S or since_return_s < REWRITE_S

    def told(self) -> ToldAnswers:
        """Return what is known of the answers, for other gateways."""
        steady_s = self._clock.now() - self._steady_since
        return ToldAnswers(
            min(self.silent_s, _MAX_AGE_S),
            max(min(steady_s, _MAX_AGE_S), 0),
        )

    def record_answer(self, waited_s: float = 0) -> None:
        """Record an answer to this gateway.

        `waited_s` is how long it waited on a connection whose other end the
        kernel probes: the store was there all the while.
        """
        self.record_told(ToldAnswers(0, waited_s))

    def record_told(self, told: ToldAnswers) -> None:
        """Record the answers that another gateway knows of.

        `steady_s` is 0 for a gateway of another region: a path that all of this
        one share may have been away, and its upstreams with it.
        """
        if told.age_s >= _MAX_AGE_S:
            return
        now = self._clock.now()
        last_at = now - told.age_s
        # Whoever hears of an outage's end from others counts from that word,
        # which comes after the answer itself.
        steady_at = now - told.steady_s
        since = min(steady_at, last_at)
        if since - self._answered_at >= EXPIRING_S:
            self._begin(since)
        elif told.steady_s and last_at > self._steady_since - EXPIRING_S:
            # Both know answers of one time, and this gateway missed some.
            self._steady_since = min(self._steady_since, steady_at)
            self._returned_at = min(self._returned_at, steady_at)
        self._answered_at = max(self._answered_at, last_at)

    def _begin(self, since: float) -> None:
        """Begin a time of answers, with the first one or after an outage."""
        if self._answered_at == float('-inf'):
            self._steady_since = since
            return
        self._steady_since = self._clock.now()
        self._returned_at = self._clock.now()
