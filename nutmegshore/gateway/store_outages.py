"""Outages of the store, found from its answers to all gateways."""

from nutmegshore.clock import Clock

__all__ = ('REWRITE_S', 'StoreOutages')

#: Seconds after the return of the store within which live upstreams have
#: registered again.
REWRITE_S = 2.3
#: Seconds without an answer in which entries can expire: upstreams write every
#: 1.5 s, and an entry expires after three such intervals.
_EXPIRING_S = 3
#: Seconds after which an answer tells nothing; peers without any name more.
_MAX_AGE_S = 3600


class StoreOutages:
    """Tells whether entries may be missing because the store was away.

    The store is away while it answers no gateway. It is not away if this
    gateway alone is cut off: entries that disappear then were removed. The time
    for which entries may be missing runs from the first word of an answer after
    an outage, so that no later removal and no further hop begins it anew.

        outages.record_answer()  # to this gateway
        outages.record_answer(age_s=1.5)  # to another, as it reports
        outages.may_lack_entries
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the first answer."""
        self._clock = clock
        self._answered_at = float('-inf')
        self._returned_at = float('-inf')

    @property
    def silent_s(self) -> float:
        """Seconds since the last known answer to any gateway."""
        return self._clock.now() - self._answered_at

    @property
    def may_lack_entries(self) -> bool:
        """Whether live upstreams may still be about to register again."""
        since_return_s = self._clock.now() - self._returned_at
        return self.silent_s >= _EXPIRING_S or since_return_s < REWRITE_S

    def record_answer(self, age_s: float = 0, waited_s: float = 0) -> None:
        """Record that the store answered some gateway `age_s` seconds ago.

        `waited_s` is how long that gateway waited for it on a connection whose
        other end the kernel probes: the store was there all the while.
        """
        if age_s > _MAX_AGE_S:
            return
        now = self._clock.now()
        silent_s = now - age_s - waited_s - self._answered_at
        is_first = self._answered_at == float('-inf')
        if silent_s >= _EXPIRING_S and not is_first:
            self._returned_at = now
        self._answered_at = max(self._answered_at, now - age_s)
