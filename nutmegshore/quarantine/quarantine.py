"""Refusal of requests that crash upstreams, agreed between entries."""

import collections
from collections.abc import Callable, Collection

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.logs import get_logger
from nutmegshore.peers import Peers
from nutmegshore.quarantine.fingerprint import Fingerprint
from nutmegshore.quarantine.messages import CrashCleared, CrashReport
from nutmegshore.quarantine.suspects import SUSPICION_S, Suspects, Verdict

__all__ = ('Quarantine',)

_COMPLETED_KEPT = 10_000


class Quarantine:
    """Watches how requests end and refuses those that crash upstreams.

    `usable` gives the upstreams of a service that may be used now, and
    `is_explained` whether the loss of an upstream has another cause (a
    declared drain, the platform's list, the loss of its region).

        quarantine.check(found)
        quarantine.is_allowed(found, 'orders-3')
        quarantine.finished(found, 'orders-3', failure)
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        counters: Counters,
        usable: Callable[[str], Collection[str]],
        is_explained: Callable[[str], bool],
    ) -> None:
        """Share losses and completions with the other entries."""
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._usable = usable
        self._is_explained = is_explained
        self._log = get_logger('quarantine')
        self._suspects = Suspects()
        self._completed: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        peers.subscribe(CrashReport, self._take_report)
        peers.subscribe(CrashCleared, self._take_cleared)

    def check(self, fingerprint: Fingerprint) -> None:
        """Raise `RequestError` for a quarantined request."""
        verdict = self._suspects.verdict(fingerprint, self._clock.now())
        if verdict is Verdict.QUARANTINED:
            raise RequestError(ErrorKind.QUARANTINED, fingerprint.digest)

    def is_allowed(self, fingerprint: Fingerprint, upstream: str) -> bool:
        """Whether the request may run on this upstream."""
        now = self._clock.now()
        if self._suspects.verdict(fingerprint, now) is Verdict.CLEAR:
            return True
        usable = self._usable(fingerprint.service)
        return self._suspects.assigned(fingerprint, usable, now) == upstream

    def finished(
        self,
        fingerprint: Fingerprint,
        upstream: str,
        failure: ErrorKind | None,
    ) -> None:
        """Take note of how a request ended on an upstream."""
        if failure is None:
            self._note_completion(fingerprint)
        elif failure is ErrorKind.UPSTREAM_LOST:
            self._note_loss(fingerprint, upstream)

    def _note_completion(self, fingerprint: Fingerprint) -> None:
        self._completed[fingerprint] = self._clock.now()
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > _COMPLETED_KEPT:
            self._completed.popitem(last=False)
        if self._suspects.clear(fingerprint):
            self._peers.broadcast(_cleared(fingerprint))

    def _note_loss(self, fingerprint: Fingerprint, upstream: str) -> None:
        if self._is_explained(upstream) or self._has_completed(fingerprint):
            return
        self._judge(fingerprint, upstream)
        self._peers.broadcast(
            CrashReport(fingerprint.service, fingerprint.digest, upstream),
        )

    def _judge(self, fingerprint: Fingerprint, upstream: str) -> None:
        now = self._clock.now()
        before = self._suspects.verdict(fingerprint, now)
        verdict = self._suspects.note_loss(fingerprint, upstream, now)
        if verdict is not before and verdict is Verdict.QUARANTINED:
            self._counters.add('quarantined', service=fingerprint.service)
            self._log.warning(
                'request quarantined',
                service=fingerprint.service,
                digest=fingerprint.digest,
                upstream=upstream,
            )

    def _has_completed(self, fingerprint: Fingerprint) -> bool:
        """Whether the same request was answered here shortly before."""
        completed_at = self._completed.get(fingerprint)
        if completed_at is None:
            return False
        return self._clock.now() - completed_at <= SUSPICION_S

    def _take_report(self, sender: str, report: CrashReport) -> None:
        fingerprint = Fingerprint(report.service, report.digest)
        if self._has_completed(fingerprint):
            self._peers.broadcast(_cleared(fingerprint))
            return
        if not self._is_explained(report.upstream):
            self._judge(fingerprint, report.upstream)

    def _take_cleared(self, sender: str, cleared: CrashCleared) -> None:
        self._suspects.clear(Fingerprint(cleared.service, cleared.digest))


def _cleared(fingerprint: Fingerprint) -> CrashCleared:
    return CrashCleared(fingerprint.service, fingerprint.digest)
